//! Leader election: at most one instance leads at a time, whatever the store and machines do.

mod seeds;

use {
    cowslip_decide::election::{
        ClaimDelay, ElectionAction, LeaderElection, LeaderRow, LocalTime, StoreTimestamp,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

const LEASE_TTL: Duration = Duration::from_millis(2400);
const TICK_LENGTH: Duration = Duration::from_millis(50);

/// One instance with its own clocks.
struct Machine {
    election: LeaderElection,
    monotonic: Instant,
    since_boot: Duration,
    suspended_ticks: u32,
    claim_delay: ClaimDelay,
}

/// The row in the store: its version and the machine that wrote it.
#[derive(Default)]
struct StoreRow {
    version: u64,
    writer: Option<usize>,
    lease_start: Option<Duration>,
    /// Writes without an answer that are carried out later: tick, expected version, writer, lease
    /// start.
    delayed: Vec<(u32, u64, usize, Duration)>,
}

impl Machine {
    fn now(&self) -> LocalTime {
        LocalTime {
            monotonic: self.monotonic,
            since_boot: self.since_boot,
        }
    }
}

impl StoreRow {
    /// Returns the row as `reader` reads it.
    fn view(&self, reader: usize) -> LeaderRow {
        LeaderRow {
            version: self.version,
            is_own: self.writer == Some(reader),
            released: false,
            lease_start: self.lease_start,
        }
    }

    fn write(&mut self, version: u64, writer: usize, start: Duration) -> bool {
        if self.version != version {
            return false;
        }
        self.version += 1;
        self.writer = Some(writer);
        self.lease_start = Some(start);
        true
    }
}

/// Returns the claim delay of an instance with so many preferred instances before it.
fn claim_delay(position: u32) -> ClaimDelay {
    ClaimDelay {
        duration: position * Duration::from_millis(150),
        includes_own: position > 1,
    }
}

/// Simulates two minutes with store outages, lost responses, delayed writes and suspended machines;
/// returns the number of ticks with a leader.
fn simulate(seed: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut row = StoreRow::default();
    let mut machines: Vec<Machine> = (0..4)
        .map(|position| Machine {
            election: LeaderElection::new(LEASE_TTL),
            monotonic: start,
            since_boot: Duration::ZERO,
            suspended_ticks: 0,
            claim_delay: claim_delay(position),
        })
        .collect();
    let mut led_ticks = 0;
    let (mut outage_ticks, mut loss_ticks) = (0u32, 0u32);
    for tick in 0..2400u32 {
        if rng.random_bool(0.003) {
            outage_ticks = rng.random_range(1..200);
        }
        if rng.random_bool(0.004) {
            loss_ticks = rng.random_range(1..150);
        }
        (outage_ticks, loss_ticks) = (outage_ticks.saturating_sub(1), loss_ticks.saturating_sub(1));
        let (due, remaining) = row.delayed.iter().partition(|(when, ..)| *when <= tick);
        row.delayed = remaining;
        let due: Vec<(u32, u64, usize, Duration)> = due;
        for (_, version, writer, written) in due {
            row.write(version, writer, written);
        }
        for (id, machine) in machines.iter_mut().enumerate() {
            machine.since_boot += TICK_LENGTH;
            if machine.suspended_ticks > 0 {
                machine.suspended_ticks -= 1;
                continue;
            }
            machine.monotonic += TICK_LENGTH;
            if rng.random_bool(0.002) {
                machine.suspended_ticks = rng.random_range(1..160);
                continue;
            }
            let now = machine.now();
            let action = machine.election.next_action(now, machine.claim_delay);
            // Contains the local time of the call, not of the response: the machine may be
            // suspended in between.
            let time = StoreTimestamp {
                store_time: TICK_LENGTH * tick,
                sent_at: now,
            };
            if outage_ticks > 0 {
                continue;
            }
            match action {
                ElectionAction::Wait if rng.random_bool(0.2) => {
                    machine.election.apply_row(row.view(id), now, Some(time))
                }
                ElectionAction::Wait => {}
                ElectionAction::Read => machine.election.apply_row(row.view(id), now, Some(time)),
                ElectionAction::Write { version } => {
                    let Some(written) = machine.election.store_timestamp() else {
                        machine.election.apply_row(row.view(id), now, Some(time));
                        continue;
                    };
                    if loss_ticks > 0 && rng.random_bool(0.4) {
                        machine.election.mark_write_unanswered();
                        if rng.random_bool(0.5) {
                            row.write(version, id, written.store_time);
                            continue;
                        }
                        let due_tick = tick + rng.random_range(20..120);
                        row.delayed
                            .push((due_tick, version, id, written.store_time));
                    } else if row.write(version, id, written.store_time) {
                        machine.election.confirm_write(written, row.version, time);
                    } else {
                        machine.election.apply_row(row.view(id), now, Some(time));
                    }
                }
            }
        }
        let leaders: Vec<usize> = (0..machines.len())
            .filter(|id| machines[*id].election.is_leader(machines[*id].now()))
            .collect();
        assert!(
            leaders.len() < 2,
            "seed {seed}: instances {leaders:?} lead at tick {tick}"
        );
        led_ticks += leaders.len() as u32;
    }
    led_ticks
}

#[test]
fn at_most_one_instance_leads() {
    for seed in 0..seeds::count(300) {
        // A quarter of the 2,400 ticks.
        assert!(
            simulate(seed) > 600,
            "seed {seed}: too few ticks with a leader"
        );
    }
}

#[test]
fn a_machine_that_was_suspended_does_not_act_on_its_old_lease() {
    let start = Instant::now();
    let mut election = LeaderElection::new(LEASE_TTL);
    let before = LocalTime {
        monotonic: start,
        since_boot: Duration::ZERO,
    };
    let timestamp = StoreTimestamp {
        store_time: Duration::ZERO,
        sent_at: before,
    };
    election.confirm_write(timestamp, 1, timestamp);
    assert!(election.is_leader(before));
    let after = LocalTime {
        monotonic: start,
        since_boot: LEASE_TTL,
    };
    assert!(!election.is_leader(after));
    assert_eq!(
        election.next_action(after, ClaimDelay::default()),
        ElectionAction::Read
    );
}

#[test]
fn a_version_from_a_heartbeat_counts_as_known() {
    let start = Instant::now();
    let local_time = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_heartbeat(7, local_time(0));
    assert_eq!(
        election.next_action(local_time(2300), ClaimDelay::default()),
        ElectionAction::Wait
    );
    // The write has to contain a recent store timestamp, so a read comes first.
    assert_eq!(
        election.next_action(local_time(2400), ClaimDelay::default()),
        ElectionAction::Read
    );
    let row = LeaderRow {
        version: 7,
        is_own: false,
        released: false,
        lease_start: None,
    };
    let timestamp = StoreTimestamp {
        store_time: Duration::from_secs(50),
        sent_at: local_time(2400),
    };
    election.apply_row(row, local_time(2400), Some(timestamp));
    let action = election.next_action(local_time(2400), ClaimDelay::default());
    assert_eq!(action, ElectionAction::Write { version: 7 });
}

/// A claim must not contain a store timestamp that is older than the row it replaces. Here the only
/// timestamp is from before the heartbeat.
#[test]
fn a_row_known_only_from_a_heartbeat_is_not_claimed() {
    let start = Instant::now();
    let local_time = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let row = LeaderRow {
        version: 6,
        is_own: false,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    let timestamp = StoreTimestamp {
        store_time: Duration::from_secs(51),
        sent_at: local_time(0),
    };
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_row(row, local_time(0), Some(timestamp));
    election.apply_heartbeat(7, local_time(100));
    for millis in (100..10_000).step_by(50) {
        let action = election.next_action(local_time(millis), ClaimDelay::default());
        assert!(
            !matches!(action, ElectionAction::Write { .. }),
            "after {millis} ms"
        );
    }
}

#[test]
fn an_expired_row_is_claimed_after_the_delay_and_a_fresh_read() {
    let start = Instant::now();
    let local_time = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let row = |is_own| LeaderRow {
        version: 7,
        is_own,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    // At the first read 2,000 ms of the lease TTL of 2,400 ms have passed.
    let timestamp = StoreTimestamp {
        store_time: Duration::from_secs(52),
        sent_at: local_time(0),
    };
    for (position, due) in [(0, 400), (1, 550)] {
        let mut election = LeaderElection::new(LEASE_TTL);
        election.apply_row(row(false), local_time(0), Some(timestamp));
        assert_eq!(
            election.next_action(local_time(due - 1), claim_delay(position)),
            ElectionAction::Wait
        );
        assert_eq!(
            election.next_action(local_time(due), claim_delay(position)),
            ElectionAction::Read,
            "position {position}"
        );
        let fresh_read = StoreTimestamp {
            store_time: timestamp.store_time + Duration::from_millis(due),
            sent_at: local_time(due),
        };
        election.apply_row(row(false), local_time(due), Some(fresh_read));
        let action = election.next_action(local_time(due), claim_delay(position));
        assert_eq!(
            action,
            ElectionAction::Write { version: 7 },
            "position {position}"
        );
    }
    // An instance claims its own row at once, unless its claim delay includes it.
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_row(row(true), local_time(0), Some(timestamp));
    let action = election.next_action(local_time(0), claim_delay(1));
    assert_eq!(action, ElectionAction::Write { version: 7 });
    assert_eq!(
        election.next_action(local_time(0), claim_delay(3)),
        ElectionAction::Wait
    );
}

#[test]
fn a_row_older_than_the_lease_ttl_by_the_store_clock_is_claimed_at_once() {
    // After a restart of all instances none has known the row for a lease TTL.
    let now = LocalTime {
        monotonic: Instant::now(),
        since_boot: Duration::from_secs(100),
    };
    let row = LeaderRow {
        version: 4,
        is_own: false,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    let timestamp = |millis: u64| StoreTimestamp {
        store_time: Duration::from_secs(50) + Duration::from_millis(millis),
        sent_at: now,
    };
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_row(row.clone(), now, Some(timestamp(2300)));
    assert_eq!(
        election.next_action(now, ClaimDelay::default()),
        ElectionAction::Wait
    );
    election.apply_row(row, now, Some(timestamp(2400)));
    assert_eq!(
        election.next_action(now, ClaimDelay::default()),
        ElectionAction::Write { version: 4 }
    );
}
