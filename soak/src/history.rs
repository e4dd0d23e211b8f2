//! What happened in a run: what callers sent and got, and what was done to the deployment.

use {
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::time::Instant,
};

/// RequestKind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Repeatable, to a service that configurations change.
    Lookup,
    /// Not repeatable, to the divided service.
    Removal,
    /// Not repeatable, to the undivided service.
    Booking,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer: its status, and whether its body is that of the request.
    Response(u16, bool),
    /// The connection ended without a whole answer.
    ConnectionClosed,
    /// The caller gave up.
    TimedOut,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id.
    pub id: String,
    /// RequestKind.
    pub kind: RequestKind,
    /// Instance that it was sent to.
    pub instance: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// What an event is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The store, or the way to it, is harmed.
    StoreFault,
    /// A target, or the way to it, is harmed.
    TargetFault(String),
    /// A target starts anew and is cold.
    ColdStart(String),
    /// An instance is paused.
    InstancePause(String),
    /// An instance is killed, until it serves again.
    InstanceKill(String),
    /// An instance is stopped in order, until it serves again.
    InstanceStop(String),
    /// A target reports that it leaves.
    TargetDrain(String),
    /// A data centre is withdrawn.
    Withdrawal(String),
    /// A configuration sends lookups to this service.
    LookupService(String),
}

/// Something that was done, from one moment to another.
#[derive(Clone, Debug)]
pub struct Event {
    /// What it is about.
    pub kind: EventKind,
    /// When it began.
    pub started_at: Instant,
    /// When it ended; `None` while it lasts.
    pub ended_at: Option<Instant>,
}

/// History of a run; clones share it.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<HistoryData>>);

/// Everything that a history has.
#[derive(Clone, Debug, Default)]
pub struct HistoryData {
    /// Requests of callers.
    pub requests: Vec<RequestRecord>,
    /// What was done.
    pub events: Vec<Event>,
}

impl History {
    /// Takes a request that has ended.
    pub fn add_request(&self, request: RequestRecord) {
        self.record().requests.push(request);
    }

    /// Notes that something begins; returns its place.
    pub fn begin_event(&self, kind: EventKind) -> usize {
        let mut record = self.record();
        record.events.push(Event {
            kind,
            started_at: Instant::now(),
            ended_at: None,
        });
        record.events.len() - 1
    }

    /// Notes the end of what began.
    pub fn end_event(&self, place: usize) {
        if let Some(event) = self.record().events.get_mut(place) {
            event.ended_at = Some(Instant::now());
        }
    }

    /// Returns everything so far.
    pub fn snapshot(&self) -> HistoryData {
        self.record().clone()
    }

    fn record(&self) -> MutexGuard<'_, HistoryData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
