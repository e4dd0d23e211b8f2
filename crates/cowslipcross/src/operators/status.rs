//! The state of an instance as operators see it.

use {
    cowslip_decide::{
        assign::{Assignment, Holding, Losses},
        duty::Load,
        names::{Epoch, Incarnation, Name, Version},
    },
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// State of an instance at one moment; the answer to `GET /status`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Whether the instance is stopping.
    pub stopping: bool,
    /// Version of the assignment.
    pub version: Version,
    /// Epoch of the planner that recorded the assignment.
    pub epoch: Epoch,
    /// Version of the configuration in force.
    pub config: Version,
    /// Data centres that the configuration in force withdraws.
    pub withdrawn: BTreeSet<Name>,
    /// What is left of the lease in milliseconds; `None` without one.
    pub lease_ms: Option<u64>,
    /// Instance that holds the planner row, as far as this one knows.
    pub planner: Option<Name>,
    /// Members with what this instance knows of them.
    pub members: BTreeMap<Name, MemberStatus>,
    /// Holder and standby of each target.
    pub holdings: BTreeMap<Name, Holding>,
    /// Targets and instances lost since the assignment was recorded.
    pub losses: Losses,
    /// State of the targets that this instance holds.
    pub loads: BTreeMap<Name, LoadStatus>,
    /// Rings between the duties.
    pub rings: BTreeMap<Name, RingStatus>,
}

/// What an instance knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Not lost.
    Alive,
    /// Lost since the assignment was recorded.
    Lost,
}

/// State of a held target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadStatus {
    /// Requests at the target.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that the target may get at the same time now.
    pub limit: u32,
    /// Smoothed time of an answer, in microseconds.
    pub latency_us: u64,
    /// Requests answered since the target was taken on.
    pub served: u64,
    /// Whether the target has said that it is leaving.
    pub leaving: bool,
}

/// Fullness of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RingStatus {
    /// Items in the ring.
    pub used: usize,
    /// Items that fit in.
    pub size: usize,
}

impl Status {
    /// Takes over what an assignment and the losses since say.
    pub fn assigned(&mut self, assignment: &Assignment, losses: &Losses) {
        self.version = assignment.version;
        self.epoch = assignment.epoch;
        self.holdings = assignment.holdings.clone();
        self.losses = losses.clone();
        let state = |name: &Name| match losses.instances.contains(name) {
            true => MemberStatus::Lost,
            false => MemberStatus::Alive,
        };
        let members = assignment.members.iter();
        self.members = members.map(|name| (name.clone(), state(name))).collect();
    }
}

impl From<&Load> for LoadStatus {
    fn from(load: &Load) -> Self {
        Self {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            latency_us: load.latency.as_micros() as u64,
            served: load.served,
            leaving: load.leaving,
        }
    }
}
