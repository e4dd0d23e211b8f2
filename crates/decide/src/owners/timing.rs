//! Intervals of the commands to targets, and how long grants last.

use {super::state::CLOCK_MARGIN, std::time::Duration};

/// Assignments above which renewals are less frequent, to bound the leader's load.
const LARGE_ASSIGNMENT_COUNT: usize = 300;

/// TTL of a grant as a multiple of the renewal interval, so that a grant outlasts two renewals.
const TTL_RENEWAL_RATIO: f64 = 2.4;

/// Longest renewal interval in relation to the longest TTL.
const MAX_INTERVAL_TTL_RATIO: f64 = 0.45;

const MAX_RENEWALS_PER_SECOND: f64 = 550.0;

/// Intervals and limits of the commands to targets.
#[derive(Clone, Copy, Debug)]
pub struct CommandTiming {
    /// TTL of a grant.
    pub ttl: Duration,
    /// TTL of a grant while the store is unreachable.
    pub long_ttl: Duration,
    /// Longest TTL that any leader grants.
    pub max_ttl: Duration,
    /// Time from a grant to its renewal.
    pub renewal_interval: Duration,
    /// Shortest renewal interval with more than [`LARGE_ASSIGNMENT_COUNT`] assignments.
    pub slow_renewal: Duration,
    /// Time after which a failed command is sent again; it doubles with further failures.
    pub retry_delay: Duration,
    /// Longest time from the sending of a command to its arrival or loss.
    pub delivery_limit: Duration,
}

impl CommandTiming {
    /// Returns the timing for that many assignments: above [`LARGE_ASSIGNMENT_COUNT`], renewals are
    /// less frequent and TTLs last [`TTL_RENEWAL_RATIO`] intervals, as far as `max_ttl` allows.
    pub(super) fn for_assignments(&self, assignment_count: usize) -> Self {
        if assignment_count <= LARGE_ASSIGNMENT_COUNT {
            return *self;
        }
        let min_interval =
            Duration::from_secs_f64(assignment_count as f64 / MAX_RENEWALS_PER_SECOND);
        let renewal_interval = self
            .slow_renewal
            .max(min_interval)
            .min(self.max_ttl.mul_f64(MAX_INTERVAL_TTL_RATIO));
        let ttl = renewal_interval
            .mul_f64(TTL_RENEWAL_RATIO)
            .max(self.ttl)
            .min(self.max_ttl);
        Self {
            renewal_interval,
            ttl,
            ..*self
        }
    }
}

/// Returns how long a grant of the longest TTL can be in force, counted from its sending.
pub fn max_grant_lifetime(max_ttl: Duration, delivery_limit: Duration) -> Duration {
    delivery_limit + max_ttl.mul_f64(CLOCK_MARGIN)
}
