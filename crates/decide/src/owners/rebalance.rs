//! Which target should own which keys, by the load that the keys bring.

use {
    super::table::{Assignment, AssignmentTable},
    crate::names::Name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time in which the weight of a request falls to a third.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Load of a key that got no request, in requests; it spreads keys before any traffic is seen.
const IDLE_KEY_LOAD: f64 = 0.0005;
/// Ratio of the highest to the mean load from which keys are moved.
const MIN_IMBALANCE: f64 = 1.25;
/// Smallest share of the mean load that is worth a move.
const MIN_MOVED_SHARE: f64 = 0.08;
/// Multiple of a load's standard deviation that a difference must exceed to be one.
const MIN_DEVIATIONS: f64 = 1.2;
/// Pieces for each target from which only a whole piece is moved.
const MAX_ASSIGNMENTS_PER_TARGET: usize = 6;
/// The same of a large service, each of whose pieces costs the leader a renewal: so many, and so
/// many for each target.
const LARGE_SERVICE_ASSIGNMENTS: (usize, usize) = (200, 2);
/// Weight below which a key is forgotten, in requests.
const MIN_TRACKED_WEIGHT: f64 = 0.02;

/// Requests of late by key, older ones counting less.
#[derive(Debug, Default)]
pub struct KeyLoads {
    weights: BTreeMap<u16, f64>,
    decayed_at: Option<Instant>,
}

/// Work that a target can do, in relation to others; above 0.
pub type TargetCapacities = BTreeMap<Name, f64>;

/// Keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// New owner.
    pub new_owner: Name,
}

impl KeyLoads {
    /// Counts requests for a key.
    pub fn add_requests(&mut self, key: u16, requests: f64) {
        *self.weights.entry(key).or_default() += requests;
    }

    /// Lets the weight of former requests fall.
    pub fn decay(&mut self, now: Instant) {
        let before = self.decayed_at.replace(now).unwrap_or(now);
        let passed = now.duration_since(before).as_secs_f64();
        let factor = (-passed / DECAY_TIME.as_secs_f64()).exp();
        self.weights.retain(|_, weight| {
            *weight *= factor;
            *weight > MIN_TRACKED_WEIGHT
        });
    }

    /// Returns the load of keys.
    pub fn range_load(&self, first: u16, last: u16) -> f64 {
        let counted: f64 = self
            .weights
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        let count = u32::from(last) - u32::from(first) + 1;
        counted + IDLE_KEY_LOAD * f64::from(count)
    }

    /// Returns the first key of the upper half of a piece of two keys or more, by load.
    fn find_middle(&self, assignment: &Assignment) -> u16 {
        let half = self.range_load(assignment.first, assignment.last) / 2.0;
        let (mut low, mut high) = (assignment.first + 1, assignment.last);
        while low < high {
            let key = low + (high - low) / 2;
            match self.range_load(assignment.first, key) < half {
                true => low = key + 1,
                false => high = key,
            }
        }
        low
    }

    /// Returns the keys of the heaviest range within a piece whose load is at most `most`.
    fn find_heaviest(&self, assignment: &Assignment, max_load: f64) -> Option<(u16, u16, f64)> {
        let entries: Vec<(u16, f64)> = self
            .weights
            .range(assignment.first..=assignment.last)
            .map(|(key, weight)| (*key, *weight))
            .collect();
        let mut best: Option<(u16, u16, f64)> = None;
        let (mut start, mut sum) = (0, 0.0);
        for (index, (key, weight)) in entries.iter().enumerate() {
            sum += weight;
            while sum > max_load && start <= index {
                sum -= entries[start].1;
                start += 1;
            }
            if start <= index && best.is_none_or(|(_, _, found)| sum > found) {
                best = Some((entries[start].0, *key, sum));
            }
        }
        best
    }
}

/// Targets in the order of their loads for their capacities.
#[derive(Debug)]
pub struct TargetsByLoad {
    loads: BTreeMap<Name, (f64, f64)>,
    /// Bits of a ratio, which is not negative, are in the order of the ratio.
    order: BTreeSet<(u64, Name)>,
}

