//! Publishes the state of this instance for operators.

use {
    super::driver::Driver,
    crate::operators::status::Status,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Period in which the state is published.
const PERIOD: Duration = Duration::from_millis(200);

impl Driver {
    /// Publishes the state when it is time to.
    pub(super) fn publish(&mut self, now: Instant) {
        if now < self.published + PERIOD {
            return;
        }
        self.published = now;
        let lease = *self.context.lease.load_full();
        let left = lease.map(|end| end.saturating_duration_since(now));
        let metrics = &self.context.metrics;
        metrics.lease(left);
        metrics.versions(self.member.version(), self.config_version());
        metrics.loads(&self.own_loads);
        self.context.status.store(Arc::new(self.status(left)));
    }

    fn status(&self, left: Option<Duration>) -> Status {
        let config = self.context.config.load();
        let mut status = Status {
            name: self.context.name.clone(),
            data_centre: self.context.settings.data_centre.clone(),
            incarnation: self.context.incarnation,
            stopping: self.context.stopping.load(Ordering::Relaxed),
            config: self.config_version(),
            withdrawn: config
                .as_ref()
                .map(|it| it.document.withdrawn.clone())
                .unwrap_or_default(),
            lease_ms: left.map(|left| left.as_millis() as u64),
            planner: self.planner.known(),
            loads: self
                .own_loads
                .iter()
                .map(|(name, load)| (name.clone(), load.into()))
                .collect(),
            ..Status::default()
        };
        if let Some(view) = self.context.view.load().as_ref() {
            status.assigned(&view.assignment, self.member.lost());
        }
        status
    }
}
