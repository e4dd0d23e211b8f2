//! Simulation of targets with slow clocks, lost and late commands, and changes of the leader.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::{
            Assignment, AssignmentManager, AssignmentTable, Candidate, Command, CommandOutcome,
            CommandTiming, PreviousLeaders, StoreTimeBound, TargetIncarnation, max_grant_lifetime,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Timing that the program uses by default.
pub const TIMING: CommandTiming = CommandTiming {
    ttl: Duration::from_millis(3200),
    long_ttl: Duration::from_secs(10),
    max_ttl: Duration::from_secs(10),
    renewal_interval: Duration::from_millis(800),
    slow_renewal: Duration::from_millis(1100),
    retry_delay: Duration::from_millis(150),
    delivery_limit: Duration::from_millis(800),
};

const TICK_LENGTH: Duration = Duration::from_millis(10);
/// Time after which a grant, or a release whose response was lost, counts as unanswered.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time of the store's clock at the start.
const STORE_START: Duration = Duration::from_secs(1000);
/// Error of a leader's estimate of the store's clock.
const STORE_CLOCK_ERROR: Duration = Duration::from_millis(2);
const FAULT_TICKS: u32 = 4000;
const HEALTHY_TICKS: u32 = 2500;
const TARGET_COUNT: usize = 6;

/// A grant that a target has accepted.
#[derive(Clone, Debug)]
struct HeldGrant {
    first: u16,
    last: u16,
    fence: Fence,
    until: Instant,
}

#[derive(Debug)]
struct Target {
    incarnation: u64,
    up: bool,
    can_own: bool,
    listed: bool,
    reachable: bool,
    /// Factor by which the target's slow clock lengthens its grants.
    clock_factor: f64,
    held: Vec<HeldGrant>,
    /// Fences of accepted grants with their first and last key.
    seen_fences: Vec<(u16, u16, Fence)>,
}

/// A command that has not arrived or whose outcome the leader does not know yet.
struct SentCommand {
    command: Command,
    sent: Instant,
    target: usize,
    incarnation: u64,
    arrives_at: Instant,
    applied_at: Option<Instant>,
    answered_at: Option<Instant>,
    /// Leader that sent the command; 0 once that leader needs no outcome any more.
    epoch: u32,
    outcome: Option<CommandOutcome>,
}

impl SentCommand {
    fn is_grant(&self) -> bool {
        matches!(self.command, Command::Grant { .. })
    }
}

/// Targets, a store and at most one leader, in simulated time.
pub struct Simulation {
    seed: u64,
    rng: StdRng,
    start: Instant,
    now: Instant,
    targets: Vec<Target>,
    table: AssignmentTable,
    leader: Option<AssignmentManager>,
    epoch: u32,
    election_ticks: u32,
    /// Expiry of the last leader's grants, if it resigned; `None` if it crashed.
    grants_end: Option<Instant>,
    /// Whether the store is restored from backups now and then.
    is_restored: bool,
    /// Era of the store, and the time until which unknown grants of earlier eras may be in force.
    era: u64,
    unknown_until: Option<Instant>,
    is_healed: bool,
    commands: Vec<SentCommand>,
    /// Write to the store without a response.
    pending_record: Option<PendingRecord>,
}

/// A write to the store, of which the leader learns at `due` whether it took effect.
struct PendingRecord {
    table: AssignmentTable,
    written: bool,
    due: Instant,
}

