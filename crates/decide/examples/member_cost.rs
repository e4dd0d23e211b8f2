//! Prints what a member costs in calm: messages, bytes and processor time.
//!
//! Bytes are estimated: a name or map entry takes its length and two more, a number four.

use {
    cowslip_decide::{
        assign::{Assignment, Holding, KeyRange},
        duty::{Duties, HoldReport, Load},
        member::{Heartbeat, Member, Step, Timing},
        names::{Fence, Incarnation, Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        hint::black_box,
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Members, targets and ranges of each line of the table.
const SIZES: [(usize, usize, usize); 5] = [
    (12, 55, 200),
    (12, 55, 2_000),
    (12, 550, 200),
    (48, 55, 200),
    (96, 55, 200),
];
const TICK: Duration = Duration::from_millis(10);
const WARM: u32 = 200;
const TICKS: u32 = 300;
const LOOKUPS: u64 = 1_000_000;

/// What member 0 did and took.
#[derive(Default)]
struct Cost {
    beats: u64,
    acks: u64,
    bytes: usize,
    busy: Duration,
}

struct Bench {
    names: Vec<Name>,
    members: Vec<Member>,
    now: Instant,
    cost: Cost,
}

fn main() {
    println!("members targets ranges | beats/s acks/s  kB/s  cpu% | adopt us lookup ns");
    for (members, targets, ranges) in SIZES {
        let mut bench = Bench::new(members, targets, ranges);
        (0..WARM).for_each(|_| bench.tick());
        bench.cost = Cost::default();
        (0..TICKS).for_each(|_| bench.tick());
        let seconds = (TICK * TICKS).as_secs_f64();
        let Cost {
            beats,
            acks,
            bytes,
            busy,
        } = &bench.cost;
        println!(
            "{members:7} {targets:7} {ranges:6} | {:7.0} {:6.0} {:5.1} {:5.2} | {:8.0} {:9.1}",
            *beats as f64 / seconds,
            *acks as f64 / seconds,
            *bytes as f64 / seconds / 1e3,
            busy.as_secs_f64() / seconds * 100.0,
            bench.adopt(targets, ranges) * 1e6,
            bench.lookup() * 1e9,
        );
    }
}

impl Bench {
    fn new(members: usize, targets: usize, ranges: usize) -> Self {
        let now = Instant::now();
        let names: Vec<Name> = (0..members)
            .map(|i| format!("entry-{i:03}").into())
            .collect();
        let contacts: BTreeSet<Name> = names.iter().cloned().collect();
        let row = Arc::new(row(&names, targets, ranges, 1));
        let member = |name: &Name| {
            let contacts = contacts.clone();
            let mut member = Member::new(
                name.clone(),
                Incarnation(1),
                contacts,
                Timing::default(),
                now,
            );
            member.adopt(now, row.clone());
            member
        };
        let members = names.iter().map(member).collect();
        Self {
            names,
            members,
            now,
            cost: Cost::default(),
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for i in 0..self.members.len() {
            self.drive(i, |member, now| member.tick(now));
        }
    }

    fn drive(&mut self, i: usize, input: impl FnOnce(&mut Member, Instant) -> Vec<Step>) {
        let start = Instant::now();
        let steps = input(&mut self.members[i], self.now);
        if i == 0 {
            self.cost.busy += start.elapsed();
        }
        for step in steps {
            self.step(i, step);
        }
    }

    fn step(&mut self, i: usize, step: Step) {
        match step {
            Step::Heartbeat { to, beat } => {
                if i == 0 {
                    self.cost.beats += 1;
                    self.cost.bytes += size(&beat);
                }
                let beat = (*beat).clone();
                self.drive(self.index(&to), |member, now| member.hear(now, beat));
            }
            Step::Ack { to, ack } => {
                if i == 0 {
                    self.cost.acks += 1;
                    self.cost.bytes += ack.from.len() + 14;
                }
                self.drive(self.index(&to), |member, now| member.acked(now, ack));
            }
            Step::Duties(duties) => self.settle(i, duties),
            _ => {}
        }
    }

    fn index(&self, name: &Name) -> usize {
        self.names.binary_search(name).expect("a member")
    }

    fn settle(&mut self, i: usize, duties: Duties) {
        let load = |name: &Name| (name.clone(), Load::default());
        let loads = HoldReport::Loads(duties.held.keys().map(load).collect());
        let seq = duties.seq;
        self.drive(i, |member, now| member.report(now, loads));
        self.drive(i, |member, now| {
            member.report(now, HoldReport::Settled { seq })
        });
    }

    /// Returns the seconds that member 0 takes to adopt a version.
    fn adopt(&mut self, targets: usize, ranges: usize) -> f64 {
        let next = Arc::new(row(&self.names, targets, ranges, 2));
        let start = Instant::now();
        black_box(self.members[0].adopt(self.now, next));
        start.elapsed().as_secs_f64()
    }

    /// Returns the seconds that a lookup of an owner and its holder takes.
    fn lookup(&mut self) -> f64 {
        let next = Arc::new(row(&self.names, 55, 200, 3));
        let steps = self.members[0].adopt(self.now, next);
        let view = steps.into_iter().find_map(|step| match step {
            Step::View(view) => Some(view),
            _ => None,
        });
        let view = view.expect("a view");
        let start = Instant::now();
        for i in 0..LOOKUPS {
            let hash = i.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let owner = black_box(view.owner("board", hash));
            black_box(owner.and_then(|owner| view.holder(&owner.target)));
        }
        start.elapsed().as_secs_f64() / LOOKUPS as f64
    }
}

fn row(names: &[Name], targets: usize, ranges: usize, version: u64) -> Assignment {
    let target = |i: usize| -> Name { format!("target-{:04}", i % targets).into() };
    let range = |i: usize| KeyRange {
        start: u64::MAX / ranges as u64 * i as u64,
        owner: target(i),
        standby: Some(target(i + 1)),
        fence: Fence(1),
        since: Version(1),
    };
    let holding = |i: usize| Holding {
        holder: names[i % names.len()].clone(),
        standby: Some(names[(i + 1) % names.len()].clone()),
        since: Version(1),
        pool: None,
    };
    let reset = names.iter().map(|name| (name.clone(), Incarnation(1)));
    Assignment {
        version: Version(version),
        members: names.iter().cloned().collect(),
        ranges: BTreeMap::from([("board".into(), (0..ranges).map(range).collect())]),
        holdings: (0..targets).map(|i| (target(i), holding(i))).collect(),
        reset: reset.collect(),
        ..Assignment::default()
    }
}

fn size(beat: &Heartbeat) -> usize {
    let names = |names: &BTreeSet<Name>| names.iter().map(|name| name.len() + 2).sum::<usize>();
    let seen: usize = beat.seen.keys().map(|name| name.len() + 6).sum();
    let loads = beat.loads.iter().flatten();
    let loads: usize = loads
        .map(|(name, load)| name.len() + 30 + load.hottest.len() * 12)
        .sum();
    let sets = [
        &beat.doubts,
        &beat.silent,
        &beat.withheld,
        &beat.losses.targets,
    ];
    let sets: usize = sets.into_iter().map(names).sum();
    beat.from.len() + 40 + sets + names(&beat.losses.instances) + seen + loads
}
