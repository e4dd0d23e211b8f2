//! Creates metrics and registers them by name.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry as PrometheusRegistry, TextEncoder, core::Collector,
};

/// Prefix of every metric name.
const NAME_PREFIX: &str = "cowslipcross_";
/// Upper bounds of the buckets of durations, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 9] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// All metrics of a process.
#[derive(Default)]
pub struct Registry {
    inner: PrometheusRegistry,
    names: Vec<String>,
}

impl Registry {
    /// Returns the names of all metrics.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns all metrics in the Prometheus text format, or a comment with the error if encoding
    /// fails.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.inner.gather(), &mut text) {
            text = format!("# {error}\n").into_bytes();
        }
        text
    }

    /// Registers a counter with labels.
    pub fn counter_with_labels(
        &mut self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> IntCounterVec {
        let metric = IntCounterVec::new(options(name, help), labels);
        self.register(metric.expect("valid metric"))
    }

    /// Registers a counter.
    pub fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::with_opts(options(name, help));
        self.register(metric.expect("valid metric"))
    }

    /// Registers a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::with_opts(options(name, help));
        self.register(metric.expect("valid metric"))
    }

    /// Registers a gauge with labels.
    pub fn gauge_with_labels(&mut self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        let metric = GaugeVec::new(options(name, help), labels);
        self.register(metric.expect("valid metric"))
    }

    /// Registers a histogram of durations with labels.
    pub fn histogram(&mut self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options =
            HistogramOpts::from(options(name, help)).buckets(DURATION_BUCKETS_SECONDS.to_vec());
        let metric = HistogramVec::new(options, labels);
        self.register(metric.expect("valid metric"))
    }

    fn register<M: Collector + Clone + 'static>(&mut self, metric: M) -> M {
        let names = metric.desc().into_iter().map(|it| it.fq_name.clone());
        self.names.extend(names);
        // Cannot fail: names are constants of this program, each registered once.
        let registered = self.inner.register(Box::new(metric.clone()));
        registered.expect("metric is registered once");
        metric
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("{NAME_PREFIX}{name}"), help)
}
