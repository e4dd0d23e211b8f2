//! Which target should own which keys, by the load that the keys bring.

use {
    super::table::{Piece, Table},
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
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
/// Weight below which a key is forgotten, in requests.
const FORGOTTEN: f64 = 0.02;

/// Requests of late by key, older ones counting less.
#[derive(Debug, Default)]
pub struct Loads {
    keys: BTreeMap<u16, f64>,
    since: Option<Instant>,
}

/// Work that a target can do, in relation to others; above 0.
pub type Capacity = BTreeMap<Name, f64>;

/// Keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// First key.
    pub first: u16,
    /// Last key, included.
    pub last: u16,
    /// New owner.
    pub to: Name,
}

impl Loads {
    /// Counts requests for a key.
    pub fn add(&mut self, key: u16, requests: f64) {
        *self.keys.entry(key).or_default() += requests;
    }

    /// Lets the weight of former requests fall.
    pub fn fade(&mut self, now: Instant) {
        let since = self.since.replace(now).unwrap_or(now);
        let passed = now.duration_since(since).as_secs_f64();
        let factor = (-passed / MEMORY.as_secs_f64()).exp();
        self.keys.retain(|_, weight| {
            *weight *= factor;
            *weight > FORGOTTEN
        });
    }

    /// Returns the load of keys.
    pub fn of(&self, first: u16, last: u16) -> f64 {
        let seen: f64 = self
            .keys
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        let count = u32::from(last) - u32::from(first) + 1;
        seen + REST * f64::from(count)
    }

    /// Returns the keys of the heaviest range within a piece whose load is at most `most`.
    fn heaviest(&self, piece: &Piece, most: f64) -> Option<(u16, u16, f64)> {
        let seen: Vec<(u16, f64)> = self
            .keys
            .range(piece.first..=piece.last)
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

/// Returns the target with the least load for its capacity, those in `barred` left out.
pub fn least_loaded(
    sums: &BTreeMap<Name, f64>,
    capacity: &Capacity,
    barred: impl Fn(&Name) -> bool,
) -> Option<Name> {
    let open = capacity.iter().filter(|(name, _)| !barred(name));
    let ratio = |name: &Name, size: f64| sums.get(name).copied().unwrap_or(0.0) / size;
    let least = open.min_by(|(a, x), (b, y)| ratio(a, **x).total_cmp(&ratio(b, **y)));
    least.map(|(name, _)| name.clone())
}

/// Returns at most `count` transfers that make the loads more even.
///
/// Pieces for which `fixed` is true stay where they are.
pub fn balance(
    table: &Table,
    loads: &Loads,
    capacity: &Capacity,
    count: usize,
    fixed: impl Fn(&Piece) -> bool,
) -> Vec<Transfer> {
    let mut sums: BTreeMap<Name, f64> = capacity.keys().map(|name| (name.clone(), 0.0)).collect();
    for piece in &table.pieces {
        if let Some(sum) = piece.owner.as_ref().and_then(|it| sums.get_mut(&it.id)) {
            *sum += loads.of(piece.first, piece.last);
        }
    }
    let table = Table {
        pieces: table
            .pieces
            .iter()
            .filter(|it| !fixed(it))
            .cloned()
            .collect(),
        fence: table.fence,
    };
    let total: f64 = sums.values().sum();
    let size: f64 = capacity.values().sum();
    let mut moved: Vec<Transfer> = Vec::new();
    while moved.len() < count && size > 0.0 {
        let Some(next) = step(&table, loads, capacity, &sums, total / size, &moved) else {
            break;
        };
        let weight = loads.of(next.1.first, next.1.last);
        *sums.entry(next.0).or_default() -= weight;
        *sums.entry(next.1.to.clone()).or_default() += weight;
        moved.push(next.1);
    }
    moved
}

/// Returns one transfer away from the target with the highest load for its capacity.
fn step(
    table: &Table,
    loads: &Loads,
    capacity: &Capacity,
    sums: &BTreeMap<Name, f64>,
    mean: f64,
    moved: &[Transfer],
) -> Option<(Name, Transfer)> {
    let ratio = |name: &Name| sums.get(name).copied().unwrap_or(0.0) / capacity[name];
    let most = capacity
        .keys()
        .max_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
    let least = capacity
        .keys()
        .min_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
    let surplus = (ratio(most) - mean) * capacity[most];
    // The number of requests in a while varies by its square root.
    let noise = CERTAIN * sums.get(most).copied().unwrap_or(0.0).sqrt();
    if ratio(most) < UNEVEN * mean || surplus < noise {
        return None;
    }
    let room = (mean - ratio(least)) * capacity[least];
    // Half of the difference at most, so that the receiver doesn't become the fullest.
    let wanted = surplus
        .min(room)
        .max((ratio(most) - ratio(least)) * capacity[least] * 0.4);
    let floor = WORTH * mean * capacity[most];
    let split = table.pieces.len() + moved.len() < MOST_PIECES * capacity.len();
    let open = table.pieces.iter().filter(|piece| {
        let owned = piece.owner.as_ref().is_some_and(|it| it.id == *most);
        owned && !moved.iter().any(|it| piece.has(it.first))
    });
    let best = open
        .filter_map(|piece| part(piece, loads, wanted, split))
        .filter(|(_, _, load)| *load >= floor)
        .max_by(|a, b| a.2.total_cmp(&b.2))?;
    let transfer = Transfer {
        first: best.0,
        last: best.1,
        to: least.clone(),
    };
    Some((most.clone(), transfer))
}

/// Returns the part of a piece that fits best into `wanted`: the whole, an end, or a range within.
fn part(piece: &Piece, loads: &Loads, wanted: f64, split: bool) -> Option<(u16, u16, f64)> {
    let whole = loads.of(piece.first, piece.last);
    if whole <= wanted {
        return Some((piece.first, piece.last, whole));
    }
    if !split {
        return None;
    }
    loads.heaviest(piece, wanted)
}
