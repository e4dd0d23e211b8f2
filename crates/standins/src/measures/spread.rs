//! Load imbalance over targets and churn of ownership.

use {
    crate::target::record::{Held, Record},
    std::collections::BTreeMap,
};

/// Time within which a range that the same target held before is still the same ownership.
const SAME_OWNER_US: u64 = 500_000;

/// Returns the highest load of a target over the mean of its service, by service.
///
/// Loads are runs that started within `from..until`; targets without any count in the mean.
pub fn imbalance(records: &[Record], from: u64, until: u64) -> BTreeMap<String, f64> {
    let mut loads: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for record in records {
        let runs = record
            .runs
            .iter()
            .filter(|run| (from..until).contains(&run.start));
        loads
            .entry(record.service.clone())
            .or_default()
            .push(runs.count());
    }
    let ratio = |loads: Vec<usize>| {
        let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
        let max = loads.into_iter().max().unwrap_or_default();
        max as f64 / mean.max(f64::MIN_POSITIVE)
    };
    loads
        .into_iter()
        .map(|(service, loads)| (service, ratio(loads)))
        .collect()
}

/// Returns the share of each service's hashes that came to another owner within `from..until`.
///
/// A hash that moves twice counts twice.
pub fn churn(records: &[Record], from: u64, until: u64) -> BTreeMap<String, f64> {
    let mut shares = BTreeMap::new();
    for record in records {
        let fresh = record.held.iter().filter(|held| {
            let within = (from..until).contains(&held.from);
            within && !record.held.iter().any(|old| continues(old, held))
        });
        for held in fresh {
            let size = (held.end - held.start) as f64 / u64::MAX as f64;
            *shares.entry(held.service.clone()).or_default() += size;
        }
    }
    shares
}

fn continues(old: &Held, new: &Held) -> bool {
    let covers = old.service == new.service && old.start <= new.start && new.end <= old.end;
    covers && old.from < new.from && new.from <= old.until + SAME_OWNER_US
}
