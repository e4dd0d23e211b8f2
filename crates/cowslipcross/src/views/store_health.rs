//! Whether the store answers.

use {
    crate::{context::Context, events},
    cowslip_adapter::Error,
    std::{ops::RangeInclusive, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Pause after a call failed; it grows with each further one.
const PAUSE: Duration = Duration::from_millis(600);
/// Longest pause. Where no leader is heard the search for one calls more often, and what answers
/// it ends the pauses of all duties.
const LONGEST_PAUSE: Duration = Duration::from_millis(2400);

/// Factors that spread the pauses of instances.
const SPREAD: RangeInclusive<f64> = 0.6..=1.0;

/// Whether the store answered last, for one duty.
#[derive(Default)]
pub struct StoreHealth {
    down: Option<Instant>,
    failures: u32,
}

impl StoreHealth {
    /// Notes the first failure of a row of them and the first success after it.
    pub fn record_call(&mut self, context: &Context, what: &str, error: Option<&Error>) {
        context.metrics.count_store_call(what, error.is_none());
        context.set_store_reachable(error.is_none());
        self.failures = error.map_or(0, |_| self.failures + 1);
        match (error, self.down) {
            (Some(error), None) => {
                self.down = Some(Instant::now());
                context.record_event(events::STORE_UNAVAILABLE, format!("{what}: {error}"));
            }
            (None, Some(since)) => {
                self.down = None;
                let detail = format!("{what}: after {} ms", since.elapsed().as_millis());
                context.record_event(events::STORE_RECOVERED, detail);
            }
            _ => {}
        }
    }

    /// Waits until the store is called again: for a pause, or until it answers another duty.
    pub async fn wait_to_retry(&self, context: &Context) {
        let pause = (PAUSE * self.failures.max(1)).min(LONGEST_PAUSE);
        // Instances that failed together must not call together again.
        let pause = pause.mul_f64(rand::random_range(SPREAD));
        // Either is reason enough for another call.
        let _ = timeout(pause, context.store_recovered.notified()).await;
    }
}
