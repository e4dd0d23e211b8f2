//! Options and faults of a target.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How a target behaves while nothing fails.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the target.
    pub name: String,
    /// Service that it answers.
    pub service: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Requests that it bears, running or waiting, when it has just turned cold.
    pub cold_limit: usize,
    /// Whether it starts cold.
    pub cold: bool,
    /// Successes after which a cold target bears one request more.
    pub warmup: u32,
    /// Requests that wait for a slot before it sheds.
    pub queue: usize,
    /// Open connections that it bears.
    pub connections: usize,
    /// Time that each new connection takes.
    pub opening: Duration,
    /// Median time of a request.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the time of a request.
    pub spread: f64,
    /// Whether it checks grants and fences.
    pub checks_fence: bool,
    /// Age of what its health reports.
    pub health_lag: Duration,
    /// Runs that its record keeps.
    pub record_limit: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "t1".to_owned(),
            service: "board-registry".to_owned(),
            data_centre: "dc-1".to_owned(),
            slots: 2,
            cold_limit: 1,
            cold: true,
            warmup: 10,
            queue: 8,
            connections: 130,
            opening: Duration::from_millis(1),
            service_time: Duration::from_millis(2),
            spread: 0.3,
            checks_fence: true,
            health_lag: Duration::from_secs(2),
            record_limit: 400_000,
        }
    }
}

/// Faults to switch; what is absent stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Stops all handling, or goes on with what was buffered.
    pub freeze: Option<bool>,
    /// Factor on the time of a request.
    pub slow: Option<f64>,
    /// Share of answers that are cut short.
    pub cut: Option<f64>,
    /// Share of requests that fail at once with 500.
    pub error: Option<f64>,
    /// Whether health reports an idle warm target whatever is true.
    pub lie: Option<bool>,
    /// Whether the target is leaving.
    pub leave: Option<bool>,
    /// Turns the target cold without a sign.
    pub cold: bool,
    /// Forgets everything but the record: new start id, cold, connections dropped.
    pub restart: bool,
    /// Makes the connections that are open now hang for good.
    pub silence: bool,
    /// Closes the port and drops connections for good, as the end of the process does.
    pub kill: bool,
}
