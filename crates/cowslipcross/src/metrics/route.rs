//! Metrics of the requests of one route.

use {
    super::build::{counters, histograms},
    cowslip_decide::verdict::{Reason, Verdict},
    prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, Registry},
    std::time::Duration,
};

/// Metrics of all routes.
#[derive(Clone, Debug)]
pub(super) struct Families {
    answers: IntCounterVec,
    refusals: IntCounterVec,
    seconds: HistogramVec,
}

/// Metrics of one route.
#[derive(Debug)]
pub(super) struct RouteMetrics {
    labels: [String; 2],
    ran: IntCounter,
    not_run: IntCounter,
    may_have_run: IntCounter,
    seconds: Histogram,
    refusals: IntCounterVec,
}

impl Families {
    pub fn new(registry: &Registry) -> Self {
        let route = ["service", "route"];
        let verdict = ["service", "route", "verdict"];
        let reason = ["service", "route", "verdict", "reason"];
        let refused = "Requests of callers that were refused or given up.";
        Self {
            answers: counters(registry, "answers_total", "Requests by verdict.", &verdict),
            refusals: counters(registry, "refusals_total", refused, &reason),
            seconds: histograms(registry, "answer_seconds", "Time to an answer.", &route),
        }
    }

    pub fn resolve(&self, service: &str, route: &str) -> RouteMetrics {
        let answers = |verdict: Verdict| {
            self.answers
                .with_label_values(&[service, route, verdict.as_str()])
        };
        RouteMetrics {
            labels: [service.to_owned(), route.to_owned()],
            ran: answers(Verdict::Ran),
            not_run: answers(Verdict::NotRun),
            may_have_run: answers(Verdict::MayHaveRun),
            seconds: self.seconds.with_label_values(&[service, route]),
            refusals: self.refusals.clone(),
        }
    }
}

impl RouteMetrics {
    pub fn answered(&self, verdict: Verdict, reason: Option<Reason>, elapsed: Duration) {
        match verdict {
            Verdict::Ran => self.ran.inc(),
            Verdict::NotRun => self.not_run.inc(),
            Verdict::MayHaveRun => self.may_have_run.inc(),
        }
        self.seconds.observe(elapsed.as_secs_f64());
        let Some(reason) = reason else {
            return;
        };
        let [service, route] = &self.labels;
        let labels = [service, route, verdict.as_str(), reason.as_str()];
        self.refusals.with_label_values(&labels).inc();
    }
}
