//! What all duties of the process share.

use {
    crate::{
        config::Config,
        events::{self, About, Events},
        metrics::Metrics,
        operators::status::Status,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    cowslip_decide::{
        duty::LeaseEnd,
        member::View,
        names::{Incarnation, Name},
    },
    cowslip_settings::process::Process,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize},
    },
    tokio::sync::watch,
};

/// Names, settings and the state that one duty publishes for the others.
#[derive(Debug)]
pub struct Context {
    /// Name of this instance.
    pub name: Name,
    /// This run of the instance.
    pub incarnation: Incarnation,
    /// Settings of the process.
    pub settings: Process,
    /// Events of the process.
    pub events: Events,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Configuration in force; `None` until one is known.
    pub config: ArcSwapOption<Config>,
    /// Owners and holders in force.
    pub view: ArcSwapOption<View>,
    /// Changes whenever a new view is published.
    pub changed: watch::Sender<u64>,
    /// End of this instance's lease.
    pub lease: ArcSwap<LeaseEnd>,
    /// State that the operators' port shows.
    pub status: Arc<ArcSwap<Status>>,
    /// Whether the instance is about to stop: its targets pass to other holders.
    pub stopping: AtomicBool,
    /// Attempts of peers that have not had their end.
    pub forwarded: AtomicUsize,
}

impl Context {
    /// Returns the context of a process that has just started.
    pub fn new(settings: Process, incarnation: Incarnation, events: Events) -> Self {
        Self {
            name: settings.name.clone(),
            incarnation,
            settings,
            events,
            metrics: Metrics::default(),
            config: ArcSwapOption::empty(),
            view: ArcSwapOption::empty(),
            changed: watch::Sender::new(0),
            lease: ArcSwap::from_pointee(None),
            status: Arc::default(),
            stopping: AtomicBool::new(false),
            forwarded: AtomicUsize::new(0),
        }
    }

    /// Notes that a duty cannot run; the process goes on and its health check fails.
    pub fn fail(&self, duty: &str, error: &dyn std::error::Error) {
        let detail = Some(format!("duty {duty:?}: {error}"));
        self.events.note(
            events::DUTY_FAILED,
            About {
                detail,
                ..About::default()
            },
        );
    }

    /// Publishes a view and wakes those that wait for one.
    pub fn publish(&self, view: View) {
        self.view.store(Some(Arc::new(view)));
        self.changed.send_modify(|count| *count += 1);
    }
}
