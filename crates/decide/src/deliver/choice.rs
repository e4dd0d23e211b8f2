//! Choice of a target in a pool, by what the holder has observed.

use std::time::Duration;

/// Ratio to the pool's median, or to the fastest target if that is higher, from which a target is
/// slow.
const SLOW: f64 = 3.0;

/// Time after which a slow target gets a request that may not be repeated, and so not be hedged.
const ORDER_TRIAL: Duration = Duration::from_millis(500);

/// Time after which a slow target gets a trial request.
const TRIAL: Duration = Duration::from_millis(100);

/// Growth of the cost with each request at the target.
const CROWDING: f64 = 0.25;

/// Growth of the cost with the share of error answers.
const ERROR_COST: f64 = 8.0;

/// Ratio to the median above which the age of an outstanding request counts as latency.
const OVERDUE: f64 = 2.0;

/// A target that could take the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Smoothed time of its last few answers.
    pub latency: Option<Duration>,
    /// Age of its oldest outstanding request.
    pub oldest: Option<Duration>,
    /// Whether it has a free slot and a connection.
    pub free: bool,
    /// Requests at the target.
    pub running: u32,
    /// Requests that it may run at the same time.
    pub limit: u32,
    /// Share of its answers that were errors, 0 to 1.
    pub errors: f64,
    /// Time since it last got a request.
    pub untried: Duration,
}

/// What the choice needs to know of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests that wait.
    pub queued: usize,
    /// Whether the next request may be repeated.
    pub repeatable: bool,
    /// Median of the recent times of the pool.
    pub median: Duration,
}

/// Returns the place in `all` of the target for the next request, or `None` to keep it waiting.
pub fn pick(all: &[Candidate], demand: &Demand) -> Option<usize> {
    let times: Vec<f64> = all.iter().map(|one| one.time(demand.median)).collect();
    let fastest = times.iter().copied().fold(f64::INFINITY, f64::min);
    let usual = fastest.max(demand.median.as_secs_f64());
    let is_slow = |at: usize| times[at] > SLOW * usual;
    let free = || (0..all.len()).filter(|at| all[*at].free);
    let period = if demand.repeatable {
        TRIAL
    } else {
        ORDER_TRIAL
    };
    let trial = free().find(|at| is_slow(*at) && all[*at].wants_trial(period));
    if trial.is_some() {
        return trial;
    }
    let cost = |at: &usize| times[*at] * all[*at].factor();
    let cheapest = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
    if let Some(at) = free().filter(|at| !is_slow(*at)).min_by(cheapest) {
        return Some(at);
    }
    let slots: u32 = (0..all.len())
        .filter(|at| !is_slow(*at))
        .map(|at| all[at].limit)
        .sum();
    let drain = demand.queued as f64 * fastest / f64::from(slots.max(1));
    free()
        .min_by(cheapest)
        .filter(|at| slots == 0 || drain > times[*at])
}

impl Candidate {
    /// Returns the time in seconds that the next answer likely takes.
    fn time(&self, median: Duration) -> f64 {
        let usual = self.latency.unwrap_or(median).as_secs_f64();
        let overdue = OVERDUE * median.as_secs_f64();
        let age = self.oldest.unwrap_or_default().as_secs_f64();
        let time = if age > overdue { usual.max(age) } else { usual };
        time * (1.0 + ERROR_COST * self.errors)
    }

    fn factor(&self) -> f64 {
        1.0 + CROWDING * f64::from(self.running)
    }

    fn wants_trial(&self, period: Duration) -> bool {
        self.running == 0 && self.untried >= period
    }
}
