//! Targets, instances and configuration around a planner, and the rules its records must keep.

use {
    crate::common::Dice,
    cowslip_decide::{
        assign::{Assignment, KeyRange, Losses},
        duty::Load,
        names::{Epoch, Name},
        plan::{Instance, PlanInput, PlanStep, Service, Target, Topology, next},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// All that surrounds a planner.
pub struct World {
    pub topology: Topology,
    pub current: Assignment,
    pub losses: Losses,
    pub lost_at: Option<Instant>,
    pub silent: BTreeSet<Name>,
    pub instances: BTreeMap<Name, Instance>,
    pub down: BTreeSet<Name>,
    pub loads: BTreeMap<Name, Load>,
    pub rates: BTreeMap<Name, f64>,
    pub leaving: BTreeSet<Name>,
    pub settled: bool,
    pub now: Instant,
}

/// Service that is divided by key.
pub const DIVIDED: &str = "sites";
/// Service that is not.
pub const POOLED: &str = "crews";
/// Slots of every target.
pub const SLOTS: u32 = 2;

pub fn name(text: impl Into<String>) -> Name {
    text.into().into()
}

pub fn target(i: usize, centres: usize) -> Target {
    Target {
        data_centre: name(format!("dc{}", i % centres)),
        slots: SLOTS,
        cold_limit: 1,
        connections: 50,
        checks_fence: true,
    }
}

pub fn warm() -> Load {
    Load {
        limit: SLOTS,
        served: 10_000,
        ..Load::default()
    }
}

impl World {
    pub fn new(targets: usize, pooled: usize, instances: usize, centres: usize) -> Self {
        let list = |word: &str, count: usize| -> BTreeMap<Name, Target> {
            let entry = |i| (name(format!("{word}{i:03}")), target(i, centres));
            (0..count).map(entry).collect()
        };
        let service = |divided, targets| Service { divided, targets };
        let services = BTreeMap::from([
            (name(DIVIDED), service(true, list("s", targets))),
            (name(POOLED), service(false, list("c", pooled))),
        ]);
        let instance = |i| {
            let data_centre = name(format!("dc{}", i % centres));
            let leaving = false;
            (
                name(format!("i{i:02}")),
                Instance {
                    data_centre,
                    leaving,
                },
            )
        };
        let topology = Topology {
            services,
            pool_size: 4,
            ..Topology::default()
        };
        Self {
            loads: topology
                .services
                .values()
                .flat_map(|service| service.targets.keys())
                .map(|name| (name.clone(), warm()))
                .collect(),
            topology,
            current: Assignment::default(),
            losses: Losses::default(),
            lost_at: None,
            silent: BTreeSet::new(),
            instances: (0..instances).map(instance).collect(),
            down: BTreeSet::new(),
            rates: BTreeMap::new(),
            leaving: BTreeSet::new(),
            settled: true,
            now: Instant::now(),
        }
    }

    pub fn plan(&self) -> PlanStep {
        next(&PlanInput {
            topology: &self.topology,
            current: &self.current,
            losses: &self.losses,
            lost_at: self.lost_at,
            silent: &self.silent,
            instances: &self.instances,
            loads: &self.loads,
            rates: &self.rates,
            leaving: &self.leaving,
            epoch: Epoch(1),
            settled: self.settled,
            now: self.now,
        })
    }

    /// Plans, checks the record against the rules and adopts it; returns whether there was one.
    pub fn step(&mut self) -> bool {
        let PlanStep::Record(next) = self.plan() else {
            return false;
        };
        super::rules::check(self, &next);
        self.current = next;
        self.losses = Losses::default();
        self.lost_at = None;
        true
    }

    /// Plans until nothing changes any more; returns the number of records.
    pub fn rest(&mut self) -> usize {
        self.settled = true;
        for records in 0..400 {
            self.now += Duration::from_secs(1);
            if !self.step() {
                assert_eq!(self.plan(), PlanStep::Keep);
                return records;
            }
        }
        panic!("the planner never comes to rest");
    }

    pub fn lose_target(&mut self, target: &Name) {
        self.loads.remove(target);
        self.losses.targets.insert(target.clone());
        self.lost_at.get_or_insert(self.now);
    }

    /// Loses an instance, unless that would lose the majority that has to say so.
    pub fn lose_instance(&mut self, instance: &Name) {
        let lost = &self.losses.instances;
        let members = &self.current.members;
        let left = members
            .iter()
            .filter(|name| !lost.contains(*name) && *name != instance);
        if left.count() * 2 <= members.len() {
            return;
        }
        self.instances.remove(instance);
        self.losses.instances.insert(instance.clone());
        self.lost_at.get_or_insert(self.now);
    }

    pub fn targets(&self, service: &str) -> Vec<Name> {
        self.topology.services[service]
            .targets
            .keys()
            .cloned()
            .collect()
    }

    pub fn eligible(&self, target: &Name) -> bool {
        let service = &self.topology.services[DIVIDED];
        service.targets.get(target).is_some_and(|found| {
            !self.topology.withdrawn.contains(&found.data_centre)
                && !self.losses.targets.contains(target)
                && !self.leaving.contains(target)
                && !self.loads.get(target).is_some_and(|load| load.leaving)
        })
    }

    pub fn ranges(&self) -> &[KeyRange] {
        &self.current.ranges[DIVIDED]
    }

    /// Returns the share of the hash space of each target.
    pub fn widths(&self) -> BTreeMap<Name, f64> {
        let mut widths = BTreeMap::new();
        for (range, end) in with_ends(self.ranges()) {
            *widths.entry(range.owner.clone()).or_insert(0.0) += width(range.start, end);
        }
        widths
    }

    /// Changes one thing at random.
    pub fn shake(&mut self, dice: &mut Dice) {
        let targets = self.targets(DIVIDED);
        let target = targets[dice.below(targets.len())].clone();
        let centre = name(format!("dc{}", dice.below(3)));
        match dice.below(16) {
            0 | 1 => {
                self.down.insert(target.clone());
                self.lose_target(&target);
            }
            2 | 3 => {
                if self.down.remove(&target) {
                    self.loads.insert(
                        target,
                        Load {
                            limit: 1,
                            ..Load::default()
                        },
                    );
                }
            }
            4 => drop(self.topology.withdrawn.insert(centre)),
            5 | 6 => drop(self.topology.withdrawn.remove(&centre)),
            13 => {
                if let Some(load) = self.loads.get_mut(&target) {
                    load.leaving = !load.leaving;
                }
            }
            // Not heard, and not lost yet either.
            14 if self.instances.len() > 3 => drop(self.instances.pop_last()),
            7 => drop(self.leaving.insert(target)),
            8 => drop(self.leaving.remove(&target)),
            9 => {
                let instances: Vec<Name> = self.instances.keys().cloned().collect();
                if let Some(instance) = dice.pick(&instances).filter(|_| instances.len() > 3) {
                    self.lose_instance(instance);
                }
            }
            10 => {
                let instance = name(format!("i{:02}", dice.below(12)));
                let leaving = dice.once_in(4);
                let data_centre = centre;
                self.instances.insert(
                    instance,
                    Instance {
                        data_centre,
                        leaving,
                    },
                );
            }
            11 => self.configure(dice),
            12 => self.heat(dice),
            _ => drop(self.silent.insert(target)),
        }
    }

    /// Lets a moment pass: losses that a new version forgot are learnt again, targets serve.
    pub fn pass(&mut self, dice: &mut Dice) {
        self.now += Duration::from_millis(100 * (1 + dice.below(30) as u64));
        self.settled = !dice.once_in(3);
        for target in self.down.clone() {
            if dice.once_in(2) {
                self.lose_target(&target);
            }
        }
        let unheard = |name: &&Name| !self.instances.contains_key(*name);
        let unheard: Vec<Name> = self
            .current
            .members
            .iter()
            .filter(unheard)
            .cloned()
            .collect();
        for instance in unheard.into_iter().filter(|_| dice.once_in(3)) {
            self.lose_instance(&instance);
        }
        for load in self.loads.values_mut() {
            load.served += dice.below(40) as u64;
            if load.served > 600 {
                load.limit = SLOTS;
            }
        }
        if dice.once_in(4) {
            self.silent.clear();
        }
    }

    fn configure(&mut self, dice: &mut Dice) {
        self.topology.config = self.topology.config.next();
        let services = &mut self.topology.services;
        let targets = &mut services.get_mut(DIVIDED).unwrap().targets;
        let changed = name(format!("s{:03}", dice.below(40)));
        if targets.len() > 3 && targets.remove(&changed).is_some() {
            self.loads.remove(&changed);
            self.down.remove(&changed);
            return;
        }
        targets.insert(changed.clone(), target(dice.below(40), 3));
        self.loads.insert(
            changed,
            Load {
                limit: 1,
                ..Load::default()
            },
        );
    }

    /// Gives every target a rate and some of them frequent keys of their own ranges.
    fn heat(&mut self, dice: &mut Dice) {
        self.rates.clear();
        if dice.once_in(3) || self.current.ranges.is_empty() {
            return;
        }
        let ranges = self.ranges().to_vec();
        for (target, load) in &mut self.loads {
            self.rates
                .insert(target.clone(), 50.0 + dice.below(200) as f64);
            let own = ranges.iter().filter(|range| range.owner == *target);
            let hot: Vec<u64> = own.map(|range| range.start + 3).take(2).collect();
            load.hottest = hot
                .into_iter()
                .map(|hash| (hash, dice.below(400) as u32))
                .collect();
        }
    }
}

pub fn width(start: u64, end: u64) -> f64 {
    ((end - start) as f64 + 1.0) / 2_f64.powi(64)
}

pub fn with_ends(ranges: &[KeyRange]) -> impl Iterator<Item = (&KeyRange, u64)> {
    let ends = ranges.iter().skip(1).map(|range| range.start - 1);
    ranges.iter().zip(ends.chain([u64::MAX]))
}