impl TargetsByLoad {
    /// Takes targets with their capacities, and the loads of targets.
    pub fn new<'a>(
        targets: impl Iterator<Item = (&'a Name, &'a f64)>,
        target_loads: &BTreeMap<Name, f64>,
    ) -> Self {
        let load = |name: &Name| target_loads.get(name).copied().unwrap_or(0.0).max(0.0);
        let loads = targets.map(|(name, capacity)| (name.clone(), (load(name), *capacity)));
        let loads: BTreeMap<Name, (f64, f64)> = loads.collect();
        let order = loads
            .iter()
            .map(|(name, it)| (ratio_bits(*it), name.clone()));
        let order = order.collect();
        Self { loads, order }
    }

    /// Returns the one with the least load.
    pub fn least_loaded(&self) -> Option<&Name> {
        self.order.first().map(|(_, name)| name)
    }

    /// Adds to the load of a target.
    pub fn add_load(&mut self, name: &Name, load: f64) {
        if let Some(known) = self.loads.get_mut(name) {
            self.order.remove(&(ratio_bits(*known), name.clone()));
            known.0 += load;
            self.order.insert((ratio_bits(*known), name.clone()));
        }
    }
}

fn ratio_bits((load, capacity): (f64, f64)) -> u64 {
    (load / capacity).to_bits()
}

/// Returns at most `count` transfers that make the loads more even.
///
/// Targets without a key get some first, whatever the load. Pieces for which `fixed` is true stay
/// where they are.
pub fn rebalance(
    table: &AssignmentTable,
    loads: &KeyLoads,
    capacities: &TargetCapacities,
    max_transfers: usize,
    is_fixed: impl Fn(&Assignment) -> bool,
) -> Vec<Transfer> {
    let mut target_loads: BTreeMap<Name, f64> =
        capacities.keys().map(|name| (name.clone(), 0.0)).collect();
    for assignment in &table.assignments {
        if let Some(sum) = assignment
            .owner
            .as_ref()
            .and_then(|it| target_loads.get_mut(&it.id))
        {
            *sum += loads.range_load(assignment.first, assignment.last);
        }
    }
    let assignments = table.assignments.iter().filter(|it| !is_fixed(it));
    let mut rebalancer = Rebalancer {
        assignments: assignments.cloned().collect(),
        loads,
        capacities,
        target_loads,
        transfers: Vec::new(),
    };
    let owners: BTreeSet<&Name> = table
        .assignments
        .iter()
        .filter_map(|assignment| Some(&assignment.owner.as_ref()?.id))
        .collect();
    for empty in capacities.keys().filter(|name| !owners.contains(name)) {
        if rebalancer.transfers.len() < max_transfers {
            rebalancer.fill_empty_target(empty);
        }
    }
    while rebalancer.transfers.len() < max_transfers && rebalancer.move_from_most_loaded() {}
    rebalancer.transfers
}

/// Loads while transfers are being chosen.
struct Rebalancer<'a> {
    assignments: Vec<Assignment>,
    loads: &'a KeyLoads,
    capacities: &'a TargetCapacities,
    target_loads: BTreeMap<Name, f64>,
    transfers: Vec<Transfer>,
}

