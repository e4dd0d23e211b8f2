//! Placement of single keys that get more requests than their owner can serve.
//!
//! Such a key cannot be divided, so the rebalancing by load leaves it where it is. It is served best
//! by the fastest target; rebalancing then moves the other keys away from that target.

use {
    super::{
        rebalance::{KeyLoads, TargetCapacities, Transfer},
        table::{Assignment, AssignmentTable},
    },
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Part of its owner's capacity from which a key on its own is hot.
const HOT_UTILISATION: f64 = 0.9;
/// Ratio of the new owner's capacity to the old one's from which a move pays. Below it, a move would
/// often follow chance: service times are estimates, and rise with the load.
const MIN_GAIN: f64 = 1.5;
/// Time after a move in which the same key is not moved again.
const REST_TIME: Duration = Duration::from_secs(4);

/// Chooses owners for hot keys.
#[derive(Debug, Default)]
pub struct HotKeyPlacer {
    /// Last move of each key.
    moved_at: BTreeMap<u16, Instant>,
}

/// A hot key with its present owner.
struct HotKey<'a> {
    key: u16,
    /// Requests per second.
    rate: f64,
    owner: &'a Name,
}

impl HotKeyPlacer {
    /// Returns moves of hot keys to much faster targets, the busiest key first.
    ///
    /// `service_time` is the mean of the targets' service times, to which their capacities relate.
    /// Assignments for which `is_fixed` returns true are not touched.
    pub fn choose_transfers(
        &mut self,
        table: &AssignmentTable,
        loads: &KeyLoads,
        (capacities, service_time): (&TargetCapacities, Duration),
        is_fixed: impl Fn(&Assignment) -> bool,
        now: Instant,
    ) -> Vec<Transfer> {
        self.moved_at
            .retain(|_, moved_at| now - *moved_at < REST_TIME);
        let hot_keys = find_hot_keys(table, loads, capacities, service_time);
        let mut hot_rates: BTreeMap<&Name, f64> = BTreeMap::new();
        for hot in &hot_keys {
            *hot_rates.entry(hot.owner).or_default() += hot.rate;
        }
        let mut transfers = Vec::new();
        for hot in &hot_keys {
            let assignment = table.assignment(hot.key);
            if self.moved_at.contains_key(&hot.key) || is_fixed(assignment) {
                continue;
            }
            // Hot keys of the same owner share its capacity.
            let share = hot.rate / hot_rates[hot.owner];
            let wanted = MIN_GAIN * share * capacities[hot.owner];
            let Some(new_owner) = find_fastest(capacities, &hot_rates, wanted) else {
                continue;
            };
            *hot_rates.entry(hot.owner).or_default() -= hot.rate;
            hot_rates.insert(new_owner, hot.rate);
            self.moved_at.insert(hot.key, now);
            transfers.push(Transfer {
                first: hot.key,
                last: hot.key,
                new_owner: new_owner.clone(),
            });
        }
        transfers
    }
}

/// Returns the fastest target without a hot key that has at least the `wanted` capacity.
fn find_fastest<'a>(
    capacities: &'a TargetCapacities,
    hot_rates: &BTreeMap<&Name, f64>,
    wanted: f64,
) -> Option<&'a Name> {
    let candidates = capacities
        .iter()
        .filter(|(name, capacity)| **capacity >= wanted && !hot_rates.contains_key(name));
    let fastest = candidates.max_by(|a, b| a.1.total_cmp(b.1));
    fastest.map(|(name, _)| name)
}

/// Returns the hot keys, the busiest first.
fn find_hot_keys<'a>(
    table: &'a AssignmentTable,
    loads: &KeyLoads,
    capacities: &TargetCapacities,
    service_time: Duration,
) -> Vec<HotKey<'a>> {
    let hot_keys = loads.request_rates().filter_map(|(key, rate)| {
        let owner = &table.assignment(key).owner.as_ref()?.id;
        let served_rate = capacities.get(owner)? / service_time.as_secs_f64();
        (rate > HOT_UTILISATION * served_rate).then_some(HotKey { key, rate, owner })
    });
    let mut hot_keys: Vec<HotKey<'a>> = hot_keys.collect();
    hot_keys.sort_by(|a, b| b.rate.total_cmp(&a.rate));
    hot_keys
}
