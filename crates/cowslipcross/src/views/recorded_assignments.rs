//! The assignments of a service as this instance last read or wrote them.

use {
    cowslip_decide::{
        names::StoreVersion,
        owners::{Assignment, AssignmentTable},
    },
    std::rc::Rc,
    tokio::time::Instant,
};

/// Assignments of a service as recorded in the store.
#[derive(Clone, Debug)]
pub struct RecordedAssignments {
    /// Version of the service's row in the store.
    pub version: StoreVersion,
    /// Recorded assignments.
    pub table: Rc<AssignmentTable>,
    /// Last change, kept for the heartbeats; `None` unless this instance recorded it as leader.
    pub last_change: Option<AssignmentChange>,
}

/// Difference between two versions of the recorded assignments.
#[derive(Clone, Debug)]
pub struct AssignmentChange {
    /// Version to which the change applies.
    pub base_version: StoreVersion,
    /// Assignments that were added or replaced.
    pub assignments: Vec<Assignment>,
    /// When the store confirmed the write.
    pub recorded_at: Instant,
}
