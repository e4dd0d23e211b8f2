//! Smoothed service time of a target, and an estimate of the response time of the next request.

use std::time::Duration;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Service time that is assumed of a target without a response so far, in seconds.
pub const DEFAULT_SERVICE_TIME_S: f64 = 0.1;
/// Weight of the requests in flight: on average each of them has half of its time left.
const LOAD_WEIGHT: f64 = 0.5;
/// Cost of a target in another data centre in relation to a local one.
const REMOTE_COST_FACTOR: f64 = 1.5;

/// Moving average of the time that a target takes to respond.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime(Option<f64>);

/// Inputs for an estimate of the response time of another request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetEstimate {
    /// Smoothed service time in seconds.
    pub service_time: f64,
    /// Requests that the target has now.
    pub in_flight: f64,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes now in relation to the usual; 1 is as usual.
    pub slowdown: f64,
    /// Whether the target is in the data centre of the instance that sends.
    pub is_local: bool,
}

impl ServiceTime {
    /// Adds the time of a response to the average.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let average = self.0.unwrap_or(seconds);
        self.0 = Some(average + SAMPLE_WEIGHT * (seconds - average));
    }

    /// Returns the average in seconds; `None` before the first response.
    pub fn seconds(self) -> Option<f64> {
        self.0
    }
}

impl TargetEstimate {
    /// Returns the expected response time of another request, in seconds.
    pub fn response_time(&self) -> f64 {
        let load_factor = 1.0 + LOAD_WEIGHT * self.in_flight / f64::from(self.slots.max(1));
        let remote_factor = if self.is_local {
            1.0
        } else {
            REMOTE_COST_FACTOR
        };
        self.service_time * load_factor * self.slowdown * remote_factor
    }
}
