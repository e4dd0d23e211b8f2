//! What an instance may send to targets, as the member machine tells the holding duty.

use {
    crate::names::{Fence, Name, Version},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Everything that this instance holds; replaces what earlier duties said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duties {
    /// Number of these duties; it only grows within one run of the instance.
    pub seq: u64,
    /// Version of the assignment that they follow from.
    pub version: Version,
    /// Targets that this instance may send to.
    pub held: BTreeMap<Name, Duty>,
}

/// What this instance may send to one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    /// Ranges to grant to the target; empty for undivided services.
    pub ranges: Vec<Granted>,
    /// Whether another instance held the target before, so that requests of it may still run there.
    pub taken_over: bool,
}

/// A range of hashes that a target owns under a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Service that the range belongs to.
    pub service: Name,
    /// First hash.
    pub start: u64,
    /// Last hash.
    pub end: u64,
    /// Fence of the owner.
    pub fence: Fence,
}

/// Time until which this instance may send; `None` without a lease.
pub type LeaseEnd = Option<Instant>;

/// What the holding duty tells the member machine.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReport {
    /// Nothing that these duties do not allow is in flight or granted any more.
    Settled {
        /// Number of the duties.
        seq: u64,
    },
    /// The target has not answered grants, probes or requests for longer than the bound.
    Silent {
        /// Target that is silent.
        target: Name,
    },
    /// The state of the held targets, sent at every heartbeat.
    Loads(BTreeMap<Name, Load>),
}

/// State of a target as its holder sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests at the target.
    pub in_flight: u32,
    /// Requests that wait for a slot; those of a pool are shared out among its targets.
    pub queued: u32,
    /// Requests that the holder lets the target run at the same time now.
    pub limit: u32,
    /// Smoothed time of an answer.
    pub latency: Duration,
    /// Requests answered since the target was taken on.
    pub served: u64,
    /// Whether the target has said that it is leaving.
    pub leaving: bool,
    /// Most frequent key hashes with their share of the target's requests, in thousandths.
    pub hottest: Vec<(u64, u32)>,
}
