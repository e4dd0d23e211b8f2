//! The election on a store whose calls take long: at most one instance leads, and one does.

mod election_world;
mod seeds;

use {
    crate::election_world::{Store, claim_delay},
    cowslip_decide::{
        call_timeout::CallTimeout,
        election::{ElectionAction, LeaderElection, LeaderRow, LocalTime, StoreTimestamp},
        names::StoreVersion,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

const LEASE_TTL: Duration = Duration::from_millis(2500);
const TICK_LENGTH: Duration = Duration::from_millis(10);
const TICKS: u32 = 9_000;
/// Time within which an instance leads if calls take less than a second, counted from the last restoration: after
/// each one all instances but the last leader wait for a lease TTL.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(15);
/// Shortest time between two reads of an instance.
const READ_INTERVAL: Duration = Duration::from_millis(150);
const MACHINES: u32 = 4;

/// How the latency of calls is drawn.
#[derive(Clone, Copy, Debug)]
enum Latency {
    /// The same for all calls of a run, but for a tenth.
    Steady(f64),
    /// Anew for each call, up to a bound.
    Drawn(f64),
    /// Rises to a bound and falls again, with this period in seconds.
    Waves(f64, f64),
}

/// What troubles a run, beside latency.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    suspensions: f64,
    restorations: f64,
}

/// A call to the store that has not been answered yet.
struct PendingCall {
    sent_at: LocalTime,
    /// Ticks at which the store carries it out, and at which its answer arrives.
    applied: u32,
    answered: u32,
    request: Request,
    answer: Option<Answer>,
}

#[derive(Clone, Copy)]
enum Request {
    Read,
    Write(StoreVersion, StoreTimestamp),
}

struct Answer {
    era: u64,
    store_time: Duration,
    /// The version that a write has got.
    committed: Option<StoreVersion>,
    row: LeaderRow,
}

/// One instance with its own clocks and at most one call in progress.
struct Machine {
    election: LeaderElection,
    timeout: CallTimeout,
    monotonic: Instant,
    since_boot: Duration,
    suspended_ticks: u32,
    era: Option<u64>,
    last_read: Option<Instant>,
    call: Option<PendingCall>,
}

impl Latency {
    /// Returns the number of ticks that a call takes.
    fn draw(self, rng: &mut StdRng, tick: u32) -> u32 {
        let seconds = match self {
            Self::Steady(latency) => latency * rng.random_range(0.9..1.0),
            Self::Drawn(bound) => rng.random_range(0.0..bound),
            Self::Waves(bound, period) => {
                let phase = f64::from(tick) * TICK_LENGTH.as_secs_f64() / period;
                bound * 0.5 * (1.0 - (std::f64::consts::TAU * phase).cos())
            }
        };
        (seconds / TICK_LENGTH.as_secs_f64()) as u32
    }
}

impl Machine {
    fn new(start: Instant) -> Self {
        Self {
            election: LeaderElection::new(LEASE_TTL),
            timeout: CallTimeout::default(),
            monotonic: start,
            since_boot: Duration::ZERO,
            suspended_ticks: 0,
            era: None,
            last_read: None,
            call: None,
        }
    }

    fn now(&self) -> LocalTime {
        LocalTime {
            monotonic: self.monotonic,
            since_boot: self.since_boot,
        }
    }

    /// Returns the call to begin now.
    fn next_request(&mut self, position: u32, searches: bool) -> Option<Request> {
        let is_read_due = self
            .last_read
            .is_none_or(|at| self.monotonic - at >= READ_INTERVAL);
        match self.election.next_action(self.now(), claim_delay(position)) {
            ElectionAction::Write { version } => {
                let written = self.election.store_timestamp()?;
                Some(Request::Write(version, written))
            }
            ElectionAction::Read => is_read_due.then_some(Request::Read),
            ElectionAction::Wait => (is_read_due && searches).then_some(Request::Read),
        }
    }

    /// Follows the era of an answer; returns whether it is a new one.
    fn observe_era(&mut self, era: u64) -> bool {
        if self.era == Some(era) {
            return false;
        }
        let is_bootstrap = self.era.is_none() && era == 0;
        self.era = Some(era);
        let now = self.now();
        self.election.enter_era(era, now, true, is_bootstrap);
        true
    }

    fn apply_answer(&mut self, call: &PendingCall, answer: &Answer) {
        let timestamp = StoreTimestamp {
            store_time: answer.store_time,
            sent_at: call.sent_at,
        };
        let is_new_era = self.observe_era(answer.era);
        match (call.request, answer.committed) {
            (Request::Write(_, written), Some(version)) if !is_new_era => {
                self.election.confirm_write(written, version, timestamp);
            }
            // The answer of an earlier era tells nothing of the present one.
            (Request::Write(..), _) if is_new_era => {}
            _ => {
                let now = self.now();
                self.election
                    .apply_row(answer.row.clone(), now, Some(timestamp));
            }
        }
    }

    /// Applies the end of the call: its answer, or its timeout.
    fn end_call(&mut self, tick: u32) {
        let Some(call) = self.call.take() else {
            return;
        };
        let elapsed = self.monotonic - call.sent_at.monotonic;
        let is_late = elapsed > self.timeout.get();
        match &call.answer {
            Some(answer) if tick >= call.answered && !is_late => {
                self.timeout.record_answer(elapsed);
                self.apply_answer(&call, answer);
            }
            _ if is_late => {
                self.timeout.record_timeout();
                if matches!(call.request, Request::Write(..)) {
                    self.election.mark_write_unanswered();
                }
            }
            _ => self.call = Some(call),
        }
    }
}

/// Carries a call out at the store.
fn carry_out(store: &mut Store, call: &mut PendingCall, machine: usize, era: u64, tick: u32) {
    let row = store.rows.get(&era).and_then(|it| it.lease_start);
    // Nobody reads the row of an earlier era.
    let replaced = row.filter(|_| era == store.era);
    let committed = match call.request {
        Request::Read => None,
        Request::Write(version, written) => {
            let committed = store.write(era, version, machine, written.store_time);
            // Readers of the row would take the grants of the replaced leader for over too early.
            let is_older = replaced.is_some_and(|it| written.store_time < it);
            assert!(
                committed.is_none() || !is_older,
                "tick {tick}: {machine} replaces a later row"
            );
            committed
        }
    };
    call.answer = Some(Answer {
        era: store.era,
        store_time: TICK_LENGTH * tick,
        committed,
        row: store.view(machine),
    });
}

/// Simulates a deployment for 90 s; returns the longest time without a leader and without a restoration.
fn simulate(seed: u64, latency: Latency, trouble: Trouble) -> Duration {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut store = Store::default();
    let mut machines: Vec<Machine> = (0..MACHINES).map(|_| Machine::new(start)).collect();
    // Writes whose senders no longer wait for them.
    let mut abandoned: Vec<(usize, u64, PendingCall)> = Vec::new();
    let (mut leaderless, mut longest) = (0, 0);
    let mut acted: Vec<(usize, u64)> = Vec::new();
    for tick in 0..TICKS {
        if rng.random_bool(trouble.restorations) {
            store.restore(rng.random_range(0..20));
            leaderless = 0;
        }
        for (id, era, call) in &mut abandoned {
            if call.applied == tick {
                carry_out(&mut store, call, *id, *era, tick);
            }
        }
        for (id, machine) in machines.iter_mut().enumerate() {
            machine.since_boot += TICK_LENGTH;
            let era = machine.era.unwrap_or(0);
            if let Some(call) = machine.call.as_mut().filter(|it| it.applied == tick) {
                carry_out(&mut store, call, id, era, tick);
            }
            if machine.suspended_ticks > 0 {
                machine.suspended_ticks -= 1;
                continue;
            }
            machine.monotonic += TICK_LENGTH;
            if rng.random_bool(trouble.suspensions) {
                machine.suspended_ticks = rng.random_range(1..600);
                continue;
            }
            let pending = machine
                .call
                .as_ref()
                .map(|it| (it.sent_at, it.request, it.applied, it.answered));
            machine.end_call(tick);
            if machine.call.is_some() {
                continue;
            }
            if let Some((sent_at, request, applied, answered)) = pending.filter(|it| it.2 > tick) {
                let call = PendingCall {
                    sent_at,
                    applied,
                    answered,
                    request,
                    answer: None,
                };
                abandoned.push((id, era, call));
            }
            let searches = rng.random_bool(0.02);
            if let Some(request) = machine.next_request(id as u32, searches) {
                let ticks = latency.draw(&mut rng, tick);
                if matches!(request, Request::Read) {
                    machine.last_read = Some(machine.monotonic);
                }
                machine.call = Some(PendingCall {
                    sent_at: machine.now(),
                    applied: tick + 1 + rng.random_range(0..=ticks),
                    answered: tick + 1 + ticks,
                    request,
                    answer: None,
                });
            }
        }
        let leaders: Vec<usize> = (0..machines.len())
            .filter(|id| machines[*id].election.is_leader(machines[*id].now()))
            .collect();
        assert!(
            leaders.len() < 2,
            "seed {seed}, {latency:?}: {leaders:?} lead at tick {tick}"
        );
        leaderless = match leaders.is_empty() {
            true => leaderless + 1,
            false => 0,
        };
        longest = longest.max(leaderless);
        for id in leaders {
            let leader = (id, machines[id].election.epoch());
            if acted.last() != Some(&leader) {
                // An epoch must not continue once another instance has led.
                assert!(
                    !acted.contains(&leader),
                    "seed {seed}, {latency:?}: tick {tick}"
                );
                acted.push(leader);
            }
        }
    }
    TICK_LENGTH * longest
}

/// Returns latencies of all kinds up to a bound.
fn latencies(seed: u64, bound: f64) -> [Latency; 3] {
    let share = (seed % 20 + 1) as f64 / 20.0;
    [
        Latency::Steady(share * bound),
        Latency::Drawn(share * bound),
        Latency::Waves(share * bound, 7.0 + (seed % 13) as f64),
    ]
}

const QUIET: Trouble = Trouble {
    suspensions: 0.0,
    restorations: 0.0,
};
const SUSPENSIONS: Trouble = Trouble {
    suspensions: 0.0004,
    restorations: 0.0,
};
const ALL: Trouble = Trouble {
    suspensions: 0.0004,
    restorations: 0.0004,
};

/// Guards against a store that is slow, but answers, and for which no instance ever becomes leader.
#[test]
fn an_instance_leads_while_calls_take_up_to_a_second() {
    for seed in 0..seeds::count(60) {
        for latency in latencies(seed, 1.0) {
            for trouble in [QUIET, SUSPENSIONS, ALL] {
                let longest = simulate(seed, latency, trouble);
                assert!(
                    longest <= LEADERLESS_LIMIT,
                    "seed {seed}, {latency:?}, {trouble:?}: {longest:?}"
                );
            }
        }
    }
}

#[test]
fn at_most_one_instance_leads_while_calls_take_up_to_two_seconds() {
    for seed in 0..seeds::count(60) {
        for latency in latencies(seed, 2.0) {
            simulate(seed, latency, ALL);
        }
    }
}
