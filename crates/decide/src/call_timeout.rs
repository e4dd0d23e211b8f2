//! Timeout of calls to the store that follows the latencies seen, so that a slow store is told apart from one that
//! does not answer.

use std::time::Duration;

/// Timeout while the store answers fast.
const MIN_TIMEOUT: Duration = Duration::from_millis(450);
/// Longest timeout. With later answers a lease of 2.5 s could not be kept.
const MAX_TIMEOUT: Duration = Duration::from_millis(1100);
/// Timeout in relation to the latencies seen.
const LATENCY_FACTOR: u32 = 2;
/// Part of the estimated latency that remains after a faster call.
const DECAY: f64 = 0.8;

/// Timeout of the next call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTimeout {
    /// Highest latency of the last calls, which loses weight with each call.
    latency: Duration,
}

impl CallTimeout {
    /// Returns the timeout of the next call.
    pub fn get(&self) -> Duration {
        (self.latency * LATENCY_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Applies a call that was answered after this time.
    pub fn record_answer(&mut self, latency: Duration) {
        self.latency = latency.max(self.latency.mul_f64(DECAY)).min(MAX_TIMEOUT);
    }

    /// Applies a call that got no answer in time: the next one may take longer.
    pub fn record_timeout(&mut self) {
        self.latency = self.get();
    }
}
