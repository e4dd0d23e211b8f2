//! Which targets may own keys.

use {
    crate::{context::Context, views::target_snapshot::TargetView},
    cowslip_decide::names::Name,
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// Whether a target may own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Incarnation that runs now.
    pub incarnation: u64,
    /// Whether the target is neither draining nor in a withdrawn data centre.
    pub can_own: bool,
    /// Whether the target is cold.
    pub is_cold: bool,
}

/// Returns the status of each target of a service.
pub fn target_statuses(context: &Context, service: &str) -> BTreeMap<Name, TargetStatus> {
    let now = Instant::now();
    let targets = context.targets.borrow();
    let withdrawn = context.withdrawn.borrow();
    let status = |view: &TargetView| {
        let report = &view.report;
        let status = TargetStatus {
            incarnation: report.incarnation,
            can_own: view.draining_since.is_none() && !withdrawn.contains_key(&report.data_centre),
            is_cold: view.is_cold(now),
        };
        (report.id.clone(), status)
    };
    targets.for_service(service).map(status).collect()
}
