//! Failures among the responses of a target, such as server errors of one that says that it is well.

use {std::time::Duration, tokio::time::Instant};

/// Weight of a response in the moving average of a target's failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Part of its responses that are failures from which a target is avoided.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Time after a failure for which such a target is avoided, and its upper bound; it doubles with each
/// further failure in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// Smallest part of successful responses that a target's service time is divided by.
const MIN_SUCCESS_RATE: f64 = 0.2;

/// Failures among the responses of a target. A target that fails at once would else seem to be the
/// fastest one and get most requests.
#[derive(Debug, Default)]
pub(super) struct Failures {
    /// Moving average of the part of responses that are failures.
    rate: f64,
    /// Failures since the last success.
    in_a_row: u32,
    /// End of the time for which the target is avoided.
    avoid_until: Option<Instant>,
}

impl Failures {
    /// Counts a response with a result.
    pub fn record_success(&mut self) {
        self.rate -= FAILURE_WEIGHT * self.rate;
        self.in_a_row = 0;
        self.avoid_until = None;
    }

    /// Counts a server error or a missing response.
    pub fn record_failure(&mut self, now: Instant) {
        self.rate += FAILURE_WEIGHT * (1.0 - self.rate);
        self.in_a_row += 1;
        if self.rate > MAX_FAILURE_RATE {
            let doublings = self.in_a_row.saturating_sub(1).min(3);
            let pause = (FAILURE_PAUSE * (1 << doublings)).min(MAX_FAILURE_PAUSE);
            self.avoid_until = Some(now + pause);
        }
    }

    /// Returns whether the target is chosen only if there is no other.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Returns the part of the responses that are results; small rather than 0.
    pub fn success_rate(&self) -> f64 {
        (1.0 - self.rate).max(MIN_SUCCESS_RATE)
    }
}
