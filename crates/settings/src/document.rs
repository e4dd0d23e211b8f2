//! The configuration document: one validated text that is the whole configuration in force.

use {
    cowslip_decide::{names::Name, verdict::Priority},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Services in the order of the document.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Data centres that get no new work.
    #[serde(default)]
    pub withdrawn: BTreeSet<Name>,
}

/// A service: targets that answer the same routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// First segment of the path of its requests.
    pub name: Name,
    /// Whether each key has one owning target.
    pub divided: bool,
    /// Kinds of request.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Servers of the service.
    #[serde(rename = "target")]
    pub targets: Vec<Target>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Second segment of the path of its requests.
    pub name: Name,
    /// HTTP method.
    pub method: Name,
    /// Rank in every queue.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Longest time from arrival to answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique over all services.
    pub name: Name,
    /// Address as `ip:port`.
    pub address: Name,
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
