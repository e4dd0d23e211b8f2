//! Leadership: at most one instance acts at a time, whatever the store and the machines do.

mod seeds;

use {
    cowslip_decide::election::{
        ClaimDelay, ElectionAction, LeaderElection, LeaderRow, LocalTime, StoreTimestamp,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

const TERM: Duration = Duration::from_millis(2400);
const TICK: Duration = Duration::from_millis(50);

/// One instance with its own clocks.
struct Machine {
    lead: LeaderElection,
    monotonic: Instant,
    since_boot: Duration,
    frozen: u32,
    turn: ClaimDelay,
}

/// The row: its version and the machine that wrote it.
#[derive(Default)]
struct Row {
    version: u64,
    writer: Option<usize>,
    marked: Option<Duration>,
    /// Writes whose answer was lost and that are carried out later: tick, condition, writer, time
    /// that they say.
    late: Vec<(u32, u64, usize, Duration)>,
}

impl Machine {
    fn now(&self) -> LocalTime {
        LocalTime {
            monotonic: self.monotonic,
            since_boot: self.since_boot,
        }
    }
}

impl Row {
    fn seat(&self, reader: usize) -> LeaderRow {
        LeaderRow {
            version: self.version,
            is_own: self.writer == Some(reader),
            released: false,
            lease_start: self.marked,
        }
    }

    fn write(&mut self, version: u64, writer: usize, said: Duration) -> bool {
        if self.version != version {
            return false;
        }
        self.version += 1;
        self.writer = Some(writer);
        self.marked = Some(said);
        true
    }
}

/// Returns the turn of an instance before which so many others come.
fn turn(rank: u32) -> ClaimDelay {
    ClaimDelay {
        duration: rank * Duration::from_millis(150),
        includes_own: rank > 1,
    }
}

/// Plays two minutes; returns how many ticks had a leader.
fn play(seed: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut row = Row::default();
    let mut machines: Vec<Machine> = (0..4)
        .map(|rank| Machine {
            lead: LeaderElection::new(TERM),
            monotonic: start,
            since_boot: Duration::ZERO,
            frozen: 0,
            turn: turn(rank),
        })
        .collect();
    let mut led = 0;
    let (mut down, mut lossy) = (0u32, 0u32);
    for tick in 0..2400u32 {
        if rng.random_bool(0.003) {
            down = rng.random_range(1..200);
        }
        if rng.random_bool(0.004) {
            lossy = rng.random_range(1..150);
        }
        (down, lossy) = (down.saturating_sub(1), lossy.saturating_sub(1));
        let (due, rest) = row.late.iter().partition(|(at, ..)| *at <= tick);
        row.late = rest;
        let due: Vec<(u32, u64, usize, Duration)> = due;
        for (_, version, writer, said) in due {
            row.write(version, writer, said);
        }
        for (at, machine) in machines.iter_mut().enumerate() {
            machine.since_boot += TICK;
            if machine.frozen > 0 {
                machine.frozen -= 1;
                continue;
            }
            machine.monotonic += TICK;
            if rng.random_bool(0.002) {
                machine.frozen = rng.random_range(1..160);
                continue;
            }
            let now = machine.now();
            let step = machine.lead.next_action(now, machine.turn);
            // The call was sent a little before the store answered it.
            let told = StoreTimestamp {
                store_time: TICK * tick,
                sent_at: now,
            };
            if down > 0 {
                continue;
            }
            match step {
                ElectionAction::Wait if rng.random_bool(0.2) => {
                    machine.lead.apply_row(row.seat(at), now, Some(told))
                }
                ElectionAction::Wait => {}
                ElectionAction::Read => machine.lead.apply_row(row.seat(at), now, Some(told)),
                ElectionAction::Write { version } => {
                    let Some(said) = machine.lead.store_timestamp() else {
                        machine.lead.apply_row(row.seat(at), now, Some(told));
                        continue;
                    };
                    if lossy > 0 && rng.random_bool(0.4) {
                        machine.lead.mark_write_unanswered();
                        if rng.random_bool(0.5) {
                            row.write(version, at, said.store_time);
                            continue;
                        }
                        let later = tick + rng.random_range(20..120);
                        row.late.push((later, version, at, said.store_time));
                    } else if row.write(version, at, said.store_time) {
                        // The machine may be suspended while the answer is on its way.
                        machine.lead.confirm_write(said, row.version, told);
                    } else {
                        machine.lead.apply_row(row.seat(at), now, Some(told));
                    }
                }
            }
        }
        let acting: Vec<usize> = (0..machines.len())
            .filter(|at| machines[*at].lead.is_leader(machines[*at].now()))
            .collect();
        assert!(
            acting.len() < 2,
            "seed {seed}: {acting:?} lead at tick {tick}"
        );
        led += acting.len() as u32;
    }
    led
}

#[test]
fn at_most_one_instance_leads() {
    for seed in 0..seeds::count(300) {
        assert!(play(seed) > 600, "seed {seed}: hardly any leader");
    }
}

#[test]
fn a_machine_that_was_suspended_does_not_act_on_its_old_lease() {
    let start = Instant::now();
    let mut lead = LeaderElection::new(TERM);
    let before = LocalTime {
        monotonic: start,
        since_boot: Duration::ZERO,
    };
    let mark = StoreTimestamp {
        store_time: Duration::ZERO,
        sent_at: before,
    };
    lead.confirm_write(mark, 1, mark);
    assert!(lead.is_leader(before));
    let after = LocalTime {
        monotonic: start,
        since_boot: TERM,
    };
    assert!(!lead.is_leader(after));
    assert_eq!(
        lead.next_action(after, ClaimDelay::default()),
        ElectionAction::Read
    );
}

#[test]
fn a_version_that_was_heard_counts_as_seen() {
    let start = Instant::now();
    let at = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let mut lead = LeaderElection::new(TERM);
    lead.apply_heartbeat(7, at(0));
    assert_eq!(
        lead.next_action(at(2300), ClaimDelay::default()),
        ElectionAction::Wait
    );
    // A time of the store's clock comes first: the write has to say one.
    assert_eq!(
        lead.next_action(at(2400), ClaimDelay::default()),
        ElectionAction::Read
    );
    let seat = LeaderRow {
        version: 7,
        is_own: false,
        released: false,
        lease_start: None,
    };
    let mark = StoreTimestamp {
        store_time: Duration::from_secs(50),
        sent_at: at(2400),
    };
    lead.apply_row(seat, at(2400), Some(mark));
    let step = lead.next_action(at(2400), ClaimDelay::default());
    assert_eq!(step, ElectionAction::Write { version: 7 });
}

/// The time of the store's clock that a write says must not be older than the row that it replaces.
#[test]
fn a_version_that_was_only_heard_is_not_replaced() {
    let start = Instant::now();
    let at = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let row = LeaderRow {
        version: 6,
        is_own: false,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    let told = StoreTimestamp {
        store_time: Duration::from_secs(51),
        sent_at: at(0),
    };
    let mut lead = LeaderElection::new(TERM);
    lead.apply_row(row, at(0), Some(told));
    lead.apply_heartbeat(7, at(100));
    for millis in (100..10_000).step_by(50) {
        let step = lead.next_action(at(millis), ClaimDelay::default());
        assert!(
            !matches!(step, ElectionAction::Write { .. }),
            "after {millis} ms"
        );
    }
}

#[test]
fn a_row_that_runs_out_is_taken_in_turn_after_a_last_look() {
    let start = Instant::now();
    let at = |millis: u64| LocalTime {
        monotonic: start + Duration::from_millis(millis),
        since_boot: Duration::from_millis(millis),
    };
    let row = |own| LeaderRow {
        version: 7,
        is_own: own,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    // At the read 2,000 ms of the term of 2,400 have passed.
    let told = StoreTimestamp {
        store_time: Duration::from_secs(52),
        sent_at: at(0),
    };
    for (rank, due) in [(0, 400), (1, 550)] {
        let mut lead = LeaderElection::new(TERM);
        lead.apply_row(row(false), at(0), Some(told));
        assert_eq!(
            lead.next_action(at(due - 1), turn(rank)),
            ElectionAction::Wait
        );
        assert_eq!(
            lead.next_action(at(due), turn(rank)),
            ElectionAction::Read,
            "rank {rank}"
        );
        let look = StoreTimestamp {
            store_time: told.store_time + Duration::from_millis(due),
            sent_at: at(due),
        };
        lead.apply_row(row(false), at(due), Some(look));
        let step = lead.next_action(at(due), turn(rank));
        assert_eq!(step, ElectionAction::Write { version: 7 }, "rank {rank}");
    }
    // Its own row is taken again at once, unless much stronger ones are there.
    let mut lead = LeaderElection::new(TERM);
    lead.apply_row(row(true), at(0), Some(told));
    let step = lead.next_action(at(0), turn(1));
    assert_eq!(step, ElectionAction::Write { version: 7 });
    assert_eq!(lead.next_action(at(0), turn(3)), ElectionAction::Wait);
}

#[test]
fn a_row_that_is_a_term_old_by_the_clock_of_the_store_is_taken_at_once() {
    // After a loss of all instances none has seen the row for long.
    let now = LocalTime {
        monotonic: Instant::now(),
        since_boot: Duration::from_secs(100),
    };
    let seat = LeaderRow {
        version: 4,
        is_own: false,
        released: false,
        lease_start: Some(Duration::from_secs(50)),
    };
    let told = |millis: u64| StoreTimestamp {
        store_time: Duration::from_secs(50) + Duration::from_millis(millis),
        sent_at: now,
    };
    let mut lead = LeaderElection::new(TERM);
    lead.apply_row(seat.clone(), now, Some(told(2300)));
    assert_eq!(
        lead.next_action(now, ClaimDelay::default()),
        ElectionAction::Wait
    );
    lead.apply_row(seat, now, Some(told(2400)));
    assert_eq!(
        lead.next_action(now, ClaimDelay::default()),
        ElectionAction::Write { version: 4 }
    );
}
