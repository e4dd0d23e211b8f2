//! Bound on the memory that the bodies of messages take in the whole process, whoever has sent them.
//!
//! What is counted is the memory that is held, not the bytes that have arrived. A part of the budget is left to
//! small bodies, so that a few large ones cannot keep everything else out.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

/// Largest body that may use the whole budget, in bytes: 64 KiB.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the budget that larger bodies of callers may use together with all others; less than
/// [`LARGE_BODY_RATIO`], so that there is room for the responses to requests that were let in.
const LARGE_REQUEST_RATIO: f64 = 0.5;
/// Part of the budget that other large bodies may use together with all others.
const LARGE_BODY_RATIO: f64 = 0.75;

/// Kind of the connection on which a body arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionKind {
    /// Request of a caller.
    Caller,
    /// Response of a target to a request.
    Target,
    /// Response of a target to a command.
    Command,
    /// Response of the store.
    Store,
    /// Message of another instance.
    Instance,
}

/// Memory for bodies, in use and in all.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    refused: [AtomicU64; ConnectionKind::ALL.len()],
}

/// Memory that one body holds; given back on drop.
#[derive(Debug)]
pub struct MemoryRoom {
    budget: Arc<MemoryBudget>,
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
            refused: Default::default(),
        })
    }

    /// Returns the room of a body that holds nothing yet.
    pub fn open_room(self: &Arc<Self>, kind: ConnectionKind) -> MemoryRoom {
        MemoryRoom {
            budget: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Returns the bytes that all bodies may hold.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that all bodies hold now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that all bodies have held at a time.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies of a kind that were given up for want of room.
    pub fn refused(&self, kind: ConnectionKind) -> u64 {
        self.refused[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how much all bodies together may hold for one of this kind to have this size.
    fn allowance(&self, kind: ConnectionKind, bytes: usize) -> usize {
        let ratio = match kind {
            _ if bytes <= SMALL_BODY_BYTES => 1.0,
            ConnectionKind::Caller => LARGE_REQUEST_RATIO,
            _ => LARGE_BODY_RATIO,
        };
        (self.limit as f64 * ratio) as usize
    }
}

impl MemoryRoom {
    /// Grows to so many bytes; returns `false`, and counts the body as refused, if there is no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let allowance = self.budget.allowance(self.kind, bytes);
        let resized = |held: usize| {
            let total = held - self.bytes + bytes;
            (total <= allowance).then_some(total)
        };
        let held = &self.budget.held;
        let Ok(previous) = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resized) else {
            self.budget.refused[self.kind as usize].fetch_add(1, Ordering::Relaxed);
            return false;
        };
        let total = previous - self.bytes + bytes;
        self.budget.peak.fetch_max(total, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryRoom {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
