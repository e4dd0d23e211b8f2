//! Which targets may own keys.

use {
    crate::{context::Context, views::target_snapshot::TargetView},
    cowslip_decide::names::Name,
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Whether a target may own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its present run.
    pub born: u64,
    /// Whether it neither leaves nor is in a withdrawn data centre.
    pub open: bool,
    /// Whether it is cold.
    pub cold: bool,
}

/// Returns the targets of a service with their standing.
pub fn standings(context: &Context, service: &str) -> BTreeMap<Name, Standing> {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let withdrawn = context.withdrawn.borrow();
    let standing = |seen: &TargetView| {
        let target = &seen.report;
        let standing = Standing {
            born: target.incarnation,
            open: seen.draining_since.is_none() && !withdrawn.contains_key(&target.data_centre),
            cold: seen.is_cold(now),
        };
        (target.id.clone(), standing)
    };
    targets.for_service(service).map(standing).collect()
}
