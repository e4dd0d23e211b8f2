//! Numbered events of this process, kept in a ring buffer and written to the log.

pub mod catalogue;
pub mod hybrid_clock;
pub mod logger;
mod ring;

pub use {
    catalogue::*,
    hybrid_clock::HybridTimestamp,
    ring::{Event, EventPage},
};

use {
    cowslip_decide::names::{Incarnation, Name},
    hybrid_clock::HybridClock,
    ring::Ring,
    spdlog::Logger,
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Number of a kind of event; `docs/EVENTS.md` lists all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventCode(pub u16);

/// Optional fields of an event.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    /// Request id.
    pub request: Option<Name>,
    /// Key or range of keys.
    pub key: Option<Name>,
    /// Target id.
    pub target: Option<Name>,
    /// Name of an instance.
    pub instance: Option<Name>,
    /// Further details as text.
    pub detail: Option<String>,
}

/// Longest detail of an event, in bytes; a longer one is cut, as it may quote what a peer has sent.
const MAX_DETAIL_BYTES: usize = 600;
/// Longest name in a field of an event, in bytes.
const MAX_NAME_BYTES: usize = 200;

impl EventFields {
    /// Cuts texts that are too long, so that the log and the kept events are bounded.
    fn shortened(self) -> Self {
        let name = |it: Option<Name>| it.map(|name| shorten(&name, MAX_NAME_BYTES).unwrap_or(name));
        Self {
            request: name(self.request),
            key: name(self.key),
            target: name(self.target),
            instance: name(self.instance),
            detail: self
                .detail
                .map(|it| shorten(&it, MAX_DETAIL_BYTES).unwrap_or(it)),
        }
    }
}

/// Returns the beginning of a text with its length; `None` if the text is not longer than `max_bytes`.
fn shorten<T: From<String>>(text: &str, max_bytes: usize) -> Option<T> {
    let length = text.len();
    (length > max_bytes).then(|| {
        let kept = &text[..text.floor_char_boundary(max_bytes)];
        format!("{kept}… ({length} bytes)").into()
    })
}

/// The process that records the events.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Name of the instance.
    pub process: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Records events; clones share one ring buffer and one clock.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<Shared>,
}

struct Shared {
    origin: Origin,
    logger: Option<Arc<Logger>>,
    state: Mutex<State>,
}

struct State {
    clock: HybridClock,
    ring: Ring,
}

impl EventLog {
    /// Creates a log that keeps the latest `capacity` events; without a logger it writes no lines.
    pub fn new(origin: Origin, capacity: usize, logger: Option<Arc<Logger>>) -> Self {
        let state = State {
            clock: HybridClock::default(),
            ring: Ring::new(capacity),
        };
        let shared = Shared {
            origin,
            logger,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records an event, or only counts it if its kind exceeds its rate.
    pub fn record(&self, code: EventCode, fields: EventFields) {
        let kind = catalogue::find_kind(code);
        let Some(event) = self.append(kind, fields) else {
            return;
        };
        if let Some(logger) = &self.shared.logger {
            let line = event.to_json();
            spdlog::log!(logger: logger, kind.level.into(), "{line}");
        }
    }

    /// Returns a timestamp later than all earlier ones, to be sent with a message to an instance.
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.state().clock.advance()
    }

    /// Moves the clock to the timestamp of a received message, so that later ones are above it.
    pub fn observe_timestamp(&self, timestamp: HybridTimestamp) {
        self.state().clock.observe_timestamp(timestamp);
    }

    /// Returns the kept events with a sequence number above `after`, oldest first.
    pub fn events_after(&self, after: u64) -> EventPage {
        self.state().ring.page(after)
    }

    fn append(&self, kind: &EventKind, fields: EventFields) -> Option<Event> {
        let mut state = self.state();
        let timestamp = state.clock.advance();
        if !state.ring.admit(kind, timestamp) {
            return None;
        }
        let event = Event::new(&self.shared.origin, timestamp, kind, fields);
        Some(state.ring.push(event))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for EventLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let origin = &self.shared.origin;
        f.debug_struct("EventLog")
            .field("origin", origin)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CC{:04}", self.0)
    }
}
