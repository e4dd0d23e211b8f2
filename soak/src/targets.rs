//! The targets of a run, each behind a proxy, which end, leave and come back.

use {
    crate::{
        Result,
        proxy::{Proxy, ProxyMode},
    },
    cowslip_adapter_standins::{
        observer::TargetObserver,
        store::FakeStore,
        target::{FakeTarget, TargetMode, TargetOptions},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(30);
/// Rates of the clocks that measure holds.
const RATES: [f64; 3] = [1.0, 0.98, 1.01];
/// Time for which a target that comes back is cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Period of the reports of a cold target.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Data centres of targets.
pub const DATA_CENTRES: [&str; 3] = ["west", "east", "north"];

/// A target and the way to it.
#[derive(Debug)]
pub struct ProxiedTarget {
    /// Id.
    pub id: String,
    /// ProxyMode to it.
    pub proxy: Proxy,
    options: TargetOptions,
    target: Option<FakeTarget>,
    since: Instant,
}

impl ProxiedTarget {
    /// Starts a target of a service.
    ///
    /// # Errors
    /// Fails if a port is taken.
    pub async fn start(
        number: usize,
        service: &str,
        store: &FakeStore,
        watch: &Arc<TargetObserver>,
    ) -> Result<Self> {
        let proxy = Proxy::start(None).await?;
        let id = format!("{service}-{number}");
        let options = TargetOptions {
            id: id.clone(),
            service: service.into(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
            sharded: service == "boards",
            processing_time: WORK,
            advertised_address: Some(proxy.address),
            clock_rate: RATES[number % RATES.len()],
            observer: Some(watch.clone()),
            ..TargetOptions::default()
        };
        let mut place = Self {
            id,
            proxy,
            options,
            target: None,
            since: Instant::now(),
        };
        place.restore(store).await;
        place.options.cold_time = COLD_TIME;
        Ok(place)
    }

    /// Starts the target anew, unless it runs.
    pub async fn restore(&mut self, store: &FakeStore) {
        self.proxy.set_mode(ProxyMode::Forward);
        if self.target.is_none() {
            self.options.incarnation += 1;
            let target = FakeTarget::start(self.options.clone()).await;
            self.proxy.set_upstream(Some(target.address()));
            self.target = Some(target);
            self.since = Instant::now();
        }
        if let Some(target) = &self.target {
            target.set_mode(TargetMode::Normal);
            target.publish_report(store, "ready");
        }
    }

    /// Reports anew for how long the target stays cold, as targets do again and again.
    pub fn report_if_cold(&self, store: &FakeStore) {
        let cold = self.since.elapsed() < self.options.cold_time + 2 * REPORT_INTERVAL;
        if let Some(target) = self.target.as_ref().filter(|_| cold) {
            target.publish_report(store, "ready");
        }
    }

    /// Ends the target at once; its report lapses later.
    pub fn crash(&mut self) {
        self.proxy.set_upstream(None);
        self.proxy.set_mode(ProxyMode::Reset);
        self.target = None;
    }

    /// Takes the target's report out of the store.
    pub fn remove_report(&self, store: &FakeStore) {
        store.remove("servers", &self.id);
    }

    /// Lets the target report that it leaves.
    pub fn report_draining(&self, store: &FakeStore) {
        if let Some(target) = &self.target {
            target.publish_report(store, "draining");
        }
    }

    /// Sets how the target answers.
    pub fn set_mode(&self, mood: TargetMode) {
        if let Some(target) = &self.target {
            target.set_mode(mood);
        }
    }
}
