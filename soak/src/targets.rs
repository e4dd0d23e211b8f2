//! The targets of a run, each behind a proxy; faults crash, drain and restart them.

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

/// Time that a target takes for a request.
const PROCESSING_TIME: Duration = Duration::from_millis(30);
/// Rates of the clocks by which targets measure grant TTLs; 1 is exact.
const CLOCK_RATES: [f64; 3] = [1.0, 0.98, 1.01];
/// Time for which a restarted target is cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// Interval at which a cold target publishes its report.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Data centres of targets.
pub const DATA_CENTRES: [&str; 3] = ["west", "east", "north"];

/// A target and the proxy in front of it.
#[derive(Debug)]
pub struct ProxiedTarget {
    /// Target ID.
    pub id: String,
    /// Proxy through which instances reach the target.
    pub proxy: Proxy,
    options: TargetOptions,
    target: Option<FakeTarget>,
    started_at: Instant,
}

impl ProxiedTarget {
    /// Starts a target of a service; it is warm at its first start.
    ///
    /// # Errors
    /// Fails if a port is in use.
    pub async fn start(
        number: usize,
        service: &str,
        store: &FakeStore,
        observer: &Arc<TargetObserver>,
    ) -> Result<Self> {
        let proxy = Proxy::start(None).await?;
        let id = format!("{service}-{number}");
        let options = TargetOptions {
            id: id.clone(),
            service: service.into(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
            sharded: service == "boards",
            processing_time: PROCESSING_TIME,
            advertised_address: Some(proxy.address),
            clock_rate: CLOCK_RATES[number % CLOCK_RATES.len()],
            observer: Some(observer.clone()),
            ..TargetOptions::default()
        };
        let mut proxied = Self {
            id,
            proxy,
            options,
            target: None,
            started_at: Instant::now(),
        };
        proxied.restore(store).await;
        // Only later starts are cold.
        proxied.options.cold_time = COLD_TIME;
        Ok(proxied)
    }

    /// Restores the proxy and the target's normal mode, and starts the target if it is not running.
    pub async fn restore(&mut self, store: &FakeStore) {
        self.proxy.change_mode(ProxyMode::Forward);
        if self.target.is_none() {
            self.options.incarnation += 1;
            let target = FakeTarget::start(self.options.clone()).await;
            self.proxy.set_upstream(Some(target.address()));
            self.target = Some(target);
            self.started_at = Instant::now();
        }
        if let Some(target) = &self.target {
            target.set_mode(TargetMode::Normal);
            target.publish_report(store, "ready");
        }
    }

    /// Publishes the remaining cold time again, as targets do at intervals. It goes on for two more
    /// intervals, so that the store gets a report without cold time; then it does nothing.
    pub fn report_if_cold(&self, store: &FakeStore) {
        let is_cold = self.started_at.elapsed() < self.options.cold_time + 2 * REPORT_INTERVAL;
        if let Some(target) = self.target.as_ref().filter(|_| is_cold) {
            target.publish_report(store, "ready");
        }
    }

    /// Stops the target at once; its report stays in the store.
    pub fn crash(&mut self) {
        self.proxy.set_upstream(None);
        self.proxy.change_mode(ProxyMode::Reset);
        self.target = None;
    }

    /// Removes the target's report from the store.
    pub fn remove_report(&self, store: &FakeStore) {
        store.remove("servers", &self.id);
    }

    /// Publishes that the target is draining.
    pub fn report_draining(&self, store: &FakeStore) {
        if let Some(target) = &self.target {
            target.publish_report(store, "draining");
        }
    }

    /// Sets the mode of the target, if it is running.
    pub fn set_mode(&self, mode: TargetMode) {
        if let Some(target) = &self.target {
            target.set_mode(mode);
        }
    }
}
