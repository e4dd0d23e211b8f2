//! Prints how even the planner keeps Zipf loads, what it moves for that, and what a plan costs.
//!
//! Loads are exact expectations over 100,000 keys; nothing is sampled. The bound is the least
//! imbalance that any assignment of whole keys can have.

use {
    cowslip_decide::{
        assign::{Assignment, KeyRange, Losses},
        duty::Load,
        key::key_hash,
        names::{Epoch, Name},
        plan::{Instance, PlanInput, PlanStep, Service, Target, Topology, next},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant as Clock},
    },
    tokio::time::Instant,
};

const KEYS: usize = 100_000;
const SERVICE: &str = "sites";
const HOT_KEYS: usize = 72;

struct World {
    topology: Topology,
    current: Assignment,
    losses: Losses,
    lost_at: Option<Instant>,
    instances: BTreeMap<Name, Instance>,
    loads: BTreeMap<Name, Load>,
    rates: BTreeMap<Name, f64>,
    now: Instant,
}

fn world(targets: usize, instances: usize) -> World {
    let centre = |i: usize| Name::from(format!("dc{}", i % 4));
    let target = |i: usize| Target {
        data_centre: centre(i),
        slots: 2,
        cold_limit: 1,
        connections: 50,
        checks_fence: true,
    };
    let targets = (0..targets).map(|i| (format!("t{i:04}").into(), target(i)));
    let service = Service {
        divided: true,
        targets: targets.collect(),
    };
    let instance = |i| Instance {
        data_centre: centre(i),
        leaving: false,
    };
    let warm = |name: &Name| (name.clone(), warm());
    World {
        loads: service.targets.keys().map(warm).collect(),
        topology: Topology {
            services: BTreeMap::from([(SERVICE.into(), service)]),
            pool_size: 4,
            ..Topology::default()
        },
        current: Assignment::default(),
        losses: Losses::default(),
        lost_at: None,
        instances: (0..instances)
            .map(|i| (format!("i{i:04}").into(), instance(i)))
            .collect(),
        rates: BTreeMap::new(),
        now: Instant::now(),
    }
}

fn warm() -> Load {
    Load {
        limit: 2,
        served: 10_000,
        ..Load::default()
    }
}

impl World {
    fn plan(&self) -> PlanStep {
        next(&PlanInput {
            topology: &self.topology,
            current: &self.current,
            losses: &self.losses,
            lost_at: self.lost_at,
            silent: &BTreeSet::new(),
            instances: &self.instances,
            loads: &self.loads,
            rates: &self.rates,
            leaving: &BTreeSet::new(),
            epoch: Epoch(1),
            settled: true,
            now: self.now,
        })
    }

    fn step(&mut self) -> bool {
        self.now += Duration::from_secs(10);
        let PlanStep::Record(next) = self.plan() else {
            return false;
        };
        self.current = next;
        self.losses = Losses::default();
        self.lost_at = None;
        true
    }

    fn ranges(&self) -> &[KeyRange] {
        &self.current.ranges[SERVICE]
    }

    /// Gives every target the load of its keys; returns the load of the most loaded over the mean.
    fn measure(&mut self, keys: &[(u64, f64)]) -> f64 {
        let mut own = BTreeMap::<Name, Vec<(u64, f64)>>::new();
        for (hash, load) in keys {
            let owner = self.current.owner(&self.losses, SERVICE, *hash);
            let owner = owner.map_or_else(|| "".into(), |owner| owner.target);
            own.entry(owner).or_default().push((*hash, *load));
        }
        self.rates.clear();
        for (name, load) in &mut self.loads {
            let mut keys = own.remove(name).unwrap_or_default();
            let rate: f64 = keys.iter().map(|key| key.1).sum();
            keys.sort_by(|a, b| b.1.total_cmp(&a.1));
            let share = |key: &(u64, f64)| (key.0, (key.1 / rate * 1000.0) as u32);
            load.hottest = keys.iter().take(8).map(share).collect();
            self.rates.insert(name.clone(), rate);
        }
        let total: f64 = self.rates.values().sum();
        let most = self.rates.values().copied().fold(0.0, f64::max);
        most * self.rates.len() as f64 / total
    }

    /// Plans with measured rates until nothing changes; prints what it took.
    fn settle(&mut self, what: &str, keys: &[(u64, f64)]) {
        let first = self.measure(keys);
        let (mut records, mut moved, mut count) = (0, 0.0, 0);
        while records < 200 {
            let before = self.ranges().to_vec();
            if !self.step() {
                break;
            }
            records += 1;
            let (share, ranges) = difference(&before, self.ranges());
            (moved, count) = (moved + share, count + ranges);
            self.measure(keys);
        }
        let last = self.measure(keys);
        println!(
            "  {what:<22} {first:>7.3} {last:>7.3} {records:>8} {:>9.4} {count:>7} {:>7} {:>7.3}",
            moved * self.rates.len() as f64,
            self.ranges().len(),
            widest(self.ranges()) * self.rates.len() as f64
        );
    }
}

