//! What the planner has to know of the configuration and of the instances.

use {
    crate::names::{Name, Version},
    std::collections::{BTreeMap, BTreeSet},
};

/// Targets of one pool of an undivided service, unless the configuration says otherwise.
pub const POOL_SIZE: usize = 4;

/// The configuration as the planner needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Version of the configuration.
    pub config: Version,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Data centres that get no new work.
    pub withdrawn: BTreeSet<Name>,
    /// Most targets in one pool of an undivided service.
    pub pool_size: usize,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether each key has one owning target.
    pub divided: bool,
    /// Targets by name.
    pub targets: BTreeMap<Name, Target>,
}

/// A target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Requests that it runs at the same time once warm.
    pub slots: u32,
    /// Requests that it bears at the same time while cold.
    pub cold_limit: u32,
    /// Connections that it bears over all instances.
    pub connections: u32,
    /// Whether it accepts grants and refuses requests with an older fence.
    pub checks_fence: bool,
}

/// An instance that was heard lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Whether it is about to stop.
    pub leaving: bool,
}
