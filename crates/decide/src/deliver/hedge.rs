//! Second attempts of slow repeatable requests, within a budget.

use {super::latency::Latency, std::time::Duration};

/// Part of a hedge that each request sent pays.
const SHARE: f64 = 0.05;

/// Hedges that may be saved up.
const MOST_SAVED: f64 = 10.0;

/// Quantile of the recent times after which a request is hedged.
const QUANTILE: f64 = 0.97;

/// Answers before the first hedge.
const FEWEST_SAMPLES: usize = 16;

/// Shortest age of a request that is hedged.
const SHORTEST_AGE: Duration = Duration::from_millis(1);

/// Hedges that may still be sent: a share of the requests.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// Notes a request that was sent for the first time.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(MOST_SAVED);
    }

    /// Returns whether a hedge may be sent.
    pub fn allows(&self) -> bool {
        self.saved >= 1.0
    }

    /// Notes a hedge that was sent.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

/// Returns the age at which a request is hedged, or `None` while too little is known.
pub fn age(recent: &Latency) -> Option<Duration> {
    if recent.samples() < FEWEST_SAMPLES {
        return None;
    }
    Some(recent.quantile(QUANTILE)?.max(SHORTEST_AGE))
}
