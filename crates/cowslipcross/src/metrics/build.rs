//! Makes registered metrics.
//!
//! # Panics
//! Every function panics if a name is not valid or stands twice; both are faults of the program
//! that the first start shows.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    core::Collector,
};

/// Start of every name.
const PREFIX: &str = "cowslipcross";

/// Upper bounds of the classes of a time, in seconds.
const SECONDS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    5.0, 10.0,
];

pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::with_opts(options(name, help)))
}

pub(super) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    register(registry, IntCounterVec::new(options(name, help), labels))
}

pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::with_opts(options(name, help)))
}

pub(super) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(registry, IntGaugeVec::new(options(name, help), labels))
}

pub(super) fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help)
        .namespace(PREFIX)
        .buckets(SECONDS.into());
    register(registry, HistogramVec::new(options, labels))
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(PREFIX)
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, made: prometheus::Result<T>) -> T {
    let metric = made.expect("valid name");
    registry
        .register(Box::new(metric.clone()))
        .expect("a name that is not yet taken");
    metric
}
