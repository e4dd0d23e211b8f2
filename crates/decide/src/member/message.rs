//! Messages between members, free of their encoding.

use {
    crate::{
        assign::Losses,
        duty::Load,
        names::{Incarnation, Name, Version},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// What an instance tells every member each [`Timing::heartbeat`](super::Timing::heartbeat).
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Instance that sends it.
    pub from: Name,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Number of the heartbeat; it grows within one run of the sender.
    pub seq: u64,
    /// Version of the assignment that the sender has adopted; 0 without one.
    pub version: Version,
    /// Version of the configuration in force at the sender.
    pub config: Version,
    /// Whether the sender knows all that it may have promised in earlier runs.
    pub synced: bool,
    /// Whether the sender has a lease.
    pub leased: bool,
    /// Version below which no instance sends or has granted anything any more.
    pub floor: Version,
    /// Version below which no instance sends any more; grants may be left.
    pub quiet: Version,
    /// What the sender knows to be lost at its version.
    pub losses: Losses,
    /// Instances that the sender does not acknowledge again at its version.
    pub doubts: BTreeSet<Name>,
    /// Instances that the sender has heard nothing from for longer than its promise to them.
    pub silent: BTreeSet<Name>,
    /// What the sender has settled, if anything.
    pub settled: Option<Settled>,
    /// Silent targets whose loss the sender leaves to the planner.
    pub withheld: BTreeSet<Name>,
    /// Newest run that the sender knows of each instance.
    pub seen: BTreeMap<Name, Incarnation>,
    /// State of the targets that the sender holds; `None` if it is left out this time.
    pub loads: Option<BTreeMap<Name, Load>>,
}

/// Acknowledgement of a heartbeat: the promise not to call its sender lost for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// Instance that acknowledges.
    pub from: Name,
    /// Run of the instance that acknowledges.
    pub incarnation: Incarnation,
    /// Run of the instance that sent the heartbeat.
    pub echo: Incarnation,
    /// Number of the heartbeat.
    pub seq: u64,
}

/// What a member no longer does: nothing that this version and these losses forbid is in flight
/// at a target or granted to one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Version of the assignment.
    pub version: Version,
    /// Lost targets.
    pub targets: BTreeSet<Name>,
}
