//! Counters and histograms for operators.

mod registry;

use {
    crate::{
        context::Context,
        serve::{caller_response::RequestOutcome, exchange::ExchangeOutcome, request::BadRequest},
        status::ViewAges,
    },
    cowslip_adapter::config::Route,
    cowslip_decide::owners::{Command, CommandOutcome},
    prometheus::{GaugeVec, HistogramVec, IntCounter, IntCounterVec, IntGauge},
    registry::Registry,
    std::time::Duration,
};

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
    repeats: IntCounterVec,
    targets: IntGauge,
    unread: IntGauge,
    config: IntGauge,
    leads: IntGauge,
    active: IntGauge,
    instances: IntGauge,
    ages: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut all = Registry::default();
        let answer = &["rank", "kind", "verdict", "reason"];
        Self {
            answers: all.counters("answers_total", "Answers to callers.", answer),
            times: all.histogram(
                "answer_seconds",
                "Time from the head of a request to the answer.",
                &["rank", "verdict"],
            ),
            bad: all.counters(
                "bad_requests_total",
                "Requests that are not valid.",
                &["status"],
            ),
            attempts: all.counters(
                "attempts_total",
                "Ends of attempts at targets.",
                &["service", "end"],
            ),
            store: all.counters("store_calls_total", "Calls to the store.", &["what", "end"]),
            orders: all.counters(
                "orders_total",
                "Orders to owners of keys.",
                &["order", "end"],
            ),
            datagrams: all.counter(
                "bad_datagrams_total",
                "Datagrams that could not be sent or read.",
            ),
            silent: all.counter(
                "silent_holders_total",
                "Questions for a permit that got no reply.",
            ),
            repeats: all.counters(
                "repeats_total",
                "Repeated sends that were asked of the instance's share of the bound.",
                &["service", "end"],
            ),
            targets: all.gauge("targets", "Targets that report themselves."),
            unread: all.gauge(
                "unreadable_reports",
                "Reports of targets that cannot be read.",
            ),
            config: all.gauge("config_version", "Version of the configuration in force."),
            leads: all.gauge("leads", "1 while this instance is the leader."),
            active: all.gauge("requests_in_progress", "Requests in progress."),
            instances: all.gauge("instances", "Instances that the leader hears of."),
            ages: all.gauges(
                "view_age_seconds",
                "Time since a view was confirmed last.",
                &["view"],
            ),
            registry: all,
        }
    }
}

impl Metrics {
    /// Returns the names of all metrics.
    pub fn names(&self) -> &[String] {
        self.registry.names()
    }

    /// Counts an answer to a caller.
    pub fn count_response(&self, route: &Route, answer: &RequestOutcome, time: Duration) {
        let rank = route.priority.to_string();
        let kind = match route.idempotent {
            true => "repeatable",
            false => "once",
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
    pub fn count_bad_request(&self, bad: &BadRequest) {
        self.bad.with_label_values(&[bad.status().as_str()]).inc();
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, service: &str, end: &ExchangeOutcome) {
        let word = match end {
            ExchangeOutcome::Completed(whole) if whole.status.is_server_error() => "error",
            ExchangeOutcome::Completed(_) => "answer",
            ExchangeOutcome::NotExecuted(_) => "refused",
            ExchangeOutcome::Unsent(_) => "unsent",
            ExchangeOutcome::Broken(_) => "broken",
            ExchangeOutcome::TimedOut => "late",
        };
        self.attempts.with_label_values(&[service, word]).inc();
    }

    /// Counts a repeated send that was wished for.
    pub fn count_retry(&self, service: &str, allowed: bool) {
        let end = if allowed { "sent" } else { "refused" };
        self.repeats.with_label_values(&[service, end]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, what: &str, ok: bool) {
        let end = if ok { "ok" } else { "failed" };
        self.store.with_label_values(&[what, end]).inc();
    }

    /// Counts an order to the owner of keys.
    pub fn count_command(&self, order: &Command, done: &CommandOutcome) {
        let order = match order {
            Command::Grant { .. } => "grant",
            Command::Release { .. } => "release",
        };
        let end = match done {
            CommandOutcome::Accepted | CommandOutcome::Released(_) => "done",
            CommandOutcome::StaleFence => "outdated",
            CommandOutcome::Unsent => "unsent",
            CommandOutcome::TargetEnded => "ended",
            CommandOutcome::Unknown => "unknown",
        };
        self.orders.with_label_values(&[order, end]).inc();
    }

    /// Counts a datagram that could not be sent or read.
    pub fn count_bad_datagram(&self) {
        self.datagrams.inc();
    }

    /// Counts a question for a permit that got no reply.
    pub fn count_permit_timeout(&self) {
        self.silent.inc();
    }

    /// Sets the number of targets, and of reports that cannot be read.
    pub fn set_target_reports(&self, targets: usize, unread: usize) {
        self.targets.set(targets as i64);
        self.unread.set(unread as i64);
    }

    /// Returns all in the text format of Prometheus.
    pub fn render(&self, context: &Context) -> Vec<u8> {
        let version = context.config.borrow().as_ref().map_or(0, |it| it.version);
        self.config.set(version as i64);
        self.leads.set(i64::from(context.is_leader()));
        self.active.set(i64::from(context.active_requests.get()));
        self.instances.set(i64::from(context.instance_count.get()));
        self.set_ages(ViewAges::from(context));
        self.registry.render()
    }

    /// Sets the ages of the views that there are.
    fn set_ages(&self, ages: ViewAges) {
        let views = [
            ("configuration", ages.config_ms),
            ("targets", ages.targets_ms),
            ("owners", ages.owners_ms),
        ];
        for (view, age) in views {
            if let Some(age) = age {
                let seconds = Duration::from_millis(age).as_secs_f64();
                self.ages.with_label_values(&[view]).set(seconds);
            }
        }
    }
}
