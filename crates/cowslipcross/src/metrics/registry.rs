//! Makes metrics, and knows their names.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry as Inner, TextEncoder, core::Collector,
};

/// Beginning of every name.
const PREFIX: &str = "cowslipcross_";
/// Bounds of histograms of times, in seconds.
const TIMES: [f64; 9] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// All metrics of a process.
#[derive(Default)]
pub struct Registry {
    inner: Inner,
    names: Vec<String>,
}

impl Registry {
    /// Returns the names of all metrics.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns all in the text format of Prometheus.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.inner.gather(), &mut text) {
            text = format!("# {error}\n").into_bytes();
        }
        text
    }

    /// Makes counters with labels.
    pub fn counters(&mut self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let made = IntCounterVec::new(options(name, help), labels);
        self.register(made.expect("valid metric"))
    }

    /// Makes a counter.
    pub fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        let made = IntCounter::with_opts(options(name, help));
        self.register(made.expect("valid metric"))
    }

    /// Makes a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        let made = IntGauge::with_opts(options(name, help));
        self.register(made.expect("valid metric"))
    }

    /// Makes gauges with labels.
    pub fn gauges(&mut self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        let made = GaugeVec::new(options(name, help), labels);
        self.register(made.expect("valid metric"))
    }

    /// Makes histograms of times with labels.
    pub fn histogram(&mut self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::from(options(name, help)).buckets(TIMES.to_vec());
        let made = HistogramVec::new(options, labels);
        self.register(made.expect("valid metric"))
    }

    fn register<M: Collector + Clone + 'static>(&mut self, made: M) -> M {
        let names = made.desc().into_iter().map(|it| it.fq_name.clone());
        self.names.extend(names);
        // Names are constants of this program, each registered once.
        let registered = self.inner.register(Box::new(made.clone()));
        registered.expect("metric is registered once");
        made
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("{PREFIX}{name}"), help)
}
