//! What is known of the grants of previous leaders, in times of the store's clock.

use {std::time::Duration, tokio::time::Instant};

/// Bounds on the grants of previous leaders, in times of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PreviousLeaders {
    /// Time after which none of their grants is in force; `None` if it is not recorded.
    pub grants_expire: Option<Duration>,
    /// Earliest time that the store's clock can show now; `None` if it is not known.
    pub earliest_now: Option<Duration>,
    /// Time until which keys without a recorded owner may have one: the store was restored from a
    /// backup, and no leader knows who was granted them. `None` if there is no such grant.
    pub unknown_until: Option<Duration>,
}

/// A local time with an upper bound of the store's clock.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimeBound {
    /// Time of the local clock.
    pub local: Instant,
    /// Latest time that the store's clock can show at that moment.
    pub latest: Duration,
}

impl PreviousLeaders {
    /// Returns the longest time that can remain until `end`; `None` if either time is not known.
    pub(super) fn time_until(&self, end: Option<Duration>) -> Option<Duration> {
        Some(end?.saturating_sub(self.earliest_now?))
    }
}

impl StoreTimeBound {
    /// Returns the latest time that the store's clock can show at a local `moment`, rounded up to
    /// whole milliseconds, the unit in the stored rows.
    pub(super) fn latest_at(&self, moment: Instant) -> Duration {
        let time = self.latest + moment.saturating_duration_since(self.local);
        Duration::from_millis(time.as_millis() as u64 + 1)
    }
}
