//! History of a run: the requests of the callers, and the events of the deployment.

use {
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::time::Instant,
};

/// Kind of a request: its service, and whether it is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent, to the service that the configuration names.
    Lookup,
    /// Not idempotent, to the sharded service.
    Removal,
    /// Not idempotent, to the service that is not sharded.
    Booking,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status of the response, and whether its body equals that of the request.
    Response(u16, bool),
    /// The connection closed before a complete response.
    ConnectionClosed,
    /// No response by the time limit after the deadline.
    TimedOut,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request ID.
    pub id: String,
    /// Kind.
    pub kind: RequestKind,
    /// Name of the instance that received the request.
    pub instance: String,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Time of the response or failure.
    pub ended_at: Instant,
    /// Outcome.
    pub outcome: Outcome,
}

/// Kind of an event: a fault, or a change of the deployment that checks depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A fault of the store or of the connections to it.
    StoreFault,
    /// A fault of the target with this ID or of the connections to it.
    TargetFault(String),
    /// A cold start of the target with this ID.
    ColdStart(String),
    /// The instance with this name is paused.
    InstancePause(String),
    /// The instance with this name is killed; ends with its restart.
    InstanceKill(String),
    /// The instance with this name is shut down gracefully; ends with its restart.
    InstanceStop(String),
    /// The target with this ID reports that it is draining.
    TargetDrain(String),
    /// The data centre with this name is withdrawn.
    Withdrawal(String),
    /// The configuration sends lookups to the service with this name.
    LookupService(String),
}

/// An event with its duration.
#[derive(Clone, Debug)]
pub struct Event {
    /// Kind of the event, and what it concerns.
    pub event_kind: EventKind,
    /// Time at which it began.
    pub started_at: Instant,
    /// Time at which it ended; `None` while it lasts.
    pub ended_at: Option<Instant>,
}

/// History of a run; clones share the data.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<HistoryData>>);

/// Data of a history.
#[derive(Clone, Debug, Default)]
pub struct HistoryData {
    /// Requests that have ended.
    pub requests: Vec<RequestRecord>,
    /// Events in the order of their beginning.
    pub events: Vec<Event>,
}

impl History {
    /// Adds a request that has ended.
    pub fn add_request(&self, request: RequestRecord) {
        self.lock_data().requests.push(request);
    }

    /// Records the beginning of an event; returns its index for [`History::end_event`].
    pub fn begin_event(&self, event_kind: EventKind) -> usize {
        let mut data = self.lock_data();
        data.events.push(Event {
            event_kind,
            started_at: Instant::now(),
            ended_at: None,
        });
        data.events.len() - 1
    }

    /// Records the end of the event with this index.
    pub fn end_event(&self, index: usize) {
        if let Some(event) = self.lock_data().events.get_mut(index) {
            event.ended_at = Some(Instant::now());
        }
    }

    /// Returns a copy of the data so far.
    pub fn snapshot(&self) -> HistoryData {
        self.lock_data().clone()
    }

    fn lock_data(&self) -> MutexGuard<'_, HistoryData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
