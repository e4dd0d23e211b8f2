//! Observed times of answers: a smoothed mean with its deviation, and quantiles of recent ones.

use std::time::Duration;

/// Number of recent times that quantiles are taken from.
const WINDOW: usize = 128;

/// Number of new times after which quantiles are computed again.
const REFRESH: u32 = 16;

/// Weight of a new time in the smoothed mean.
const WEIGHT: f64 = 0.125;

/// Weight of a new deviation in the smoothed deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Times of answers of one kind.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    mean: f64,
    deviation: f64,
    recent: Vec<u32>,
    oldest: usize,
    stale: u32,
    sorted: Vec<u32>,
}

impl Latency {
    /// Adds the time of one answer.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        if self.recent.is_empty() {
            self.mean = seconds;
            self.deviation = seconds / 4.0;
        } else {
            let error = seconds - self.mean;
            self.mean += WEIGHT * error;
            self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        }
        self.remember(u32::try_from(time.as_micros()).unwrap_or(u32::MAX));
    }

    /// Returns the smoothed time, or `None` before the first answer.
    pub fn smoothed(&self) -> Option<Duration> {
        (!self.recent.is_empty()).then(|| Duration::from_secs_f64(self.mean))
    }

    /// Returns the time within which an answer likely comes; zero before the first answer.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.mean + self.deviation)
    }

    /// Returns the quantile `share` (0 to 1) of the recent times, or `None` before the first answer.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let at = (share * last as f64).round() as usize;
        Some(Duration::from_micros(self.sorted[at.min(last)].into()))
    }

    /// Returns how many times the quantiles are taken from.
    pub fn samples(&self) -> usize {
        self.recent.len()
    }

    fn remember(&mut self, micros: u32) {
        if self.recent.len() < WINDOW {
            self.recent.push(micros);
        } else {
            self.recent[self.oldest] = micros;
            self.oldest = (self.oldest + 1) % WINDOW;
        }
        self.stale += 1;
        let few = self.recent.len() <= REFRESH as usize;
        if few || self.stale >= REFRESH {
            self.stale = 0;
            self.sorted.clone_from(&self.recent);
            self.sorted.sort_unstable();
        }
    }
}