impl Rebalancer<'_> {
    /// Returns the load of a target for its capacity.
    fn load_ratio(&self, name: &Name) -> f64 {
        self.target_loads.get(name).copied().unwrap_or(0.0) / self.capacities[name]
    }

    /// Returns the targets, the most loaded first.
    fn targets_by_load(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.capacities.keys().cloned().collect();
        names.sort_by(|a, b| self.load_ratio(b).total_cmp(&self.load_ratio(a)));
        names
    }

    /// Returns the pieces of a target that have not moved.
    fn movable_assignments<'a>(&'a self, owner: &'a Name) -> impl Iterator<Item = &'a Assignment> {
        self.assignments.iter().filter(move |assignment| {
            let is_owned = assignment.owner.as_ref().is_some_and(|it| it.id == *owner);
            is_owned && self.is_movable(assignment)
        })
    }

    /// Returns whether no part of a piece has moved.
    fn is_movable(&self, assignment: &Assignment) -> bool {
        !self
            .transfers
            .iter()
            .any(|it| assignment.contains_key(it.first))
    }

    /// Gives a target without a key a half of the busiest piece of the most loaded target that has
    /// one that can be cut.
    fn fill_empty_target(&mut self, empty: &Name) {
        let movable = self
            .assignments
            .iter()
            .filter(|assignment| self.is_movable(assignment));
        let found = movable.filter_map(|assignment| {
            let owner = &assignment.owner.as_ref()?.id;
            let can_split = assignment.len() > 1 && self.target_loads.contains_key(owner);
            let load = self.loads.range_load(assignment.first, assignment.last);
            can_split.then(|| (self.load_ratio(owner), load, assignment))
        });
        let order = |a: &(f64, f64, &Assignment), b: &(f64, f64, &Assignment)| {
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let Some((_, _, assignment)) = found.max_by(order) else {
            return;
        };
        let keys = (self.loads.find_middle(assignment), assignment.last);
        if let Some(owner) = assignment.owner.as_ref().map(|it| it.id.clone()) {
            self.add_transfer(&owner, keys, empty);
        }
    }

    /// Takes keys away from the most loaded target from which some can be moved; returns whether
    /// there is one.
    ///
    /// A target that is left above the others, with a single hot key for example, does not count
    /// for what is even among them.
    fn move_from_most_loaded(&mut self) -> bool {
        let targets = self.targets_by_load();
        let Some(least_loaded) = targets.last() else {
            return false;
        };
        let mut total_load: f64 = self.target_loads.values().sum();
        let mut total_capacity: f64 = self.capacities.values().sum();
        for most_loaded in &targets {
            let mean = total_load / total_capacity;
            if self.load_ratio(most_loaded) < MIN_IMBALANCE * mean {
                return false;
            }
            if let Some(keys) = self.choose_keys(most_loaded, least_loaded, mean) {
                self.add_transfer(most_loaded, keys, least_loaded);
                return true;
            }
            total_load -= self.load_ratio(most_loaded) * self.capacities[most_loaded];
            total_capacity -= self.capacities[most_loaded];
        }
        false
    }

    /// Returns the keys of one target that are best moved to another.
    fn choose_keys(
        &self,
        most_loaded: &Name,
        least_loaded: &Name,
        mean: f64,
    ) -> Option<(u16, u16)> {
        let (high, low) = (self.load_ratio(most_loaded), self.load_ratio(least_loaded));
        let surplus = (high - mean) * self.capacities[most_loaded];
        // The number of requests in a while varies by its square root.
        if surplus < MIN_DEVIATIONS * (high * self.capacities[most_loaded]).sqrt() {
            return None;
        }
        let headroom = (mean - low) * self.capacities[least_loaded];
        // Half of the difference at most, so that the receiver doesn't become the fullest.
        let wanted = surplus
            .min(headroom)
            .max((high - low) * self.capacities[least_loaded] * 0.4);
        let min_load = MIN_MOVED_SHARE * mean * self.capacities[most_loaded];
        let can_split =
            self.assignments.len() + self.transfers.len() < max_assignments(self.capacities.len());
        let parts = self.movable_assignments(most_loaded);
        let parts =
            parts.filter_map(|assignment| choose_part(assignment, self.loads, wanted, can_split));
        let best = parts
            .filter(|(_, _, load)| *load >= min_load)
            .max_by(|a, b| a.2.total_cmp(&b.2))?;
        Some((best.0, best.1))
    }

    fn add_transfer(&mut self, from: &Name, (first, last): (u16, u16), to: &Name) {
        let load = self.loads.range_load(first, last);
        *self.target_loads.entry(from.clone()).or_default() -= load;
        *self.target_loads.entry(to.clone()).or_default() += load;
        let new_owner = to.clone();
        self.transfers.push(Transfer {
            first,
            last,
            new_owner,
        });
    }
}

/// Returns how many pieces the keys of a service with so many targets may have.
fn max_assignments(targets: usize) -> usize {
    let (base, per_target) = LARGE_SERVICE_ASSIGNMENTS;
    (MAX_ASSIGNMENTS_PER_TARGET * targets).min(base + per_target * targets)
}

/// Returns the part of a piece that fits best into `wanted`: the whole, an end, or a range within.
fn choose_part(
    assignment: &Assignment,
    loads: &KeyLoads,
    wanted: f64,
    can_split: bool,
) -> Option<(u16, u16, f64)> {
    let load = loads.range_load(assignment.first, assignment.last);
    if load <= wanted {
        return Some((assignment.first, assignment.last, load));
    }
    if !can_split {
        return None;
    }
    loads.find_heaviest(assignment, wanted)
}
