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
const MEMORY: Duration = Duration::from_secs(3);
/// Load of a key that got no request, in requests; it spreads keys before any traffic is seen.
const REST: f64 = 0.0005;
/// Ratio of the highest to the mean load from which keys are moved.
const UNEVEN: f64 = 1.25;
/// Smallest share of the mean load that is worth a move.
const WORTH: f64 = 0.08;
/// Multiple of a load's standard deviation that a difference must exceed to be one.
const CERTAIN: f64 = 1.2;
/// Pieces for each target from which only a whole piece is moved.
const MOST_PIECES: usize = 6;
/// The same of a large service, each of whose pieces costs the leader a renewal: so many, and so
/// many for each target.
const LARGE_PIECES: (usize, usize) = (200, 2);
/// Weight below which a key is forgotten, in requests.
const FORGOTTEN: f64 = 0.02;

/// Requests of late by key, older ones counting less.
#[derive(Debug, Default)]
pub struct KeyLoads {
    keys: BTreeMap<u16, f64>,
    since: Option<Instant>,
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
        *self.keys.entry(key).or_default() += requests;
    }

    /// Lets the weight of former requests fall.
    pub fn decay(&mut self, now: Instant) {
        let since = self.since.replace(now).unwrap_or(now);
        let passed = now.duration_since(since).as_secs_f64();
        let factor = (-passed / MEMORY.as_secs_f64()).exp();
        self.keys.retain(|_, weight| {
            *weight *= factor;
            *weight > FORGOTTEN
        });
    }

    /// Returns the load of keys.
    pub fn range_load(&self, first: u16, last: u16) -> f64 {
        let seen: f64 = self
            .keys
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        let count = u32::from(last) - u32::from(first) + 1;
        seen + REST * f64::from(count)
    }

    /// Returns the first key of the upper half of a piece of two keys or more, by load.
    fn middle(&self, assignment: &Assignment) -> u16 {
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
    fn heaviest(&self, assignment: &Assignment, most: f64) -> Option<(u16, u16, f64)> {
        let seen: Vec<(u16, f64)> = self
            .keys
            .range(assignment.first..=assignment.last)
            .map(|(key, weight)| (*key, *weight))
            .collect();
        let mut best: Option<(u16, u16, f64)> = None;
        let (mut start, mut sum) = (0, 0.0);
        for (at, (key, weight)) in seen.iter().enumerate() {
            sum += weight;
            while sum > most && start <= at {
                sum -= seen[start].1;
                start += 1;
            }
            if start <= at && best.is_none_or(|(_, _, found)| sum > found) {
                best = Some((seen[start].0, *key, sum));
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
        open: impl Iterator<Item = (&'a Name, &'a f64)>,
        sums: &BTreeMap<Name, f64>,
    ) -> Self {
        let load = |name: &Name| sums.get(name).copied().unwrap_or(0.0).max(0.0);
        let loads = open.map(|(name, size)| (name.clone(), (load(name), *size)));
        let loads: BTreeMap<Name, (f64, f64)> = loads.collect();
        let order = loads.iter().map(|(name, it)| (ratio(*it), name.clone()));
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
            self.order.remove(&(ratio(*known), name.clone()));
            known.0 += load;
            self.order.insert((ratio(*known), name.clone()));
        }
    }
}

fn ratio((load, size): (f64, f64)) -> u64 {
    (load / size).to_bits()
}

/// Returns at most `count` transfers that make the loads more even.
///
/// Targets without a key get some first, whatever the load. Pieces for which `fixed` is true stay
/// where they are.
pub fn rebalance(
    table: &AssignmentTable,
    loads: &KeyLoads,
    capacity: &TargetCapacities,
    count: usize,
    fixed: impl Fn(&Assignment) -> bool,
) -> Vec<Transfer> {
    let mut sums: BTreeMap<Name, f64> = capacity.keys().map(|name| (name.clone(), 0.0)).collect();
    for assignment in &table.assignments {
        if let Some(sum) = assignment
            .owner
            .as_ref()
            .and_then(|it| sums.get_mut(&it.id))
        {
            *sum += loads.range_load(assignment.first, assignment.last);
        }
    }
    let assignments = table.assignments.iter().filter(|it| !fixed(it));
    let mut spread = Spread {
        assignments: assignments.cloned().collect(),
        loads,
        capacity,
        sums,
        moved: Vec::new(),
    };
    let owners: BTreeSet<&Name> = table
        .assignments
        .iter()
        .filter_map(|assignment| Some(&assignment.owner.as_ref()?.id))
        .collect();
    for empty in capacity.keys().filter(|name| !owners.contains(name)) {
        if spread.moved.len() < count {
            spread.fill(empty);
        }
    }
    while spread.moved.len() < count && spread.step() {}
    spread.moved
}

/// Loads while transfers are being chosen.
struct Spread<'a> {
    assignments: Vec<Assignment>,
    loads: &'a KeyLoads,
    capacity: &'a TargetCapacities,
    sums: BTreeMap<Name, f64>,
    moved: Vec<Transfer>,
}

