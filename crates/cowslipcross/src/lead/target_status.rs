//! Which targets may own keys.

use {
    crate::{context::Context, views::seen::Seen},
    cowslip_decide::names::Name,
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Whether a target may own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Its present run.
    pub incarnation: u64,
    /// Whether it neither leaves nor is in a withdrawn data centre.
    pub can_own: bool,
    /// Whether it is cold.
    pub is_cold: bool,
}

/// Returns the targets of a service with their standing.
pub fn target_statuses(context: &Context, service: &str) -> BTreeMap<Name, TargetStatus> {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let withdrawn = context.withdrawn.borrow();
    let standing = |seen: &Seen| {
        let target = &seen.target;
        let standing = TargetStatus {
            incarnation: target.incarnation,
            can_own: seen.leaving.is_none() && !withdrawn.contains_key(&target.data_centre),
            is_cold: seen.is_cold(now),
        };
        (target.id.clone(), standing)
    };
    targets.of(service).map(standing).collect()
}
