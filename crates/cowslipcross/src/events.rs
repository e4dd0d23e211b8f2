//! Numbered events of this process, in a bounded ring and in the log.

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

/// Number of a kind of event; `docs/EVENTS.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventCode(pub u16);

/// What an event is about.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    /// Request or attempt.
    pub request: Option<Name>,
    /// Key.
    pub key: Option<Name>,
    /// Target.
    pub target: Option<Name>,
    /// Instance.
    pub instance: Option<Name>,
    /// Anything else, in words.
    pub detail: Option<String>,
}

/// The process that events come from.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Name of the instance.
    pub process: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Run of the instance.
    pub incarnation: Incarnation,
}

/// Handle that records events; clones share one bounded ring and one clock.
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
    /// Returns a handle to an empty ring of `capacity` events; without a logger nothing is logged.
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

    /// Records an event; beyond the rate of its kind it is only counted.
    pub fn record(&self, code: EventCode, about: EventFields) {
        let kind = catalogue::find_kind(code);
        let Some(event) = self.append(kind, about) else {
            return;
        };
        if let Some(logger) = &self.shared.logger {
            let line = event.json();
            spdlog::log!(logger: logger, kind.level.into(), "{line}");
        }
    }

    /// Returns a stamp that is later than every stamp before; it goes out with peer messages.
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.state().clock.advance()
    }

    /// Moves the clock past the stamp of a message that came in.
    pub fn observe_timestamp(&self, stamp: HybridTimestamp) {
        self.state().clock.observe_timestamp(stamp);
    }

    /// Returns the kept events with a number above `after`, the oldest first.
    pub fn events_after(&self, after: u64) -> EventPage {
        self.state().ring.page(after)
    }

    fn append(&self, kind: &EventKind, about: EventFields) -> Option<Event> {
        let mut state = self.state();
        let stamp = state.clock.advance();
        if !state.ring.admit(kind, stamp) {
            return None;
        }
        let event = Event::new(&self.shared.origin, stamp, kind, about);
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
