//! Rebalancing: chooses the keys to move between targets, by the load of the keys.

use {
    super::table::{Assignment, AssignmentTable},
    crate::names::Name,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time in which the weight of a request decays to about a third.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Load in requests that each key has without traffic, so that keys are spread before there is any.
const IDLE_KEY_LOAD: f64 = 0.0005;
/// Ratio of a target's load to the mean, both relative to capacity, from which keys are moved.
const MIN_IMBALANCE: f64 = 1.25;
/// Smallest part of the mean load that is worth a transfer.
const MIN_MOVED_SHARE: f64 = 0.08;
/// Standard deviations by which a target's load must exceed the mean, to rule out chance.
const MIN_DEVIATIONS: f64 = 1.2;
/// Assignments for each target from which on none is split for a transfer.
const MAX_ASSIGNMENTS_PER_TARGET: usize = 6;
/// Second limit, the lower one for large services, as each assignment costs the leader a renewal:
/// the first number, plus the second one for each target.
const LARGE_SERVICE_ASSIGNMENTS: (usize, usize) = (200, 2);
/// Weight in requests at or below which a key's entry is removed.
const MIN_TRACKED_WEIGHT: f64 = 0.02;

/// Exponentially decaying count of requests by key.
#[derive(Debug, Default)]
pub struct KeyLoads {
    weights: BTreeMap<u16, f64>,
    decayed_at: Option<Instant>,
}

/// Capacity of each target in relation to the others; above 0.
pub type TargetCapacities = BTreeMap<Name, f64>;

/// A range of keys to move to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Target that gets the keys.
    pub new_owner: Name,
}

impl KeyLoads {
    /// Counts requests for a key.
    pub fn add_requests(&mut self, key: u16, requests: f64) {
        *self.weights.entry(key).or_default() += requests;
    }

    /// Reduces the weight of earlier requests by the time since the last call.
    pub fn decay(&mut self, now: Instant) {
        let before = self.decayed_at.replace(now).unwrap_or(now);
        let passed = now.duration_since(before).as_secs_f64();
        let factor = (-passed / DECAY_TIME.as_secs_f64()).exp();
        self.weights.retain(|_, weight| {
            *weight *= factor;
            *weight > MIN_TRACKED_WEIGHT
        });
    }

    /// Returns the keys that have got requests lately, with the requests per second.
    pub fn request_rates(&self) -> impl Iterator<Item = (u16, f64)> {
        let weights = self.weights.iter();
        weights.map(|(key, weight)| (*key, weight / DECAY_TIME.as_secs_f64()))
    }

    /// Returns the load of a range of keys, `last` included.
    pub fn range_load(&self, first: u16, last: u16) -> f64 {
        let counted: f64 = self
            .weights
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        let count = u32::from(last) - u32::from(first) + 1;
        counted + IDLE_KEY_LOAD * f64::from(count)
    }

    /// Returns the first key of the upper half by load of an assignment of at least two keys.
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

    /// Returns the range within an assignment that has the highest counted load up to `max_load`.
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

/// Targets ordered by the ratio of load to capacity.
#[derive(Debug)]
pub struct TargetsByLoad {
    /// Load and capacity of each target.
    loads: BTreeMap<Name, (f64, f64)>,
    /// Ratios as bits, which sort like the ratios because none is negative.
    order: BTreeSet<(u64, Name)>,
}

impl TargetsByLoad {
    /// Creates the order from `targets` with their capacities; one without an entry in
    /// `target_loads` has no load.
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

    /// Returns the target with the lowest ratio, or `None` if there is no target.
    pub fn least_loaded(&self) -> Option<&Name> {
        self.order.first().map(|(_, name)| name)
    }

    /// Adds to the load of a target; does nothing for an unknown one.
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

/// Returns at most `max_transfers` transfers that even out the loads.
///
/// Targets without keys get some first, whatever the load. Assignments for which `is_fixed` returns
/// true are not moved.
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

/// Transfers chosen so far, and the loads that result from them.
struct Rebalancer<'a> {
    assignments: Vec<Assignment>,
    loads: &'a KeyLoads,
    capacities: &'a TargetCapacities,
    target_loads: BTreeMap<Name, f64>,
    transfers: Vec<Transfer>,
}

impl Rebalancer<'_> {
    /// Returns a target's ratio of load to capacity.
    fn load_ratio(&self, name: &Name) -> f64 {
        self.target_loads.get(name).copied().unwrap_or(0.0) / self.capacities[name]
    }

    /// Returns the targets in descending order of their load ratios.
    fn targets_by_load(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.capacities.keys().cloned().collect();
        names.sort_by(|a, b| self.load_ratio(b).total_cmp(&self.load_ratio(a)));
        names
    }

    /// Returns the assignments of a target within which no transfer begins.
    fn movable_assignments<'a>(&'a self, owner: &'a Name) -> impl Iterator<Item = &'a Assignment> {
        self.assignments.iter().filter(move |assignment| {
            let is_owned = assignment.owner.as_ref().is_some_and(|it| it.id == *owner);
            is_owned && self.is_movable(assignment)
        })
    }

    /// Returns whether no transfer begins within an assignment.
    fn is_movable(&self, assignment: &Assignment) -> bool {
        !self
            .transfers
            .iter()
            .any(|it| assignment.contains_key(it.first))
    }

    /// Moves half of an assignment to a target without keys: of the busiest assignment that can be
    /// split, at the most loaded target that has one.
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

    /// Moves keys from the most loaded target that has suitable ones to the least loaded target;
    /// returns whether there was such a target.
    ///
    /// A target that has to stay overloaded, such as one with a single hot key, is left out of the
    /// mean to which the others are compared.
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

    /// Returns the keys of the most loaded target to move to the least loaded one.
    fn choose_keys(
        &self,
        most_loaded: &Name,
        least_loaded: &Name,
        mean: f64,
    ) -> Option<(u16, u16)> {
        let (high, low) = (self.load_ratio(most_loaded), self.load_ratio(least_loaded));
        let surplus = (high - mean) * self.capacities[most_loaded];
        // The standard deviation of a number of requests is its square root.
        if surplus < MIN_DEVIATIONS * (high * self.capacities[most_loaded]).sqrt() {
            return None;
        }
        let headroom = (mean - low) * self.capacities[least_loaded];
        // 0.4 is less than half of the difference, so that the receiver does not become the most
        // loaded.
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

/// Returns the number of a service's assignments from which on none is split for a transfer.
fn max_assignments(targets: usize) -> usize {
    let (base, per_target) = LARGE_SERVICE_ASSIGNMENTS;
    (MAX_ASSIGNMENTS_PER_TARGET * targets).min(base + per_target * targets)
}

/// Returns the whole of an assignment if its load fits into `wanted`, or else, if it may be split,
/// the range within it whose load comes closest.
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