impl Simulation {
    /// Creates a simulation whose random choices all derive from `seed`.
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let target = |clock_factor| Target {
            incarnation: 1,
            up: true,
            can_own: true,
            listed: true,
            reachable: true,
            clock_factor,
            held: Vec::new(),
            seen_fences: Vec::new(),
        };
        let targets = (0..TARGET_COUNT).map(|_| target(rng.random_range(1.0..1.02)));
        let targets = targets.collect();
        Self {
            seed,
            rng,
            start: now,
            now,
            targets,
            table: AssignmentTable::default(),
            leader: None,
            epoch: 0,
            election_ticks: 1,
            grants_end: None,
            is_restored: false,
            era: 0,
            unknown_until: None,
            is_healed: false,
            commands: Vec::new(),
            pending_record: None,
        }
    }

    /// Creates a simulation in which the store is also restored from backups.
    pub fn with_restorations(seed: u64) -> Self {
        Self {
            is_restored: true,
            ..Self::new(seed)
        }
    }

    /// Runs a phase with faults, then one without; checks ownership on each tick and at the end.
    pub fn run(&mut self) {
        for tick in 0..FAULT_TICKS + HEALTHY_TICKS {
            self.now += TICK_LENGTH;
            if tick < FAULT_TICKS {
                self.inject_fault();
            } else if tick == FAULT_TICKS {
                self.end_faults();
            }
            self.deliver_commands();
            self.run_leader();
            self.check_single_owner();
        }
        self.check_all_granted();
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..TARGET_COUNT);
        let target = &mut self.targets[index];
        match self.rng.random_range(0..1500) {
            0 => target.can_own = !target.can_own,
            1 => target.reachable = !target.reachable,
            2 => target.listed = !target.listed,
            3 => {
                // The target restarts under its id and has lost its state.
                target.incarnation += 1;
                target.held.clear();
                target.seen_fences.clear();
            }
            4 => {
                self.leader = None;
                self.grants_end = None;
                self.election_ticks = self.rng.random_range(1..400);
            }
            5 => {
                // The leader resigns while its commands are in flight.
                let leader = self.leader.take();
                self.grants_end = leader.map(|it| self.now + it.remaining_grant_time(self.now));
                self.election_ticks = self.rng.random_range(1..400);
            }
            6 if self.is_restored => self.restore_without_leader(),
            7 if self.is_restored => self.restore_with_leader(),
            _ => {}
        }
    }

    /// Restores the store while no leader can continue: nothing is recorded in the new era.
    fn restore_without_leader(&mut self) {
        self.era += 1;
        self.leader = None;
        self.pending_record = None;
        self.grants_end = None;
        self.election_ticks = self.rng.random_range(1..400);
        self.table = AssignmentTable {
            highest_fence: Fence::before_era(self.era),
            ..AssignmentTable::default()
        };
        let max_lifetime = max_grant_lifetime(TIMING.max_ttl, TIMING.delivery_limit);
        self.unknown_until = Some(self.now + max_lifetime);
    }

    /// Restores the store under a leader, which records its assignments again. A write without a
    /// response was lost.
    fn restore_with_leader(&mut self) {
        let Some(leader) = &self.leader else {
            return self.restore_without_leader();
        };
        self.era += 1;
        self.table = leader.table();
        if let Some(pending) = &mut self.pending_record {
            pending.written = false;
        }
    }

    /// Returns the time of the store's clock at a local time.
    fn store_time(&self, moment: Instant) -> Duration {
        STORE_START + (moment - self.start)
    }

    fn end_faults(&mut self) {
        self.is_healed = true;
        for target in &mut self.targets {
            target.can_own = true;
            target.listed = true;
            target.reachable = true;
            target.up = true;
        }
    }

    /// Lets the leader act, or elects a new one after a while without a leader.
    fn run_leader(&mut self) {
        let Some(mut leader) = self.leader.take() else {
            self.election_ticks = self.election_ticks.saturating_sub(1);
            if self.election_ticks == 0 {
                self.epoch += 1;
                self.pending_record = None;
                let past = PreviousLeaders {
                    grants_expire: self.grants_end.take().map(|until| self.store_time(until)),
                    earliest_now: Some(self.store_time(self.now) - STORE_CLOCK_ERROR),
                    unknown_until: self.unknown_until.map(|until| self.store_time(until)),
                };
                self.leader = Some(AssignmentManager::new(&self.table, TIMING, past, self.now));
            }
            return;
        };
        let listed = self.targets.iter().enumerate().filter(|(_, it)| it.listed);
        let candidates: BTreeMap<Name, Candidate> = listed
            .map(|(index, target)| {
                let candidate = Candidate {
                    incarnation: target.incarnation,
                    can_own: target.can_own,
                };
                (target_name(index), candidate)
            })
            .collect();
        leader.review_owners(&candidates, self.now);
        leader.split_evenly(TARGET_COUNT as u32);
        if !self.is_healed && self.rng.random_bool(0.01) {
            let first: u16 = self.rng.random_range(0..65_000);
            let new_owner = target_name(self.rng.random_range(0..TARGET_COUNT));
            leader.start_transfer(first, first + 5, &new_owner, self.now);
        }
        self.propose(&mut leader, &candidates);
        for command in leader.next_commands(false, self.now) {
            self.send_command(command);
        }
        self.leader = Some(leader);
    }

    fn propose(&mut self, leader: &mut AssignmentManager, candidates: &BTreeMap<Name, Candidate>) {
        if self.is_record_pending(leader) || !leader.needs_recording(self.now) {
            return;
        }
        let ended = leader.ended_incarnations().clone();
        let usable: Vec<TargetIncarnation> = candidates
            .iter()
            .filter(|(_, it)| it.can_own)
            .map(|(id, it)| TargetIncarnation {
                id: id.clone(),
                incarnation: it.incarnation,
            })
            .filter(|target| !ended.contains(target))
            .collect();
        let bound = StoreTimeBound {
            local: self.now,
            latest: self.store_time(self.now) + STORE_CLOCK_ERROR,
        };
        let rng = &mut self.rng;
        let table = leader.propose_table(Some(bound), |_, wanted| {
            let found = usable.iter().find(|it| Some(&it.id) == wanted);
            found
                .or_else(|| usable.get(rng.random_range(0..usable.len().max(1))))
                .cloned()
        });
        let Some(table) = table else { return };
        assert!(table.is_complete(), "seed {}: {table:?}", self.seed);
        self.check_fences(&table);
        if !self.is_healed && self.rng.random_bool(0.1) {
            // The store refused the write.
            return;
        }
        if !self.is_healed && self.rng.random_bool(0.1) {
            let written = self.rng.random_bool(0.5);
            if written {
                self.table = table.clone();
            }
            let due = self.now + Duration::from_millis(self.rng.random_range(100..3000));
            self.pending_record = Some(PendingRecord {
                table,
                written,
                due,
            });
            return;
        }
        leader.apply_recorded(&table, self.now);
        self.table = table;
    }

    /// Returns whether a write is pending; once it is due, tells the leader whether it took effect.
    fn is_record_pending(&mut self, leader: &mut AssignmentManager) -> bool {
        let Some(pending) = self.pending_record.take() else {
            return false;
        };
        if self.now < pending.due {
            self.pending_record = Some(pending);
            return true;
        }
        if pending.written {
            leader.apply_recorded(&pending.table, self.now);
        }
        false
    }

    fn send_command(&mut self, command: Command) {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = &command;
        let owner = assignment.owner.clone().expect("commands have an owner");
        let index = target_index(&owner.id);
        let is_dropped = !self.is_healed && self.rng.random_bool(0.05);
        let is_lost = !self.targets[index].reachable || is_dropped;
        let is_grant = matches!(command, Command::Grant { .. });
        let is_unanswered = is_grant && !self.is_healed && self.rng.random_bool(0.05);
        // An instance that gets no processor time sends late, in spite of its time-out.
        let is_sent_late = is_grant && !self.is_healed && self.rng.random_bool(0.05);
        let delay_range = if is_sent_late { 200..780 } else { 1..200 };
        let arrives_at = self.now + Duration::from_millis(self.rng.random_range(delay_range));
        let delay = Duration::from_millis(self.rng.random_range(500..9000));
        let answer_delay = match command {
            Command::Grant { .. } => Duration::from_millis(1),
            Command::Release { .. } => Duration::from_millis(self.rng.random_range(1..300)),
        };
        let (applied_at, answered_at) = match (is_lost, is_unanswered) {
            (true, _) => (None, None),
            (_, true) => (Some(arrives_at + delay), None),
            _ => (Some(arrives_at), Some(arrives_at + answer_delay)),
        };
        self.commands.push(SentCommand {
            command,
            sent: self.now,
            target: index,
            incarnation: self.targets[index].incarnation,
            arrives_at,
            applied_at,
            answered_at,
            epoch: self.epoch,
            outcome: None,
        });
    }

    /// Runs commands that have arrived, and reports outcomes and time-outs to the leader.
    fn deliver_commands(&mut self) {
        let now = self.now;
        let mut commands = std::mem::take(&mut self.commands);
        for cmd in &mut commands {
            if cmd.applied_at.is_some_and(|at| at <= now) {
                cmd.applied_at = None;
                let target = &mut self.targets[cmd.target];
                // Commands to an earlier incarnation are lost.
                if target.incarnation == cmd.incarnation {
                    cmd.outcome = Some(target.execute(&cmd.command, cmd.arrives_at, now));
                } else {
                    cmd.answered_at = None;
                }
            }
        }
        let mut remaining = Vec::new();
        for mut cmd in commands {
            let ended = match (cmd.answered_at, cmd.outcome.clone()) {
                (Some(at), Some(result)) if at <= now => Some(result),
                (None, _) if now >= cmd.sent + MAX_WAIT => Some(CommandOutcome::Unknown),
                _ if cmd.is_grant() && now >= cmd.sent + MAX_WAIT => Some(CommandOutcome::Unknown),
                _ => None,
            };
            if let Some(result) = ended
                && cmd.epoch != 0
            {
                if let Some(leader) = &mut self.leader
                    && cmd.epoch == self.epoch
                {
                    leader.handle_outcome(&cmd.command, result, cmd.sent, now);
                }
                cmd.epoch = 0;
                cmd.answered_at = None;
            }
            if cmd.epoch != 0 || cmd.applied_at.is_some() {
                remaining.push(cmd);
            }
        }
        self.commands = remaining;
    }

    /// Checks that no two targets have grants of the same key.
    fn check_single_owner(&self) {
        for (index, one) in self.targets.iter().enumerate() {
            for two in &self.targets[index + 1..] {
                for a in one.active_grants(self.now) {
                    for b in two.active_grants(self.now) {
                        assert!(
                            a.last < b.first || b.last < a.first,
                            "seed {}: {a:?} of target {index} overlaps {b:?}",
                            self.seed
                        );
                    }
                }
            }
        }
    }

    /// Checks that keys with a new owner have a higher fence than before, and than any that a target
    /// has accepted for them in an earlier era.
    fn check_fences(&self, next: &AssignmentTable) {
        let seen_fences = self.targets.iter().flat_map(|it| &it.seen_fences);
        let seen_fences: Vec<&(u16, u16, Fence)> = seen_fences.collect();
        for after in &next.assignments {
            let before = self.table.assignment(after.first);
            if before.owner == after.owner {
                continue;
            }
            assert!(after.fence > before.fence, "seed {}", self.seed);
            let is_higher = |(first, last, fence): &&(u16, u16, Fence)| {
                *last < after.first || after.last < *first || *fence < after.fence
            };
            assert!(seen_fences.iter().all(is_higher), "seed {}", self.seed);
        }
    }

    /// Checks that every key is granted to its recorded owner.
    fn check_all_granted(&self) {
        for assignment in &self.table.assignments {
            let owner = assignment.owner.as_ref().expect("every key has an owner");
            let target = &self.targets[target_index(&owner.id)];
            let held: u32 = target
                .active_grants(self.now)
                .map(|it| count_covered_keys(it, assignment))
                .sum();
            assert!(
                held == assignment.len(),
                "seed {}: {held} keys of {assignment:?} are granted",
                self.seed
            );
        }
    }
}