/// Returns the share of the hash space, and the ranges, that changed their owner.
fn difference(old: &[KeyRange], new: &[KeyRange]) -> (f64, usize) {
    let (mut share, mut count) = (0.0, 0);
    for (i, range) in new.iter().enumerate() {
        let end = new.get(i + 1).map_or(u64::MAX, |next| next.start - 1);
        let before = &old[old.partition_point(|old| old.start <= range.start) - 1];
        if before.owner != range.owner {
            share += (end - range.start) as f64 / 2_f64.powi(64);
            count += 1;
        }
    }
    (share, count)
}

/// Returns the greatest share of the hash space that one target owns.
fn widest(ranges: &[KeyRange]) -> f64 {
    let mut shares = BTreeMap::<&Name, f64>::new();
    for (i, range) in ranges.iter().enumerate() {
        let end = ranges.get(i + 1).map_or(u64::MAX, |next| next.start - 1);
        let share = (end - range.start) as f64 / 2_f64.powi(64);
        *shares.entry(&range.owner).or_default() += share;
    }
    shares.into_values().fold(0.0, f64::max)
}

fn zipf(exponent: f64, shift: usize) -> Vec<(u64, f64)> {
    let hash = |rank: usize| {
        // The hottest keys of another moment are other keys.
        let hot = rank < HOT_KEYS;
        key_hash(&format!("key{}", if hot { rank + shift } else { rank }))
    };
    let load = |rank: usize| ((rank + 1) as f64).powf(-exponent);
    (0..KEYS).map(|rank| (hash(rank), load(rank))).collect()
}

fn balance(targets: usize, exponent: f64) {
    let keys = zipf(exponent, 0);
    let total: f64 = keys.iter().map(|key| key.1).sum();
    let bound = (keys[0].1 / total * targets as f64).max(1.0);
    println!("targets {targets}, exponent {exponent}, bound {bound:.3}");
    println!("  event                  imb.from  imb.to  records  moved*n  ranges  total widest*n");
    let mut world = world(targets, 12);
    world.step();
    world.settle("first balance", &keys);
    let lost: Name = "t0007".into();
    world.losses.targets.insert(lost.clone());
    world.lost_at = Some(world.now);
    world.loads.remove(&lost);
    let before = world.ranges().to_vec();
    world.step();
    let (share, count) = difference(&before, world.ranges());
    println!(
        "  loss, failover {:>36.4} {count:>7}",
        share * targets as f64
    );
    world.settle("loss, balanced", &keys);
    world.rates.clear();
    world.loads.insert(lost, warm());
    let before = world.ranges().to_vec();
    while world.step() {}
    let (share, count) = difference(&before, world.ranges());
    println!(
        "  return, filled {:>36.4} {count:>7}",
        share * targets as f64
    );
    world.settle("return, balanced", &keys);
    world.settle("72 hottest keys change", &zipf(exponent, KEYS));
    world.topology.withdrawn.insert("dc1".into());
    let before = world.ranges().to_vec();
    world.step();
    let (share, count) = difference(&before, world.ranges());
    println!(
        "  withdrawal of 1 of 4 {:>30.4} {count:>7}",
        share * targets as f64
    );
    let services = &world.topology.services;
    let inside = |name: &Name| &*services[SERVICE].targets[name].data_centre == "dc1";
    world.loads.retain(|name, _| !inside(name));
    world.settle("withdrawal, balanced", &zipf(exponent, KEYS));
}

fn costs(targets: usize, instances: usize) {
    let mut world = world(targets, instances);
    let time = |world: &World| {
        let start = Clock::now();
        let step = world.plan();
        (start.elapsed().as_secs_f64() * 1e3, step)
    };
    let (first, _) = time(&world);
    while world.step() {}
    let (keep, step) = time(&world);
    assert_eq!(step, PlanStep::Keep);
    let bytes = serde_json::to_vec(&world.current).map_or(0, |json| json.len());
    let ranges = world.ranges().len();
    let mut lossy = World { ..world };
    lossy.losses.targets.insert("t0007".into());
    let (loss, _) = time(&lossy);
    lossy.losses = Losses::default();
    lossy.topology.withdrawn.insert("dc1".into());
    let (withdrawal, _) = time(&lossy);
    println!(
        "  {targets:>7} {instances:>9} {ranges:>7} {bytes:>9} {first:>9.2} {keep:>8.2} {loss:>8.2} {withdrawal:>10.2}"
    );
}

fn main() {
    for targets in [25, 30] {
        for exponent in [0.6, 0.8, 0.9, 0.99] {
            balance(targets, exponent);
        }
    }
    println!("cost of a plan (ms) and of the assignment (bytes of JSON)");
    println!("  targets instances  ranges     bytes  first ms  keep ms  loss ms withdrawal");
    for (targets, instances) in [(30, 12), (100, 40), (300, 120), (1000, 400), (3000, 1200)] {
        costs(targets, instances);
    }
}
