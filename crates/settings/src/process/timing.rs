//! Section `timing`: periods, leases and grants.

use crate::{error::Result, reader::Section, section::numbers};

/// Heartbeats that fit into a lease at least, so that a lost one does not end it.
const HEARTBEATS: u64 = 4;

/// Renewals that fit into a grant at least.
const RENEWALS: u64 = 2;

numbers! {
    /// Periods, leases and grants.
    pub struct Timing in "timing" {
        /// Period of heartbeats between instances.
        heartbeat_ms: 50 in 5..=5000 "ms",
        /// Lease of an instance, from the sending of an acknowledged heartbeat; at least 4 heartbeats.
        lease_ms: 300 in 20..=60000 "ms",
        /// Margin of a promise over the lease for clocks that run at different rates.
        drift_percent: 5 in 1..=50 "percent",
        /// Grant of a target, from a stamp of its own clock; at least 2 renewals.
        grant_ms: 400 in 20..=60000 "ms",
        /// Period of grants and probes of a target.
        renewal_ms: 100 in 5..=10000 "ms",
        /// Silence after which a holder proposes the loss of a target; more than 1 renewal.
        silence_ms: 250 in 10..=60000 "ms",
        /// Period in which the table's configuration row and the instance list are read.
        poll_ms: 1000 in 50..=60000 "ms",
        /// Period in which the planner looks for imbalance.
        plan_ms: 1000 in 50..=60000 "ms",
        /// Longest time for a call of the table or the object store.
        platform_ms: 2000 in 50..=30000 "ms",
        /// Longest time to open a connection to a target or an instance.
        connect_ms: 250 in 5..=10000 "ms",
        /// Time without progress after which a connection counts as silent and is closed.
        progress_ms: 1000 in 10..=60000 "ms",
    }
}

impl Timing {
    /// Checks the periods against each other.
    pub(crate) fn check(&self, root: &Section<'_>) -> Result<()> {
        let rules = [
            (
                "lease_ms",
                self.lease_ms,
                HEARTBEATS * self.heartbeat_ms,
                "4 times heartbeat_ms",
            ),
            (
                "grant_ms",
                self.grant_ms,
                RENEWALS * self.renewal_ms,
                "2 times renewal_ms",
            ),
            (
                "silence_ms",
                self.silence_ms,
                1 + self.renewal_ms,
                "renewal_ms and 1 more",
            ),
        ];
        for (key, value, least, rule) in rules {
            if value >= least {
                continue;
            }
            let expected = format!("at least {rule} ({least})");
            return Err(match root.section("timing")? {
                Some(section) => section.invalid(key, expected, value.to_string()),
                None => root.invalid("timing", expected, value.to_string()),
            });
        }
        Ok(())
    }
}
