//! Leader election: at most one instance leads at a time, whatever the store and machines do.

mod election_world;
mod seeds;

use {
    crate::election_world::{Store, claim_delay},
    cowslip_decide::{
        election::{
            ClaimDelay, ElectionAction, LeaderElection, LeaderRow, LocalTime, StoreTimestamp,
        },
        names::StoreVersion,
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
    /// Era of the store's last response; `None` before the first.
    era: Option<u64>,
}

/// A write with the tick at which it is carried out.
#[derive(Clone, Copy)]
struct DelayedWrite {
    due: u32,
    era: u64,
    expected: StoreVersion,
    writer: usize,
    lease_start: Duration,
}

/// Carries out the delayed writes that are due.
fn carry_out(delayed: &mut Vec<DelayedWrite>, store: &mut Store, tick: u32) {
    for late in delayed.extract_if(.., |it| it.due <= tick) {
        store.write(late.era, late.expected, late.writer, late.lease_start);
    }
}

fn version(number: u64) -> StoreVersion {
    StoreVersion { era: 0, number }
}

impl Machine {
    fn now(&self) -> LocalTime {
        LocalTime {
            monotonic: self.monotonic,
            since_boot: self.since_boot,
        }
    }

    /// Returns the time of the call, not of the response: the machine may be suspended in between.
    fn timestamp(&self, tick: u32) -> StoreTimestamp {
        StoreTimestamp {
            store_time: TICK_LENGTH * tick,
            sent_at: self.now(),
        }
    }

    /// Follows the era of a response; returns whether it is a new one.
    fn observe_era(&mut self, era: u64) -> bool {
        let is_bootstrap = self.era.is_none() && era == 0;
        if self.era == Some(era) {
            return false;
        }
        self.era = Some(era);
        let now = self.now();
        self.election.enter_era(era, now, true, is_bootstrap);
        true
    }

    fn read(&mut self, store: &Store, id: usize, tick: u32) {
        self.observe_era(store.era);
        let (now, timestamp) = (self.now(), self.timestamp(tick));
        self.election
            .apply_row(store.view(id), now, Some(timestamp));
    }

    /// Writes the row of the era that the machine knows.
    fn write(&mut self, store: &mut Store, version: StoreVersion, id: usize, tick: u32) {
        let Some(written) = self.election.store_timestamp() else {
            return self.read(store, id, tick);
        };
        let era = self.era.unwrap_or(0);
        let committed = store.write(era, version, id, written.store_time);
        if self.observe_era(store.era) {
            return;
        }
        match committed {
            Some(version) => {
                let timestamp = self.timestamp(tick);
                self.election.confirm_write(written, version, timestamp);
            }
            None => self.read(store, id, tick),
        }
    }
}

/// Simulates two minutes with store outages, lost responses, delayed writes, suspended machines and,
/// with `restores`, restorations of the store; returns the number of ticks with a leader.
fn simulate(seed: u64, restores: bool) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut store = Store::default();
    // Writes without an answer that are carried out later.
    let mut delayed = Vec::new();
    let mut machines: Vec<Machine> = (0..4)
        .map(|position| Machine {
            election: LeaderElection::new(LEASE_TTL),
            monotonic: start,
            since_boot: Duration::ZERO,
            suspended_ticks: 0,
            claim_delay: claim_delay(position),
            era: None,
        })
        .collect();
    let mut led_ticks = 0;
    let (mut outage_ticks, mut loss_ticks) = (0u32, 0u32);
    // Each leader with its epoch, in the order in which they acted.
    let mut acted: Vec<(usize, u64)> = Vec::new();
    for tick in 0..2400u32 {
        if rng.random_bool(0.003) {
            outage_ticks = rng.random_range(1..200);
        }
        if rng.random_bool(0.004) {
            loss_ticks = rng.random_range(1..150);
        }
        if restores && rng.random_bool(0.004) {
            store.restore(rng.random_range(0..20));
            outage_ticks = outage_ticks.max(rng.random_range(0..20));
        }
        (outage_ticks, loss_ticks) = (outage_ticks.saturating_sub(1), loss_ticks.saturating_sub(1));
        carry_out(&mut delayed, &mut store, tick);
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
            let action = machine
                .election
                .next_action(machine.now(), machine.claim_delay);
            if outage_ticks > 0 {
                continue;
            }
            let loses_response = loss_ticks > 0 && rng.random_bool(0.4);
            match action {
                ElectionAction::Wait if rng.random_bool(0.2) => machine.read(&store, id, tick),
                ElectionAction::Wait => {}
                ElectionAction::Read => machine.read(&store, id, tick),
                ElectionAction::Write { version } if loses_response => {
                    let Some(written) = machine.election.store_timestamp() else {
                        continue;
                    };
                    machine.election.mark_write_unanswered();
                    let late = DelayedWrite {
                        due: tick + rng.random_range(0..120),
                        era: machine.era.unwrap_or(0),
                        expected: version,
                        writer: id,
                        lease_start: written.store_time,
                    };
                    delayed.push(late);
                }
                ElectionAction::Write { version } => {
                    machine.write(&mut store, version, id, tick);
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
        for id in leaders {
            led_ticks += 1;
            let leader = (id, machines[id].election.epoch());
            if acted.last() != Some(&leader) {
                // An epoch must not continue once another instance has led.
                assert!(!acted.contains(&leader), "seed {seed}: tick {tick}");
                acted.push(leader);
            }
        }
    }
    led_ticks
}

#[test]
fn at_most_one_instance_leads() {
    for seed in 0..seeds::count(300) {
        // A quarter of the 2,400 ticks.
        assert!(
            simulate(seed, false) > 600,
            "seed {seed}: too few ticks with a leader"
        );
    }
}

#[test]
fn at_most_one_instance_leads_while_the_store_is_restored_from_backups() {
    for seed in 0..seeds::count(300) {
        // Several restorations in two minutes, each with an outage, leave less time with a leader.
        assert!(
            simulate(seed, true) > 400,
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
    election.confirm_write(timestamp, version(1), timestamp);
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
fn a_leader_continues_in_a_new_era_only_if_its_lease_was_valid_until_then() {
    let start = Instant::now();
    let at = |since_boot: Duration| LocalTime {
        monotonic: start,
        since_boot,
    };
    let begin = |now: LocalTime, knows_assignments: bool| {
        let timestamp = StoreTimestamp {
            store_time: Duration::ZERO,
            sent_at: at(Duration::ZERO),
        };
        let mut election = LeaderElection::new(LEASE_TTL);
        election.enter_era(0, at(Duration::ZERO), false, true);
        election.confirm_write(timestamp, version(1), timestamp);
        let epoch = election.epoch();
        election.enter_era(1, now, knows_assignments, false);
        assert!(
            !election.is_leader(now),
            "acts before it has claimed the row"
        );
        (election.is_continuing(), election.epoch() == epoch)
    };
    assert_eq!(begin(at(LEASE_TTL / 2), true), (true, true));
    assert_eq!(begin(at(LEASE_TTL / 2), false), (false, false));
    // The machine was suspended.
    assert_eq!(begin(at(LEASE_TTL), true), (false, false));
}

#[test]
fn a_version_from_a_heartbeat_counts_as_known() {
    let start = Instant::now();
    let local_time = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_heartbeat(version(7), local_time(0));
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
        version: version(7),
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
    assert_eq!(
        action,
        ElectionAction::Write {
            version: version(7)
        }
    );
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
        version: version(6),
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
    election.apply_heartbeat(version(7), local_time(100));
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
        version: version(7),
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
            ElectionAction::Write {
                version: version(7)
            },
            "position {position}"
        );
    }
    // An instance claims its own row at once, unless its claim delay includes it.
    let mut election = LeaderElection::new(LEASE_TTL);
    election.apply_row(row(true), local_time(0), Some(timestamp));
    let action = election.next_action(local_time(0), claim_delay(1));
    assert_eq!(
        action,
        ElectionAction::Write {
            version: version(7)
        }
    );
    assert_eq!(
        election.next_action(local_time(0), claim_delay(3)),
        ElectionAction::Wait
    );
}

#[test]
fn a_row_is_free_once_its_lease_is_over() {
    let start = Instant::now();
    let local_time = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let mut election = LeaderElection::new(LEASE_TTL);
    assert!(election.is_row_free(local_time(0)), "no row is known");
    let row = LeaderRow {
        version: version(7),
        is_own: false,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    // 2,000 ms of the lease TTL of 2,400 ms have passed.
    let timestamp = StoreTimestamp {
        store_time: Duration::from_secs(52),
        sent_at: local_time(0),
    };
    election.apply_row(row.clone(), local_time(0), Some(timestamp));
    assert!(!election.is_row_free(local_time(399)));
    assert!(election.is_row_free(local_time(400)));
    // A renewal that a heartbeat tells.
    election.apply_heartbeat(version(8), local_time(500));
    assert!(!election.is_row_free(local_time(2899)));
    assert!(election.is_row_free(local_time(2900)));
    let released = LeaderRow {
        version: version(9),
        released: true,
        ..row
    };
    election.apply_row(released, local_time(600), None);
    assert!(election.is_row_free(local_time(600)));
}

#[test]
fn a_row_older_than_the_lease_ttl_by_the_store_clock_is_claimed_at_once() {
    // After a restart of all instances none has known the row for a lease TTL.
    let now = LocalTime {
        monotonic: Instant::now(),
        since_boot: Duration::from_secs(100),
    };
    let row = LeaderRow {
        version: version(4),
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
        ElectionAction::Write {
            version: version(4)
        }
    );
}
