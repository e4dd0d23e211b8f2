//! Prometheus metrics of an instance.

mod registry;

use {
    crate::{
        context::Context,
        serve::{
            caller_response::RequestOutcome, coordinator, exchange::ExchangeOutcome,
            organisations::Organisations, request::BadRequest,
        },
        status::ViewAges,
    },
    cowslip_adapter::config::Route,
    cowslip_decide::{
        memory_budget::{ConnectionKind, MemoryBudget},
        names::Name,
        owners::{Command, CommandOutcome},
    },
    prometheus::{GaugeVec, HistogramVec, IntCounter, IntCounterVec, IntGauge},
    registry::Registry,
    std::time::Duration,
};

/// Counters, gauges and histograms of an instance.
pub struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    response_times: HistogramVec,
    bad_requests: IntCounterVec,
    attempts: IntCounterVec,
    store_calls: IntCounterVec,
    commands: IntCounterVec,
    bad_datagrams: IntCounter,
    unreadable_messages: IntCounterVec,
    message_format: IntGauge,
    permit_timeouts: IntCounter,
    limited_sends: IntCounterVec,
    target_ends: IntCounterVec,
    relayed: IntCounterVec,
    retries: IntCounterVec,
    targets: IntGauge,
    avoided_targets: IntGauge,
    leaving_centres: IntGauge,
    unreadable_reports: IntGauge,
    body_bytes: GaugeVec,
    refused_bodies: GaugeVec,
    refused_connections: GaugeVec,
    config_version: IntGauge,
    is_leader: IntGauge,
    active_requests: IntGauge,
    instances: IntGauge,
    view_ages: GaugeVec,
    organisations: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::default();
        let response_labels = &["rank", "kind", "verdict", "reason"];
        Self {
            responses: registry.counter_with_labels(
                "answers_total",
                "Answers to callers.",
                response_labels,
            ),
            response_times: registry.histogram(
                "answer_seconds",
                "Time from the head of a request to the answer.",
                &["rank", "verdict"],
            ),
            bad_requests: registry.counter_with_labels(
                "bad_requests_total",
                "Requests that are not valid.",
                &["status"],
            ),
            attempts: registry.counter_with_labels(
                "attempts_total",
                "Ends of attempts at targets.",
                &["service", "end"],
            ),
            store_calls: registry.counter_with_labels(
                "store_calls_total",
                "Calls to the store.",
                &["what", "end"],
            ),
            commands: registry.counter_with_labels(
                "orders_total",
                "Orders to owners of keys.",
                &["order", "end"],
            ),
            bad_datagrams: registry.counter(
                "bad_datagrams_total",
                "Datagrams that could not be sent or read.",
            ),
            unreadable_messages: registry.counter_with_labels(
                "unreadable_messages_total",
                "Messages of other instances that cannot be read, by their first byte.",
                &["format"],
            ),
            message_format: registry.gauge(
                "message_format",
                "Latest format of messages that all instances read.",
            ),
            permit_timeouts: registry.counter(
                "silent_holders_total",
                "Questions for a permit that got no reply.",
            ),
            limited_sends: registry.counter_with_labels(
                "limited_sends_total",
                "Requests sent to targets that are cold or have named a limit.",
                &["permit"],
            ),
            target_ends: registry.counter_with_labels(
                "target_ends_total",
                "Requests that ran at a target when it ended.",
                &["service"],
            ),
            relayed: registry.counter_with_labels(
                "relayed_total",
                "Requests that another instance was asked to pass on, by its reply.",
                &["end"],
            ),
            retries: registry.counter_with_labels(
                "repeats_total",
                "Repeated sends that were asked of the instance's share of the bound.",
                &["service", "end"],
            ),
            targets: registry.gauge("targets", "Targets that report themselves."),
            avoided_targets: registry.gauge(
                "avoided_targets",
                "Targets that the pools coordinated here avoid after failures.",
            ),
            leaving_centres: registry.gauge(
                "leaving_data_centres",
                "Data centres whose requests leave them, over the pools coordinated here.",
            ),
            unreadable_reports: registry.gauge(
                "unreadable_reports",
                "Reports of targets that cannot be read.",
            ),
            body_bytes: registry.gauge_with_labels(
                "body_bytes",
                "Memory of bodies, connections and requests in progress: held now, the most so far, and the limit.",
                &["what"],
            ),
            refused_connections: registry.gauge_with_labels(
                "refused_connections",
                "Connections that were closed for want of memory since the start.",
                &["from"],
            ),
            refused_bodies: registry.gauge_with_labels(
                "refused_bodies",
                "Bodies that were given up for want of memory since the start.",
                &["from"],
            ),
            config_version: registry
                .gauge("config_version", "Version of the configuration in force."),
            is_leader: registry.gauge("leads", "1 while this instance is the leader."),
            active_requests: registry.gauge("requests_in_progress", "Requests in progress."),
            instances: registry.gauge("instances", "Instances that the leader hears of."),
            view_ages: registry.gauge_with_labels(
                "view_age_seconds",
                "Time since a view was confirmed last.",
                &["view"],
            ),
            organisations: registry.gauge_with_labels(
                "organisation_requests",
                "Requests of the largest organisations, and of all others together, since the start.",
                &["organisation", "end"],
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Returns the names of all metrics.
    pub fn names(&self) -> &[String] {
        self.registry.names()
    }

    /// Counts a response to a caller and its duration since the head of the request.
    pub fn count_response(&self, route: &Route, outcome: &RequestOutcome, duration: Duration) {
        let priority = route.priority.to_string();
        let kind = match route.idempotent {
            true => "repeatable",
            false => "once",
        };
        let reason = outcome.reason().map_or("", |it| it.as_str());
        let verdict = outcome.verdict().as_str();
        self.responses
            .with_label_values(&[priority.as_str(), kind, verdict, reason])
            .inc();
        self.response_times
            .with_label_values(&[priority.as_str(), verdict])
            .observe(duration.as_secs_f64());
    }

    /// Counts an invalid request.
    pub fn count_bad_request(&self, bad: &BadRequest) {
        self.bad_requests
            .with_label_values(&[bad.status().as_str()])
            .inc();
    }

    /// Counts an attempt to send a request to a target.
    pub fn count_attempt(&self, service: &str, outcome: &ExchangeOutcome) {
        let end = match outcome {
            ExchangeOutcome::Completed(response) if response.status.is_server_error() => "error",
            ExchangeOutcome::Completed(_) => "answer",
            ExchangeOutcome::NotExecuted(..) => "refused",
            ExchangeOutcome::Unsent(_) | ExchangeOutcome::NotRelayed(_) => "unsent",
            ExchangeOutcome::Broken(_) => "broken",
            ExchangeOutcome::TimedOut => "late",
        };
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a retry that was requested, and whether the retry budget allowed it.
    pub fn count_retry(&self, service: &str, allowed: bool) {
        let end = if allowed { "sent" } else { "refused" };
        self.retries.with_label_values(&[service, end]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, operation: &str, ok: bool) {
        let end = if ok { "ok" } else { "failed" };
        self.store_calls.with_label_values(&[operation, end]).inc();
    }

    /// Counts a command to a target.
    pub fn count_command(&self, command: &Command, outcome: &CommandOutcome) {
        let kind = match command {
            Command::Grant { .. } => "grant",
            Command::Release { .. } => "release",
        };
        let end = match outcome {
            CommandOutcome::Accepted | CommandOutcome::Released(_) => "done",
            CommandOutcome::StaleFence => "outdated",
            CommandOutcome::Unsent => "unsent",
            CommandOutcome::TargetEnded => "ended",
            CommandOutcome::Unknown => "unknown",
        };
        self.commands.with_label_values(&[kind, end]).inc();
    }

    /// Counts a datagram that could not be sent or read.
    pub fn count_bad_datagram(&self) {
        self.bad_datagrams.inc();
    }

    /// Counts a message of another instance that cannot be read, by its first byte.
    pub fn count_unreadable(&self, format: u8) {
        self.unreadable_messages
            .with_label_values(&[format!("{format:02x}")])
            .inc();
    }

    /// Counts a coordinator that did not reply to requests for a permit.
    pub fn count_permit_timeout(&self) {
        self.permit_timeouts.inc();
    }

    /// Counts a request to a target that has named a limit, and whether it was sent with a permit.
    pub fn count_limited_send(&self, has_permit: bool) {
        let permit = if has_permit { "yes" } else { "no" };
        self.limited_sends.with_label_values(&[permit]).inc();
    }

    /// Counts a request that ran at a target when it ended.
    pub fn count_target_end(&self, service: &str) {
        self.target_ends.with_label_values(&[service]).inc();
    }

    /// Counts a request that another instance was asked to pass on, and whether it did.
    pub fn count_relayed(&self, is_passed_on: bool) {
        let end = if is_passed_on { "sent" } else { "unsent" };
        self.relayed.with_label_values(&[end]).inc();
    }

    /// Sets the number of targets that report themselves and of unreadable reports.
    pub fn set_target_reports(&self, targets: usize, unreadable: usize) {
        self.targets.set(targets as i64);
        self.unreadable_reports.set(unreadable as i64);
    }

    /// Updates the gauges from the context and returns all metrics in the Prometheus text format.
    pub fn render(&self, context: &Context) -> Vec<u8> {
        let version = context.config.borrow().as_ref().map_or(0, |it| it.version);
        self.config_version.set(version as i64);
        self.is_leader.set(i64::from(context.is_leader()));
        self.active_requests
            .set(i64::from(context.active_requests.get()));
        self.message_format.set(i64::from(context.formats.spoken()));
        self.instances.set(i64::from(context.instance_count.get()));
        self.avoided_targets
            .set(coordinator::avoided_targets(context) as i64);
        self.leaving_centres
            .set(coordinator::leaving_centres(context) as i64);
        self.set_view_ages(ViewAges::from(context));
        self.set_organisations(&context.organisations);
        self.set_memory(&context.memory_budget);
        self.registry.render()
    }

    /// Sets the memory of messages and the number of those for which there was none.
    fn set_memory(&self, budget: &MemoryBudget) {
        let bytes = [
            ("held", budget.held()),
            ("peak", budget.peak()),
            ("limit", budget.limit()),
        ];
        for (what, bytes) in bytes {
            self.body_bytes.with_label_values(&[what]).set(bytes as f64);
        }
        for kind in ConnectionKind::ALL {
            let counts = [
                (&self.refused_bodies, budget.refused_bodies(kind)),
                (&self.refused_connections, budget.refused_connections(kind)),
            ];
            for (gauge, count) in counts {
                let gauge = gauge.with_label_values(&[kind.as_str()]);
                gauge.set(count as f64);
            }
        }
    }

    /// Sets the requests of the largest organisations; smaller ones that were larger before are dropped.
    fn set_organisations(&self, organisations: &Organisations) {
        let (largest, others) = organisations.largest();
        self.organisations.reset();
        let others = (Name::from(""), others);
        for (name, counts) in largest.into_iter().chain([others]) {
            let ends = [("admitted", counts.admitted), ("refused", counts.refused)];
            for (end, count) in ends {
                let gauge = self.organisations.with_label_values(&[&*name, end]);
                gauge.set(count as f64);
            }
        }
    }

    /// Sets the ages of the data (views) that this instance has read or received.
    fn set_view_ages(&self, ages: ViewAges) {
        let views = [
            ("configuration", ages.config_ms),
            ("targets", ages.targets_ms),
            ("owners", ages.owners_ms),
        ];
        for (view, age) in views {
            if let Some(age) = age {
                let seconds = Duration::from_millis(age).as_secs_f64();
                self.view_ages.with_label_values(&[view]).set(seconds);
            }
        }
    }
}
