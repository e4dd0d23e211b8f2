//! Whether the store answers, with the delays between retries.

use {
    crate::{context::Context, events},
    cowslip_adapter::Error,
    std::{ops::RangeInclusive, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Delay after a failed call; multiplied by the number of failures in a row.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Upper bound of the delay: an instance has to apply a configuration within some 3 s of the time from
/// which the store answers it again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2400);

/// Interval at which a waiting task checks whether this instance is stale. The notification of that is
/// left to the task that reads the configuration.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Range of random factors of a delay.
const JITTER_FACTOR: RangeInclusive<f64> = 0.6..=1.0;

/// Failures of the store since its last answer, as one task sees them.
#[derive(Default)]
pub struct StoreHealth {
    down_since: Option<Instant>,
    failures: u32,
}

impl StoreHealth {
    /// Counts a call and records an event for the first failure in a row and for the first success
    /// after it.
    pub fn record_call(&mut self, context: &Context, call: &str, error: Option<&Error>) {
        context.metrics.count_store_call(call, error.is_none());
        context.set_store_reachable(error.is_none());
        self.failures = error.map_or(0, |_| self.failures + 1);
        match (error, self.down_since) {
            (Some(error), None) => {
                self.down_since = Some(Instant::now());
                context.record_event(events::STORE_UNAVAILABLE, format!("{call}: {error}"));
            }
            (None, Some(since)) => {
                self.down_since = None;
                let detail = format!("{call}: after {} ms", since.elapsed().as_millis());
                context.record_event(events::STORE_RECOVERED, detail);
            }
            _ => {}
        }
    }

    /// Waits for the retry delay, or until the store answers another task. The delay is shorter once
    /// another instance has reported a configuration that this one has not read.
    pub async fn wait_to_retry(&self, context: &Context) {
        let start = Instant::now();
        // Instances whose calls failed together must not retry together.
        let jitter = rand::random_range(JITTER_FACTOR);
        loop {
            let delay = retry_delay(self.failures, context.is_config_stale()).mul_f64(jitter);
            let (due, now) = (start + delay, Instant::now());
            if now >= due {
                return;
            }
            let next_check = due.min(now + STALE_CHECK_INTERVAL);
            let recovered = context.store_recovered.notified();
            if timeout_at(next_check, recovered).await.is_ok() {
                return;
            }
        }
    }
}

/// Returns the longest delay after so many failures in a row, and if this instance `is_stale`.
fn retry_delay(failures: u32, is_stale: bool) -> Duration {
    match is_stale {
        true => CALL_RETRY_DELAY,
        false => (CALL_RETRY_DELAY * failures.max(1)).min(MAX_RETRY_DELAY),
    }
}

#[cfg(test)]
#[path = "store_health_tests.rs"]
mod tests;