impl Spread<'_> {
    /// Returns the load of a target for its capacity.
    fn ratio(&self, name: &Name) -> f64 {
        self.sums.get(name).copied().unwrap_or(0.0) / self.capacity[name]
    }

    /// Returns the targets, the most loaded first.
    fn by_load(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.capacity.keys().cloned().collect();
        names.sort_by(|a, b| self.ratio(b).total_cmp(&self.ratio(a)));
        names
    }

    /// Returns the pieces of a target that have not moved.
    fn pieces_of<'a>(&'a self, owner: &'a Name) -> impl Iterator<Item = &'a Assignment> {
        self.assignments.iter().filter(move |assignment| {
            let owned = assignment.owner.as_ref().is_some_and(|it| it.id == *owner);
            owned && self.is_movable(assignment)
        })
    }

    /// Returns whether no part of a piece has moved.
    fn is_movable(&self, assignment: &Assignment) -> bool {
        !self
            .moved
            .iter()
            .any(|it| assignment.contains_key(it.first))
    }

    /// Gives a target without a key a half of the busiest piece of the most loaded target that has
    /// one that can be cut.
    fn fill(&mut self, empty: &Name) {
        let movable = self
            .assignments
            .iter()
            .filter(|assignment| self.is_movable(assignment));
        let found = movable.filter_map(|assignment| {
            let owner = &assignment.owner.as_ref()?.id;
            let known = assignment.len() > 1 && self.sums.contains_key(owner);
            let load = self.loads.range_load(assignment.first, assignment.last);
            known.then(|| (self.ratio(owner), load, assignment))
        });
        let order = |a: &(f64, f64, &Assignment), b: &(f64, f64, &Assignment)| {
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let Some((_, _, assignment)) = found.max_by(order) else {
            return;
        };
        let keys = (self.loads.middle(assignment), assignment.last);
        if let Some(owner) = assignment.owner.as_ref().map(|it| it.id.clone()) {
            self.transfer(&owner, keys, empty);
        }
    }

    /// Takes keys away from the most loaded target from which some can be moved; returns whether
    /// there is one.
    ///
    /// A target that is left above the others, with a single hot key for example, does not count
    /// for what is even among them.
    fn step(&mut self) -> bool {
        let order = self.by_load();
        let Some(least) = order.last() else {
            return false;
        };
        let mut load: f64 = self.sums.values().sum();
        let mut size: f64 = self.capacity.values().sum();
        for most in &order {
            let mean = load / size;
            if self.ratio(most) < UNEVEN * mean {
                return false;
            }
            if let Some(keys) = self.part_of(most, least, mean) {
                self.transfer(most, keys, least);
                return true;
            }
            load -= self.ratio(most) * self.capacity[most];
            size -= self.capacity[most];
        }
        false
    }

    /// Returns the keys of one target that are best moved to another.
    fn part_of(&self, most: &Name, least: &Name, mean: f64) -> Option<(u16, u16)> {
        let (high, low) = (self.ratio(most), self.ratio(least));
        let surplus = (high - mean) * self.capacity[most];
        // The number of requests in a while varies by its square root.
        if surplus < CERTAIN * (high * self.capacity[most]).sqrt() {
            return None;
        }
        let room = (mean - low) * self.capacity[least];
        // Half of the difference at most, so that the receiver doesn't become the fullest.
        let wanted = surplus
            .min(room)
            .max((high - low) * self.capacity[least] * 0.4);
        let floor = WORTH * mean * self.capacity[most];
        let split = self.assignments.len() + self.moved.len() < most_pieces(self.capacity.len());
        let parts = self.pieces_of(most);
        let parts = parts.filter_map(|assignment| part(assignment, self.loads, wanted, split));
        let best = parts
            .filter(|(_, _, load)| *load >= floor)
            .max_by(|a, b| a.2.total_cmp(&b.2))?;
        Some((best.0, best.1))
    }

    fn transfer(&mut self, from: &Name, (first, last): (u16, u16), to: &Name) {
        let load = self.loads.range_load(first, last);
        *self.sums.entry(from.clone()).or_default() -= load;
        *self.sums.entry(to.clone()).or_default() += load;
        let new_owner = to.clone();
        self.moved.push(Transfer {
            first,
            last,
            new_owner,
        });
    }
}

/// Returns how many pieces the keys of a service with so many targets may have.
fn most_pieces(targets: usize) -> usize {
    let (some, each) = LARGE_PIECES;
    (MOST_PIECES * targets).min(some + each * targets)
}

/// Returns the part of a piece that fits best into `wanted`: the whole, an end, or a range within.
fn part(
    assignment: &Assignment,
    loads: &KeyLoads,
    wanted: f64,
    split: bool,
) -> Option<(u16, u16, f64)> {
    let whole = loads.range_load(assignment.first, assignment.last);
    if whole <= wanted {
        return Some((assignment.first, assignment.last, whole));
    }
    if !split {
        return None;
    }
    loads.heaviest(assignment, wanted)
}