impl Target {
    fn active_grants(&self, now: Instant) -> impl Iterator<Item = &HeldGrant> {
        self.held.iter().filter(move |it| self.up && it.until > now)
    }

    fn execute(&mut self, command: &Command, arrived: Instant, now: Instant) -> CommandOutcome {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = command;
        let (first, last) = (assignment.first, assignment.last);
        match command {
            Command::Grant { ttl, .. } => {
                let higher = |(a, b, fence): &(u16, u16, Fence)| {
                    *a <= last && first <= *b && *fence > assignment.fence
                };
                if self.seen_fences.iter().any(higher) {
                    return CommandOutcome::StaleFence;
                }
                self.seen_fences.push((first, last, assignment.fence));
                self.drop_range(first, last);
                self.held.push(HeldGrant {
                    first,
                    last,
                    fence: assignment.fence,
                    until: arrived + ttl.mul_f64(self.clock_factor),
                });
                self.held.retain(|it| it.until > now);
                CommandOutcome::Accepted
            }
            Command::Release { .. } => {
                self.drop_range(first, last);
                CommandOutcome::Released(None)
            }
        }
    }

    /// Ends the grants of a range of keys; grants of the keys beside it stay.
    fn drop_range(&mut self, first: u16, last: u16) {
        let mut remaining = Vec::new();
        for held in self.held.drain(..) {
            if held.last < first || last < held.first {
                remaining.push(held);
                continue;
            }
            if held.first < first {
                remaining.push(HeldGrant {
                    last: first - 1,
                    ..held.clone()
                });
            }
            if held.last > last {
                remaining.push(HeldGrant {
                    first: last + 1,
                    ..held
                });
            }
        }
        self.held = remaining;
    }
}

/// Returns how many keys of an assignment are covered by a grant with its fence.
fn count_covered_keys(held: &HeldGrant, assignment: &Assignment) -> u32 {
    let first = held.first.max(assignment.first);
    let last = held.last.min(assignment.last);
    match held.fence == assignment.fence && first <= last {
        true => u32::from(last - first) + 1,
        false => 0,
    }
}

fn target_name(index: usize) -> Name {
    format!("t{index}").into()
}

fn target_index(id: &str) -> usize {
    id[1..].parse().expect("ids are t and a number")
}
