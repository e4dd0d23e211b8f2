//! Counters and histograms for operators.

use {
    super::{answer::Answer, context::Context, exchange::End, request::BadRequest},
    cowslip_adapter::config::Route,
    cowslip_decide::owners::{Done, Order},
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::time::Duration,
};

/// Bounds of the histogram of answer times, in seconds.
const TIMES: [f64; 9] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Counters and histograms of an instance.
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    times: HistogramVec,
    bad: IntCounterVec,
    attempts: IntCounterVec,
    store: IntCounterVec,
    orders: IntCounterVec,
    datagrams: IntCounter,
    silent: IntCounter,
    targets: IntGauge,
    unread: IntGauge,
    config: IntGauge,
    leads: IntGauge,
    active: IntGauge,
    instances: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let rank = &["rank", "kind", "verdict", "reason"];
        Self {
            answers: counters(
                &registry,
                "direct_answers_total",
                "Answers to callers.",
                rank,
            ),
            times: histogram(&registry),
            bad: counters(
                &registry,
                "direct_bad_requests_total",
                "Requests that are not valid.",
                &["status"],
            ),
            attempts: counters(
                &registry,
                "direct_attempts_total",
                "Ends of attempts at targets.",
                &["service", "end"],
            ),
            store: counters(
                &registry,
                "direct_store_calls_total",
                "Calls to the store.",
                &["what", "end"],
            ),
            orders: counters(
                &registry,
                "direct_orders_total",
                "Orders to owners of keys.",
                &["order", "end"],
            ),
            datagrams: counter(
                &registry,
                "direct_bad_datagrams_total",
                "Datagrams that could not be sent or read.",
            ),
            silent: counter(
                &registry,
                "direct_silent_holders_total",
                "Questions for a permit that got no reply.",
            ),
            targets: gauge(
                &registry,
                "direct_targets",
                "Targets that report themselves.",
            ),
            unread: gauge(
                &registry,
                "direct_unreadable_reports",
                "Reports of targets that cannot be read.",
            ),
            config: gauge(
                &registry,
                "direct_config_version",
                "Version of the configuration in force.",
            ),
            leads: gauge(
                &registry,
                "direct_leads",
                "1 while this instance is the leader.",
            ),
            active: gauge(
                &registry,
                "direct_requests_in_progress",
                "Requests in progress.",
            ),
            instances: gauge(
                &registry,
                "direct_instances",
                "Instances that the leader hears of.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts an answer to a caller.
    pub fn answered(&self, route: &Route, answer: &Answer, time: Duration) {
        let rank = route.rank.to_string();
        let kind = if route.repeatable {
            "repeatable"
        } else {
            "once"
        };
        let reason = answer.reason().map_or("", |it| it.as_str());
        let verdict = answer.verdict().as_str();
        self.answers
            .with_label_values(&[rank.as_str(), kind, verdict, reason])
            .inc();
        self.times
            .with_label_values(&[rank.as_str(), verdict])
            .observe(time.as_secs_f64());
    }

    /// Counts a request that is not valid.
    pub fn bad(&self, bad: &BadRequest) {
        self.bad.with_label_values(&[bad.status().as_str()]).inc();
    }

    /// Counts the end of an attempt.
    pub fn ended(&self, service: &str, end: &End) {
        let word = match end {
            End::Whole(whole) if whole.status.is_server_error() => "error",
            End::Whole(_) => "answer",
            End::Unrun(_) => "refused",
            End::Unsent(_) => "unsent",
            End::Broken(_) => "broken",
            End::Late => "late",
        };
        self.attempts.with_label_values(&[service, word]).inc();
    }

    /// Counts a call to the store.
    pub fn store_call(&self, what: &str, ok: bool) {
        let end = if ok { "ok" } else { "failed" };
        self.store.with_label_values(&[what, end]).inc();
    }

    /// Counts an order to the owner of keys.
    pub fn order(&self, order: &Order, done: &Done) {
        let order = match order {
            Order::Grant { .. } => "grant",
            Order::Release { .. } => "release",
        };
        let end = match done {
            Done::Held | Done::Released(_) => "done",
            Done::Outdated => "outdated",
            Done::Unsent => "unsent",
            Done::Ended => "ended",
            Done::Unknown => "unknown",
        };
        self.orders.with_label_values(&[order, end]).inc();
    }

    /// Counts a datagram that could not be sent or read.
    pub fn bad_datagram(&self) {
        self.datagrams.inc();
    }

    /// Counts a question for a permit that got no reply.
    pub fn silent_holder(&self) {
        self.silent.inc();
    }

    /// Sets the number of targets, and of reports that cannot be read.
    pub fn reports(&self, targets: usize, unread: usize) {
        self.targets.set(targets as i64);
        self.unread.set(unread as i64);
    }

    /// Returns all in the text format of Prometheus.
    pub fn text(&self, context: &Context) -> Vec<u8> {
        let version = context.config.borrow().as_ref().map_or(0, |it| it.version);
        self.config.set(version as i64);
        self.leads.set(i64::from(context.leads()));
        self.active.set(context.active.get() as i64);
        self.instances.set(i64::from(context.instances.get()));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# {error}\n").into_bytes();
        }
        text
    }
}

fn register(registry: &Registry, made: impl prometheus::core::Collector + 'static) {
    // Names are constants of this file, each registered once.
    registry
        .register(Box::new(made))
        .expect("metric is registered once");
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let made = IntCounterVec::new(Opts::new(full(name), help), labels).expect("valid metric");
    register(registry, made.clone());
    made
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let made = IntCounter::new(full(name), help).expect("valid metric");
    register(registry, made.clone());
    made
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let made = IntGauge::new(full(name), help).expect("valid metric");
    register(registry, made.clone());
    made
}

fn histogram(registry: &Registry) -> HistogramVec {
    let help = "Time from the head of a request to the answer.";
    let options = HistogramOpts::new(full("direct_answer_seconds"), help).buckets(TIMES.to_vec());
    let made = HistogramVec::new(options, &["rank", "verdict"]).expect("valid metric");
    register(registry, made.clone());
    made
}

fn full(name: &str) -> String {
    format!("cowslipcross_{name}")
}
