//! Retry budget, of which each instance enforces its share, limits that targets name, and token
//! bucket for limited and cold targets.

use {std::time::Duration, tokio::time::Instant};

/// Slices of the sliding window.
const WINDOW_SLICES: usize = 10;
/// Part of the budget that is used; the rest is a margin, as the instances do not know each other's
/// requests.
const BUDGET_USABLE_RATIO: f64 = 0.7;

/// Part of a named limit that a coordinator uses. While the coordinator of a pool changes, two of
/// them give permits.
const USABLE_LIMIT_RATIO: f64 = 0.75;
/// Requests per second that a target gets whatever its limit: only a response tells that it has
/// lifted the limit.
const MIN_LIMITED_RATE: f64 = 0.25;
/// Part of a cold target's rate that a coordinator uses. In any one second the target bears somewhat
/// more than its rate.
const COLD_RATE_RATIO: f64 = 1.1;
/// Upper bound on that for high rates: a ratio, and requests per second beyond it. While the
/// coordinator of a pool changes, two of them give permits.
const SHARED_COLD_RATE: (f64, f64) = (0.75, 1.5);
/// Longest wait for a token that is reported.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(60);

/// Retry budget of a service within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that, of all instances together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries of one instance to one service within the last window.
#[derive(Debug)]
pub struct RetryWindow {
    start: Instant,
    slice: u64,
    requests: [u32; WINDOW_SLICES],
    retries: [u32; WINDOW_SLICES],
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            slice: 0,
            requests: [0; WINDOW_SLICES],
            retries: [0; WINDOW_SLICES],
        }
    }

    /// Counts a request of a caller.
    pub fn add_request(&mut self, budget: &RetryBudget, now: Instant) {
        let index = self.advance(budget, now);
        self.requests[index] += 1;
    }

    /// Counts a retry and returns `true`, or returns `false` if this instance's share of the budget
    /// is used up.
    pub fn try_add_retry(&mut self, budget: &RetryBudget, instances: u32, now: Instant) -> bool {
        let index = self.advance(budget, now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let slack = budget.slack / f64::from(instances.max(1));
        let limit = BUDGET_USABLE_RATIO * (budget.ratio * f64::from(requests) + slack);
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.retries[index] += 1;
        true
    }

    /// Clears the slices that have left the window; returns the index of the present one.
    fn advance(&mut self, budget: &RetryBudget, now: Instant) -> usize {
        let slice_length = budget.window.as_secs_f64() / WINDOW_SLICES as f64;
        let slice = (now.duration_since(self.start).as_secs_f64() / slice_length) as u64;
        let passed = slice.saturating_sub(self.slice).min(WINDOW_SLICES as u64);
        for step in 1..=passed {
            let index = ((self.slice + step) % WINDOW_SLICES as u64) as usize;
            self.requests[index] = 0;
            self.retries[index] = 0;
        }
        if passed == WINDOW_SLICES as u64 {
            self.requests = [0; WINDOW_SLICES];
            self.retries = [0; WINDOW_SLICES];
        }
        self.slice = self.slice.max(slice);
        (self.slice % WINDOW_SLICES as u64) as usize
    }
}

/// Requests per second that a target takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    /// Thousandths of a request per second.
    pub millis: u64,
}

impl RateLimit {
    /// Converts a number of requests per second; `None` if it is negative or not finite.
    pub fn from_rate(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self {
            millis: (1000.0 * per_second) as u64,
        })
    }

    /// Returns the number of requests per second.
    pub fn rate(self) -> f64 {
        self.millis as f64 / 1000.0
    }

    /// Returns the number of requests per second that one coordinator lets through.
    pub fn usable_rate(self) -> f64 {
        (USABLE_LIMIT_RATIO * self.rate()).max(MIN_LIMITED_RATE)
    }
}

/// Returns the requests per second that one coordinator lets through to a cold target with this rate.
pub fn usable_cold_rate(rate: f64) -> f64 {
    let (ratio, extra) = SHARED_COLD_RATE;
    (COLD_RATE_RATIO * rate).min(ratio * rate + extra)
}

/// Token bucket of size 1.
#[derive(Debug)]
pub struct TokenBucket {
    level: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with the level `initial`, 0 to 1. With different levels, instances that
    /// find the same target cold do not all send at once.
    pub fn new(initial: f64, now: Instant) -> Self {
        Self {
            level: initial,
            updated_at: now,
        }
    }

    /// Removes a token from the bucket, which gets `rate` tokens a second.
    ///
    /// # Errors
    /// Returns the time to wait if there is none.
    pub fn try_take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let wait = self.wait(rate, now);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.level = self.level_at(rate, now) - 1.0;
        self.updated_at = now;
        Ok(())
    }

    /// Returns the time until there is a token, at most [`MAX_TOKEN_WAIT`].
    pub fn wait(&self, rate: f64, now: Instant) -> Duration {
        let missing = 1.0 - self.level_at(rate, now);
        let seconds = missing.max(0.0) / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_TOKEN_WAIT.as_secs_f64()))
    }

    fn level_at(&self, rate: f64, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.updated_at).as_secs_f64();
        (self.level + elapsed * rate).min(1.0)
    }
}
