//! Delivery by the holder of a target: queue, slots, choice of target, hedges and retries.
//!
//! [`lane::Lane`] joins the parts: one lane serves one target of a divided service, or one pool.

pub mod choice;
pub mod hedge;
pub mod hot;
pub mod lane;
pub mod latency;
pub mod pace;
pub mod queue;
pub mod retry;
pub mod server;
pub mod slots;

use {crate::verdict::Reason, std::time::Duration};

/// Why an attempt was not taken, and when trying again likely helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub reason: Reason,
    /// Time after which an attempt likely fits.
    pub wait: Duration,
}

/// Shortest wait that a refusal names.
pub const SHORTEST_WAIT: Duration = Duration::from_millis(10);

/// Longest wait that a refusal names.
pub const LONGEST_WAIT: Duration = Duration::from_secs(10);

impl Refusal {
    /// Returns a refusal with a wait within the bounds.
    pub fn new(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            wait: wait.clamp(SHORTEST_WAIT, LONGEST_WAIT),
        }
    }
}
