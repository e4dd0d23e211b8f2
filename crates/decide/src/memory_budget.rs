//! Bound on the memory that messages take in the whole process, whoever sends them: bodies, the read buffers of
//! connections, and the state of requests in progress.
//!
//! What is counted is the memory that is held, not the bytes that have arrived. A part of the budget is left to
//! small bodies, so that neither a few large ones nor the connections of callers can keep everything else out.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

/// Largest body that may use the whole budget, in bytes: 64 KiB.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the budget that larger bodies of callers may use together with all else; less than
/// [`LARGE_BODY_RATIO`], so that there is room for the responses to requests that were let in.
const LARGE_REQUEST_RATIO: f64 = 0.5;
/// Part of the budget that other large bodies may use together with all else.
const LARGE_BODY_RATIO: f64 = 0.75;
/// Part of the budget that connections of callers may use together with all else.
const CALLER_CONNECTION_RATIO: f64 = 0.75;

/// Kind of a connection, by its peer and what is sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionKind {
    /// Requests of a caller.
    Caller,
    /// Responses of a target to requests.
    Target,
    /// Responses of a target to commands.
    Command,
    /// Responses of the store.
    Store,
    /// Messages of another instance.
    Instance,
}

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Body,
    Connection,
}

/// Memory for messages, in use and in all.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    refused_bodies: RefusalCounts,
    refused_connections: RefusalCounts,
}

/// Numbers of refusals, by the kind of the connection.
type RefusalCounts = [AtomicU64; ConnectionKind::ALL.len()];

/// Memory that one body, request or connection holds; given back on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    purpose: Purpose,
    kind: ConnectionKind,
    bytes: usize,
}

impl ConnectionKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Caller,
        Self::Target,
        Self::Command,
        Self::Store,
        Self::Instance,
    ];

    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Target => "target",
            Self::Command => "command",
            Self::Store => "store",
            Self::Instance => "instance",
        }
    }
}

impl MemoryBudget {
    /// Creates a budget of so many bytes, all of which are free.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            refused_bodies: Default::default(),
            refused_connections: Default::default(),
        })
    }

    /// Returns a reservation of nothing yet for a body or a request in progress.
    pub fn body_reservation(self: &Arc<Self>, kind: ConnectionKind) -> MemoryReservation {
        self.reservation_for(Purpose::Body, kind)
    }

    /// Returns a reservation of nothing yet for a connection.
    pub fn connection_reservation(self: &Arc<Self>, kind: ConnectionKind) -> MemoryReservation {
        self.reservation_for(Purpose::Connection, kind)
    }

    fn reservation_for(
        self: &Arc<Self>,
        purpose: Purpose,
        kind: ConnectionKind,
    ) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            purpose,
            kind,
            bytes: 0,
        }
    }

    /// Returns the bytes that may be held in all.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that are held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that were held at a time.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies and requests of a kind that were given up for want of memory.
    pub fn refused_bodies(&self, kind: ConnectionKind) -> u64 {
        self.refused_bodies[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of connections of a kind that were closed for want of memory.
    pub fn refused_connections(&self, kind: ConnectionKind) -> u64 {
        self.refused_connections[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how much may be held in all for one body or connection to hold so many bytes.
    fn allowance(&self, purpose: Purpose, kind: ConnectionKind, bytes: usize) -> usize {
        let ratio = match (purpose, kind) {
            (Purpose::Connection, ConnectionKind::Caller) => CALLER_CONNECTION_RATIO,
            (Purpose::Connection, _) => 1.0,
            (Purpose::Body, _) if bytes <= SMALL_BODY_BYTES => 1.0,
            (Purpose::Body, ConnectionKind::Caller) => LARGE_REQUEST_RATIO,
            (Purpose::Body, _) => LARGE_BODY_RATIO,
        };
        (self.limit as f64 * ratio) as usize
    }

    fn count_refusal(&self, purpose: Purpose, kind: ConnectionKind) {
        let counts = match purpose {
            Purpose::Body => &self.refused_bodies,
            Purpose::Connection => &self.refused_connections,
        };
        counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl MemoryReservation {
    /// Returns the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the reservation with so many bytes; `None` if there is no room for them.
    pub fn sized(mut self, bytes: usize) -> Option<Self> {
        self.resize(bytes).then_some(self)
    }

    /// Changes to so many bytes; returns `false`, and counts a refusal, if there is no room for them. Less than
    /// before always fits.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let allowance = match bytes > self.bytes {
            true => self.budget.allowance(self.purpose, self.kind, bytes),
            false => usize::MAX,
        };
        let resized = |held: usize| {
            let total = held - self.bytes + bytes;
            (total <= allowance).then_some(total)
        };
        let held = &self.budget.held;
        let Ok(previous) = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resized) else {
            self.budget.count_refusal(self.purpose, self.kind);
            return false;
        };
        let total = previous - self.bytes + bytes;
        self.budget.peak.fetch_max(total, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
