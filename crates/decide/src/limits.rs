//! One instance's share of a bound that all instances keep together.

use {std::time::Duration, tokio::time::Instant};

/// Slices of the window.
const SLICES: usize = 10;
/// Part of the bound that is used, as the instances do not know each other's requests.
const USED: f64 = 0.7;

/// Bound on repeated sends: a share of the requests and a fixed number, within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, of all instances together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeated sends of one instance to one service in the last window.
#[derive(Debug)]
pub struct RetryWindow {
    start: Instant,
    slice: u64,
    requests: [u32; SLICES],
    repeats: [u32; SLICES],
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            slice: 0,
            requests: [0; SLICES],
            repeats: [0; SLICES],
        }
    }

    /// Counts a request of a caller.
    pub fn add_request(&mut self, bound: &RetryBudget, now: Instant) {
        let at = self.turn(bound, now);
        self.requests[at] += 1;
    }

    /// Takes one repeated send out of this instance's share; `false` if it is used up.
    pub fn try_add_retry(&mut self, bound: &RetryBudget, instances: u32, now: Instant) -> bool {
        let at = self.turn(bound, now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let slack = bound.slack / f64::from(instances.max(1));
        let most = USED * (bound.ratio * f64::from(requests) + slack);
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.repeats[at] += 1;
        true
    }

    /// Empties the slices that have left the window; returns the place of the present one.
    fn turn(&mut self, bound: &RetryBudget, now: Instant) -> usize {
        let length = bound.window.as_secs_f64() / SLICES as f64;
        let slice = (now.duration_since(self.start).as_secs_f64() / length) as u64;
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64);
        for step in 1..=passed {
            let at = ((self.slice + step) % SLICES as u64) as usize;
            self.requests[at] = 0;
            self.repeats[at] = 0;
        }
        if passed == SLICES as u64 {
            self.requests = [0; SLICES];
            self.repeats = [0; SLICES];
        }
        self.slice = self.slice.max(slice);
        (self.slice % SLICES as u64) as usize
    }
}

/// Rate limit of one instance at a cold target.
///
/// A request takes a whole token; an instance starts with the part of one that `first` says, so
/// that instances which find the same target cold do not all send at once.
#[derive(Debug)]
pub struct TokenBucket {
    saved: f64,
    since: Instant,
}

impl TokenBucket {
    /// Creates the tokens with `first` of one, 0 to 1.
    pub fn new(first: f64, now: Instant) -> Self {
        Self {
            saved: first,
            since: now,
        }
    }

    /// Takes a token at `rate` a second; returns the time to wait if there is none.
    pub fn try_take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let passed = now.duration_since(self.since).as_secs_f64();
        self.saved = (self.saved + passed * rate).min(1.0);
        self.since = now;
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.saved) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }
}
