//! A world of targets with clocks of their own, lost and late orders, and leaders that change.

use {
    cowslip_decide::{
        names::{Fence, Name},
        owners::{
            Assignment, AssignmentManager, AssignmentTable, Candidate, Command, CommandOutcome,
            CommandTiming, PreviousLeaders, StoreTimeBound, TargetIncarnation,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Periods and bounds as the program has them.
pub const TIMING: CommandTiming = CommandTiming {
    ttl: Duration::from_millis(3200),
    long_ttl: Duration::from_secs(10),
    max_ttl: Duration::from_secs(10),
    renewal_interval: Duration::from_millis(800),
    slow_renewal: Duration::from_millis(1100),
    retry_delay: Duration::from_millis(150),
    delivery_limit: Duration::from_millis(800),
};

const TICK: Duration = Duration::from_millis(10);
/// Time after which a grant counts as unanswered.
const LIMIT: Duration = Duration::from_millis(500);
/// Time of the store's clock at the beginning.
const STORE: Duration = Duration::from_secs(1000);
/// Error of what a leader knows of that clock.
const TOLD: Duration = Duration::from_millis(2);
const TROUBLE: u32 = 4000;
const CALM: u32 = 2500;
const TARGETS: usize = 6;

/// A range that a target holds.
#[derive(Clone, Debug)]
struct Held {
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
    slow: f64,
    held: Vec<Held>,
    /// Highest fence seen, by range.
    seen: Vec<(u16, u16, Fence)>,
}

/// An order on its way, or waiting for its end.
struct Flight {
    order: Command,
    sent: Instant,
    target: usize,
    /// Run of the target that it was sent to.
    incarnation: u64,
    arrive: Instant,
    apply: Option<Instant>,
    answer: Option<Instant>,
    /// Time as leader in which it was sent.
    reign: u32,
    result: Option<CommandOutcome>,
}

impl Flight {
    fn is_grant(&self) -> bool {
        matches!(self.order, Command::Grant { .. })
    }
}

/// The world.
pub struct World {
    seed: u64,
    rng: StdRng,
    start: Instant,
    now: Instant,
    targets: Vec<Target>,
    table: AssignmentTable,
    keeper: Option<AssignmentManager>,
    reign: u32,
    vacant: u32,
    /// End of all grants, if the last leader said so as it gave its part up.
    given_up: Option<Instant>,
    calm: bool,
    flights: Vec<Flight>,
    /// A record whose answer was lost: when the leader learns its end.
    pending: Option<Pending>,
}

/// A record without an answer.
struct Pending {
    table: AssignmentTable,
    written: bool,
    due: Instant,
}

impl World {
    /// Creates a world of which `seed` decides everything.
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let target = |slow| Target {
            incarnation: 1,
            up: true,
            can_own: true,
            listed: true,
            reachable: true,
            slow,
            held: Vec::new(),
            seen: Vec::new(),
        };
        let targets = (0..TARGETS).map(|_| target(rng.random_range(1.0..1.02)));
        let targets = targets.collect();
        Self {
            seed,
            rng,
            start: now,
            now,
            targets,
            table: AssignmentTable::default(),
            keeper: None,
            reign: 0,
            vacant: 1,
            given_up: None,
            calm: false,
            flights: Vec::new(),
            pending: None,
        }
    }

    /// Plays troubles, then calm; checks every tick that no key is held by two.
    pub fn play(&mut self) {
        for tick in 0..TROUBLE + CALM {
            self.now += TICK;
            if tick < TROUBLE {
                self.trouble();
            } else if tick == TROUBLE {
                self.heal();
            }
            self.land();
            self.lead();
            self.check();
        }
        self.check_served();
    }

    fn trouble(&mut self) {
        let at = self.rng.random_range(0..TARGETS);
        let target = &mut self.targets[at];
        match self.rng.random_range(0..1500) {
            0 => target.can_own = !target.can_own,
            1 => target.reachable = !target.reachable,
            2 => target.listed = !target.listed,
            3 => {
                // It ends and starts again under its id; it knows nothing of before.
                target.incarnation += 1;
                target.held.clear();
                target.seen.clear();
            }
            4 => {
                self.keeper = None;
                self.given_up = None;
                self.vacant = self.rng.random_range(1..400);
            }
            5 => {
                // It gives its part up. Orders that it has sent are on their way.
                let keeper = self.keeper.take();
                self.given_up =
                    keeper.map(|keeper| self.now + keeper.remaining_grant_time(self.now));
                self.vacant = self.rng.random_range(1..400);
            }
            _ => {}
        }
    }

    /// Returns the time of the store's clock at a moment.
    fn store(&self, at: Instant) -> Duration {
        STORE + (at - self.start)
    }

    fn heal(&mut self) {
        self.calm = true;
        for target in &mut self.targets {
            target.can_own = true;
            target.listed = true;
            target.reachable = true;
            target.up = true;
        }
    }

    /// Acts as leader, if there is one.
    fn lead(&mut self) {
        let Some(mut keeper) = self.keeper.take() else {
            self.vacant = self.vacant.saturating_sub(1);
            if self.vacant == 0 {
                self.reign += 1;
                self.pending = None;
                let former = PreviousLeaders {
                    grants_expire: self.given_up.take().map(|until| self.store(until)),
                    earliest_now: Some(self.store(self.now) - TOLD),
                };
                self.keeper = Some(AssignmentManager::new(
                    &self.table,
                    TIMING,
                    former,
                    self.now,
                ));
            }
            return;
        };
        let listed = self.targets.iter().enumerate().filter(|(_, it)| it.listed);
        let all: BTreeMap<Name, Candidate> = listed
            .map(|(at, target)| {
                let candidate = Candidate {
                    incarnation: target.incarnation,
                    can_own: target.can_own,
                };
                (name(at), candidate)
            })
            .collect();
        keeper.review_owners(&all, self.now);
        keeper.split_evenly(TARGETS as u32);
        if !self.calm && self.rng.random_bool(0.01) {
            let first: u16 = self.rng.random_range(0..65_000);
            let to = name(self.rng.random_range(0..TARGETS));
            keeper.start_transfer(first, first + 5, &to, self.now);
        }
        self.record(&mut keeper, &all);
        for order in keeper.next_commands(false, self.now) {
            self.send(order);
        }
        self.keeper = Some(keeper);
    }

    fn record(&mut self, keeper: &mut AssignmentManager, all: &BTreeMap<Name, Candidate>) {
        if self.is_pending(keeper) || !keeper.needs_recording(self.now) {
            return;
        }
        let ended = keeper.ended_incarnations().clone();
        let open: Vec<TargetIncarnation> = all
            .iter()
            .filter(|(_, it)| it.can_own)
            .map(|(id, it)| TargetIncarnation {
                id: id.clone(),
                incarnation: it.incarnation,
            })
            .filter(|life| !ended.contains(life))
            .collect();
        let present = StoreTimeBound {
            local: self.now,
            latest: self.store(self.now) + TOLD,
        };
        let rng = &mut self.rng;
        let table = keeper.propose_table(Some(present), |_, wish| {
            let wished = open.iter().find(|it| Some(&it.id) == wish);
            wished
                .or_else(|| open.get(rng.random_range(0..open.len().max(1))))
                .cloned()
        });
        let Some(table) = table else { return };
        assert!(table.is_complete(), "seed {}: {table:?}", self.seed);
        self.check_fences(&table);
        if !self.calm && self.rng.random_bool(0.1) {
            // The store refused the write.
            return;
        }
        if !self.calm && self.rng.random_bool(0.1) {
            let written = self.rng.random_bool(0.5);
            if written {
                self.table = table.clone();
            }
            let due = self.now + Duration::from_millis(self.rng.random_range(100..3000));
            self.pending = Some(Pending {
                table,
                written,
                due,
            });
            return;
        }
        keeper.apply_recorded(&table, self.now);
        self.table = table;
    }

    /// Lets the leader learn the end of a record without an answer; returns whether it waits.
    fn is_pending(&mut self, keeper: &mut AssignmentManager) -> bool {
        let Some(pending) = self.pending.take() else {
            return false;
        };
        if self.now < pending.due {
            self.pending = Some(pending);
            return true;
        }
        if pending.written {
            keeper.apply_recorded(&pending.table, self.now);
        }
        false
    }

    fn send(&mut self, order: Command) {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = &order;
        let owner = assignment.owner.clone().expect("orders have an owner");
        let at = index(&owner.id);
        let unlucky = !self.calm && self.rng.random_bool(0.05);
        let lost = !self.targets[at].reachable || unlucky;
        let grant = matches!(order, Command::Grant { .. });
        let late = grant && !self.calm && self.rng.random_bool(0.05);
        // An instance without processor time sends after its limit.
        let slow = grant && !self.calm && self.rng.random_bool(0.05);
        let way = if slow { 200..780 } else { 1..200 };
        let arrive = self.now + Duration::from_millis(self.rng.random_range(way));
        let delay = Duration::from_millis(self.rng.random_range(500..9000));
        let work = match order {
            Command::Grant { .. } => Duration::from_millis(1),
            Command::Release { .. } => Duration::from_millis(self.rng.random_range(1..300)),
        };
        let (apply, answer) = match (lost, late) {
            (true, _) => (None, None),
            (_, true) => (Some(arrive + delay), None),
            _ => (Some(arrive), Some(arrive + work)),
        };
        self.flights.push(Flight {
            order,
            sent: self.now,
            target: at,
            incarnation: self.targets[at].incarnation,
            arrive,
            apply,
            answer,
            reign: self.reign,
            result: None,
        });
    }

    /// Carries out what is due.
    fn land(&mut self) {
        let now = self.now;
        let mut flights = std::mem::take(&mut self.flights);
        for flight in &mut flights {
            if flight.apply.is_some_and(|at| at <= now) {
                flight.apply = None;
                let target = &mut self.targets[flight.target];
                // An order to a run that has ended is lost with it.
                if target.incarnation == flight.incarnation {
                    flight.result = Some(target.apply(&flight.order, flight.arrive, now));
                } else {
                    flight.answer = None;
                }
            }
        }
        let mut rest = Vec::new();
        for mut flight in flights {
            let end = match (flight.answer, flight.result.clone()) {
                (Some(at), Some(done)) if at <= now => Some(done),
                (None, _) if now >= flight.sent + LIMIT => Some(CommandOutcome::Unknown),
                _ if flight.is_grant() && now >= flight.sent + LIMIT => {
                    Some(CommandOutcome::Unknown)
                }
                _ => None,
            };
            if let Some(done) = end
                && flight.reign != 0
            {
                if let Some(keeper) = &mut self.keeper
                    && flight.reign == self.reign
                {
                    keeper.handle_outcome(&flight.order, done, flight.sent, now);
                }
                flight.reign = 0;
                flight.answer = None;
            }
            if flight.reign != 0 || flight.apply.is_some() {
                rest.push(flight);
            }
        }
        self.flights = rest;
    }

    /// Checks that no two targets hold a key.
    fn check(&self) {
        for (at, one) in self.targets.iter().enumerate() {
            for two in &self.targets[at + 1..] {
                for a in one.live(self.now) {
                    for b in two.live(self.now) {
                        assert!(
                            a.last < b.first || b.last < a.first,
                            "seed {}: {a:?} and {b:?} at {at}",
                            self.seed
                        );
                    }
                }
            }
        }
    }

    /// Checks that keys that get another owner get a higher fence.
    fn check_fences(&self, next: &AssignmentTable) {
        for assignment in &next.assignments {
            let before = self.table.assignment(assignment.first);
            let moved = before.owner != assignment.owner;
            assert!(
                !moved || assignment.fence > before.fence,
                "seed {}",
                self.seed
            );
        }
    }

    /// Checks that every key is held by its recorded owner.
    fn check_served(&self) {
        for assignment in &self.table.assignments {
            let owner = assignment.owner.as_ref().expect("every key has an owner");
            let target = &self.targets[index(&owner.id)];
            let held: u32 = target.live(self.now).map(|it| shared(it, assignment)).sum();
            assert!(
                held == assignment.len(),
                "seed {}: {held} keys of {assignment:?} are held",
                self.seed
            );
        }
    }
}

impl Target {
    fn live(&self, now: Instant) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(move |it| self.up && it.until > now)
    }

    fn apply(&mut self, order: &Command, arrived: Instant, now: Instant) -> CommandOutcome {
        let (Command::Grant { assignment, .. } | Command::Release { assignment }) = order;
        let (first, last) = (assignment.first, assignment.last);
        match order {
            Command::Grant { ttl, .. } => {
                let higher = |(a, b, fence): &(u16, u16, Fence)| {
                    *a <= last && first <= *b && *fence > assignment.fence
                };
                if self.seen.iter().any(higher) {
                    return CommandOutcome::StaleFence;
                }
                self.seen.push((first, last, assignment.fence));
                self.drop_range(first, last);
                self.held.push(Held {
                    first,
                    last,
                    fence: assignment.fence,
                    until: arrived + ttl.mul_f64(self.slow),
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

    /// Ends the holds on keys; what lies beside them stays.
    fn drop_range(&mut self, first: u16, last: u16) {
        let mut rest = Vec::new();
        for held in self.held.drain(..) {
            if held.last < first || last < held.first {
                rest.push(held);
                continue;
            }
            if held.first < first {
                rest.push(Held {
                    last: first - 1,
                    ..held.clone()
                });
            }
            if held.last > last {
                rest.push(Held {
                    first: last + 1,
                    ..held
                });
            }
        }
        self.held = rest;
    }
}

/// Returns how many keys of a piece a hold with its fence covers.
fn shared(held: &Held, assignment: &Assignment) -> u32 {
    let first = held.first.max(assignment.first);
    let last = held.last.min(assignment.last);
    match held.fence == assignment.fence && first <= last {
        true => u32::from(last - first) + 1,
        false => 0,
    }
}

fn name(at: usize) -> Name {
    format!("t{at}").into()
}

fn index(id: &str) -> usize {
    id[1..].parse().expect("ids are t and a number")
}
