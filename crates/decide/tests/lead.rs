//! Leadership: at most one instance acts at a time, whatever the store and the machines do.

use {
    cowslip_decide::lead::{Lead, Moment, Seat, Step},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

const TERM: Duration = Duration::from_millis(2400);
const TICK: Duration = Duration::from_millis(50);

/// One instance with its own clocks.
struct Machine {
    lead: Lead,
    steady: Instant,
    boot: Duration,
    frozen: u32,
}

/// The row: its version and the machine that wrote it.
#[derive(Default)]
struct Row {
    version: u64,
    writer: Option<usize>,
    /// Writes whose answer was lost and that are carried out later: tick, condition, writer.
    late: Vec<(u32, u64, usize)>,
}

impl Machine {
    fn now(&self) -> Moment {
        Moment {
            steady: self.steady,
            boot: self.boot,
        }
    }
}

impl Row {
    fn seat(&self, reader: usize) -> Seat {
        Seat {
            version: self.version,
            own: self.writer == Some(reader),
            vacant: false,
        }
    }

    fn write(&mut self, version: u64, writer: usize) -> bool {
        if self.version != version {
            return false;
        }
        self.version += 1;
        self.writer = Some(writer);
        true
    }
}

/// Plays two minutes; returns how many ticks had a leader.
fn play(seed: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut row = Row::default();
    let mut machines: Vec<Machine> = (0..4)
        .map(|_| Machine {
            lead: Lead::new(TERM),
            steady: start,
            boot: Duration::ZERO,
            frozen: 0,
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
        let due: Vec<(u32, u64, usize)> = due;
        for (_, version, writer) in due {
            row.write(version, writer);
        }
        for (at, machine) in machines.iter_mut().enumerate() {
            machine.boot += TICK;
            if machine.frozen > 0 {
                machine.frozen -= 1;
                continue;
            }
            machine.steady += TICK;
            if rng.random_bool(0.002) {
                machine.frozen = rng.random_range(1..160);
                continue;
            }
            let now = machine.now();
            let step = machine.lead.step(now);
            if down > 0 {
                continue;
            }
            match step {
                Step::Rest if rng.random_bool(0.2) => machine.lead.read(row.seat(at), now),
                Step::Rest => {}
                Step::Read => machine.lead.read(row.seat(at), now),
                Step::Write { version } if lossy > 0 && rng.random_bool(0.4) => {
                    machine.lead.unanswered();
                    match rng.random_bool(0.5) {
                        true => drop(row.write(version, at)),
                        false => {
                            let later = tick + rng.random_range(20..120);
                            row.late.push((later, version, at));
                        }
                    }
                }
                Step::Write { version } => match row.write(version, at) {
                    // The machine may be suspended while the answer is on its way.
                    true => machine.lead.written(now, row.version),
                    false => machine.lead.read(row.seat(at), now),
                },
            }
        }
        let acting: Vec<usize> = (0..machines.len())
            .filter(|at| machines[*at].lead.leads(machines[*at].now()))
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
    for seed in 0..300 {
        assert!(play(seed) > 600, "seed {seed}: hardly any leader");
    }
}

#[test]
fn a_machine_that_was_suspended_does_not_act_on_its_old_lease() {
    let start = Instant::now();
    let mut lead = Lead::new(TERM);
    let before = Moment {
        steady: start,
        boot: Duration::ZERO,
    };
    lead.written(before, 1);
    assert!(lead.leads(before));
    let after = Moment {
        steady: start,
        boot: TERM,
    };
    assert!(!lead.leads(after));
    assert_eq!(lead.step(after), Step::Read);
}

#[test]
fn a_version_that_was_heard_counts_as_seen() {
    let start = Instant::now();
    let at = |millis: u64| Moment {
        steady: start + Duration::from_millis(millis),
        boot: Duration::from_millis(millis),
    };
    let mut lead = Lead::new(TERM);
    lead.hear(7, at(0));
    assert_eq!(lead.step(at(2300)), Step::Rest);
    assert_eq!(lead.step(at(2400)), Step::Write { version: 7 });
}
