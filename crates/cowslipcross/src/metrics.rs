//! Metrics of an instance for prometheus.

mod build;
mod route;

use {
    arc_swap::ArcSwap,
    build::{counter, counters, gauge, gauges, histograms},
    cowslip_decide::{
        duty::Load,
        names::{Name, Version},
        verdict::{Reason, Verdict},
    },
    prometheus::{
        Encoder, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
        TextEncoder,
    },
    route::{Families, RouteMetrics},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Handles of a service's routes by the name of the route.
type Routes = BTreeMap<Name, Arc<RouteMetrics>>;

/// Metrics of an instance; clones share their values.
///
/// Routes are resolved once, so that a request costs two look-ups by name and some additions.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    families: Families,
    routes: Arc<ArcSwap<BTreeMap<Name, Routes>>>,
    hedges: IntCounter,
    retries: IntCounter,
    sheds: IntCounterVec,
    bad_requests: IntCounterVec,
    target: TargetGauges,
    known: Arc<Mutex<BTreeSet<Name>>>,
    lease: IntGauge,
    versions: IntGaugeVec,
    ring_items: IntGaugeVec,
    connections: IntGauge,
    in_progress: IntGauge,
    calls: HistogramVec,
    call_ends: IntCounterVec,
}

/// Gauges with one value a target.
#[derive(Clone, Debug)]
struct TargetGauges {
    in_flight: IntGaugeVec,
    queued: IntGaugeVec,
    limit: IntGaugeVec,
    leaving: IntGaugeVec,
    latency: IntGaugeVec,
}

impl Metrics {
    /// Counts the end of a caller's request and the time since its arrival.
    pub fn answered(
        &self,
        service: &Name,
        route: &Name,
        verdict: Verdict,
        reason: Option<Reason>,
        elapsed: Duration,
    ) {
        self.route(service, route)
            .answered(verdict, reason, elapsed);
    }

    /// Counts a request that was not valid, by the status of its answer.
    pub fn bad_request(&self, status: u16) {
        self.bad_requests
            .with_label_values(&[&status.to_string()])
            .inc();
    }

    /// Counts a hedged request.
    pub fn hedged(&self) {
        self.hedges.inc();
    }

    /// Counts an attempt after the first one.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts a request that a target shed.
    pub fn shed(&self, target: &str) {
        self.sheds.with_label_values(&[target]).inc();
    }

    /// Sets the state of the held targets; the values of others are dropped.
    pub fn loads(&self, loads: &BTreeMap<Name, Load>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for gone in known.iter().filter(|name| !loads.contains_key(*name)) {
            self.target.remove(gone);
        }
        for (target, load) in loads {
            self.target.set(target, load);
        }
        *known = loads.keys().cloned().collect();
    }

    /// Sets what is left of the lease; `None` without one.
    pub fn lease(&self, left: Option<Duration>) {
        self.lease
            .set(left.map_or(0, |left| left.as_millis() as i64));
    }

    /// Sets the versions of the assignment and of the configuration in force.
    pub fn versions(&self, assignment: Version, config: Version) {
        self.versions
            .with_label_values(&["assignment"])
            .set(assignment.0 as i64);
        self.versions
            .with_label_values(&["configuration"])
            .set(config.0 as i64);
    }

    /// Sets the items that wait in a ring.
    pub fn ring(&self, name: &str, items: usize) {
        self.ring_items.with_label_values(&[name]).set(items as i64);
    }

    /// Sets the open connections of callers, when a new one comes.
    pub fn connections(&self, count: usize) {
        self.connections.set(count as i64);
    }

    /// Sets the requests of callers in progress.
    pub fn in_progress(&self, count: usize) {
        self.in_progress.set(count as i64);
    }

    /// Counts a call of the platform; `end` is `ok`, `refused`, `rejected`,
    /// `not-sent` or `unknown`.
    pub fn platform_call(&self, call: &str, end: &str, elapsed: Duration) {
        self.call_ends.with_label_values(&[call, end]).inc();
        self.calls
            .with_label_values(&[call])
            .observe(elapsed.as_secs_f64());
    }

    /// Returns all values in the text format of prometheus.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory cannot fail, and the names are valid.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    fn route(&self, service: &Name, route: &Name) -> Arc<RouteMetrics> {
        let routes = self.routes.load();
        if let Some(found) = routes.get(service).and_then(|routes| routes.get(route)) {
            return found.clone();
        }
        let made = Arc::new(self.families.resolve(service, route));
        self.routes.rcu(|routes| {
            let mut routes = BTreeMap::clone(routes);
            routes
                .entry(service.clone())
                .or_default()
                .insert(route.clone(), made.clone());
            routes
        });
        made
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let it = &Registry::new();
        Self {
            registry: it.clone(),
            families: Families::new(it),
            routes: Arc::default(),
            hedges: counter(it, "hedges_total", "Hedged requests."),
            retries: counter(it, "retries_total", "Attempts after the first one."),
            sheds: counters(
                it,
                "sheds_total",
                "Requests that a target shed.",
                &["target"],
            ),
            bad_requests: counters(it, "bad_requests_total", "Requests not valid.", &["status"]),
            target: TargetGauges::new(it),
            known: Arc::default(),
            lease: gauge(it, "lease_milliseconds", "What is left of the lease."),
            versions: gauges(it, "version", "Version in force.", &["of"]),
            ring_items: gauges(it, "ring_items", "Items that wait in a ring.", &["ring"]),
            connections: gauge(
                it,
                "connections",
                "Connections of callers when the last came.",
            ),
            in_progress: gauge(it, "in_progress", "Requests of callers in progress."),
            calls: histograms(it, "platform_seconds", "Time of a call.", &["call"]),
            call_ends: counters(
                it,
                "platform_calls_total",
                "Calls by end.",
                &["call", "end"],
            ),
        }
    }
}

impl TargetGauges {
    fn new(registry: &Registry) -> Self {
        let make = |name: &str, help: &str| gauges(registry, name, help, &["target"]);
        Self {
            in_flight: make("target_in_flight", "Requests at a held target."),
            queued: make(
                "target_queued",
                "Requests that wait for a slot of a held target.",
            ),
            limit: make(
                "target_limit",
                "Requests that a held target may get at once now.",
            ),
            leaving: make("target_leaving", "Whether a held target is leaving."),
            latency: make("target_latency_microseconds", "Smoothed time of an answer."),
        }
    }

    fn set(&self, target: &str, load: &Load) {
        let name = &[target];
        self.in_flight
            .with_label_values(name)
            .set(load.in_flight.into());
        self.queued.with_label_values(name).set(load.queued.into());
        self.limit.with_label_values(name).set(load.limit.into());
        self.leaving
            .with_label_values(name)
            .set(load.leaving.into());
        self.latency
            .with_label_values(name)
            .set(load.latency.as_micros() as i64);
    }

    fn remove(&self, target: &str) {
        let all = [
            &self.in_flight,
            &self.queued,
            &self.limit,
            &self.leaving,
            &self.latency,
        ];
        for gauges in all {
            // A target that was never set has nothing to remove.
            let _ = gauges.remove_label_values(&[target]);
        }
    }
}
