//! Times of targets' answers, and what they say of the next one.

use std::time::Duration;

/// Weight of a new time in the average.
const NEW_WEIGHT: f64 = 0.12;
/// Time of an answer where none was seen, in seconds.
pub const DEFAULT_SERVICE_TIME_S: f64 = 0.1;
/// Weight of requests at the target: of those that run, the average one has half of its time left.
const CROWD: f64 = 0.5;
/// Cost of a target in another data centre in relation to one nearby.
const FAR: f64 = 1.5;

/// Moving average of the times of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime(Option<f64>);

/// What is known of a target when a request could go there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetEstimate {
    /// Average time of its answers in seconds.
    pub service_time: f64,
    /// Requests that are there.
    pub in_flight: f64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Momentary slowness; 1 is as usual.
    pub slowdown: f64,
    /// Whether it is in the data centre of the instance that sends.
    pub is_local: bool,
}

impl ServiceTime {
    /// Takes the time of an answer.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let average = self.0.unwrap_or(seconds);
        self.0 = Some(average + NEW_WEIGHT * (seconds - average));
    }

    /// Returns the average in seconds; `None` before the first answer.
    pub fn seconds(self) -> Option<f64> {
        self.0
    }
}

impl TargetEstimate {
    /// Returns the time after which a request would likely be answered, in seconds.
    pub fn response_time(&self) -> f64 {
        let crowd = 1.0 + CROWD * self.in_flight / f64::from(self.slots.max(1));
        let far = if self.is_local { 1.0 } else { FAR };
        self.service_time * crowd * self.slowdown * far
    }
}
