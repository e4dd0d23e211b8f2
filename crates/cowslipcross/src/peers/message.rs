//! Messages between instances.
//!
//! Names on the wire are single letters to keep messages short, as every request asks for a permit.

use {
    crate::views::target_updates::TargetUpdateMessage,
    cowslip_decide::{
        names::{Fence, Name},
        owners::{Assignment, TargetIncarnation},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the leader to all members, periodically and on changes.
    #[serde(rename = "b")]
    Heartbeat(LeaderHeartbeat),
    /// The encoded membership, from the leader to an instance that reported another hash of it.
    #[serde(rename = "m")]
    Members(String),
    /// Asks the leader for a service's assignments after an update was missed.
    #[serde(rename = "w")]
    AssignmentsRequest(Name),
    /// All assignments of a service, in reply to [`Message::AssignmentsRequest`].
    #[serde(rename = "o")]
    Assignments(Name, AssignmentUpdate),
    /// From a leader that has released its row, to the instance that should claim it.
    #[serde(rename = "l")]
    LeadershipOffer,
    /// From an instance to the leader, periodically.
    #[serde(rename = "r")]
    Report(InstanceReport),
    /// From an instance to the leader: a target has announced in a response that it is about to
    /// stop.
    #[serde(rename = "e")]
    TargetLeaving(WireIncarnation),
    /// Asks a pool's coordinator for a permit to send a request to a target.
    #[serde(rename = "a")]
    PermitRequest {
        /// Number of the permit request, unique at its sender.
        #[serde(rename = "n")]
        number: u64,
        /// Service of the request.
        #[serde(rename = "s")]
        service: Name,
        /// Owner of the request's key if the service is sharded; `None` otherwise.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        target: Option<Name>,
        /// Priority of the request.
        #[serde(rename = "r")]
        priority: u8,
        /// Milliseconds until the deadline of the request.
        #[serde(rename = "l")]
        deadline_ms: u64,
        /// Milliseconds within which the response is worth most; 0 if they have passed.
        #[serde(rename = "g")]
        goal_ms: u64,
        /// Data centre of the sender.
        #[serde(rename = "z")]
        data_centre: Name,
        /// Targets that failed to serve an earlier attempt.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        excluded: Vec<Name>,
    },
    /// Grants a permit.
    #[serde(rename = "p")]
    PermitGranted {
        /// Number of the permit request.
        #[serde(rename = "n")]
        number: u64,
        /// Target to send the request to.
        #[serde(rename = "t")]
        target: Name,
    },
    /// The permit request waits in the coordinator's queue.
    #[serde(rename = "q")]
    PermitQueued {
        /// Number of the permit request.
        #[serde(rename = "n")]
        number: u64,
    },
    /// The request cannot be served before its deadline.
    #[serde(rename = "x")]
    PermitRefused {
        /// Number of the permit request.
        #[serde(rename = "n")]
        number: u64,
        /// Milliseconds after which the caller should retry.
        #[serde(rename = "w")]
        wait_ms: u64,
    },
    /// Returns a permit, or cancels the permit request.
    #[serde(rename = "d")]
    PermitReturned {
        /// Number of the permit request.
        #[serde(rename = "n")]
        number: u64,
        /// Code of the request's [`PermitOutcome`](cowslip_decide::permits::PermitOutcome).
        #[serde(rename = "o")]
        outcome: u8,
        /// Slowdown that the target reported with its response.
        #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
        slowdown: Option<f64>,
        /// Milliseconds for which the target wants no requests from the sender.
        #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
        quiet_ms: Option<u64>,
    },
}

/// Versions and changes known to the leader, which the other instances follow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Time of the sender's hybrid logical clock.
    #[serde(rename = "c")]
    pub timestamp: u64,
    /// Version of the leader's row in the store; lower ones mark heartbeats of previous leaders.
    #[serde(rename = "s")]
    pub leader_version: u64,
    /// Versions of the recorded assignments by service, with recent changes.
    #[serde(rename = "o")]
    pub assignment_updates: BTreeMap<Name, AssignmentUpdate>,
    /// Number of instances among which shared limits are divided.
    #[serde(rename = "i")]
    pub instance_count: u32,
    /// Hash of the membership; receivers do not read it.
    #[serde(rename = "h")]
    pub membership_hash: u32,
    /// Highest version of an operators' row that the leader has applied.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// Recent changes of targets, or a confirmation that there are none.
    #[serde(rename = "t")]
    pub target_update: TargetUpdateMessage,
    /// Targets that have recently announced in their responses that they are about to stop.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<WireIncarnation>,
}

/// Load and state of an instance, sent to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Time of the sender's hybrid logical clock.
    #[serde(rename = "c")]
    pub timestamp: u64,
    /// Weight of the instance, see [`Member`](crate::peers::membership::Member).
    #[serde(rename = "w")]
    pub weight: u8,
    /// Whether the store answered the instance's last call.
    #[serde(rename = "a")]
    pub store_reachable: bool,
    /// Hash of the membership that the instance has.
    #[serde(rename = "h")]
    pub membership_hash: u32,
    /// Highest version of an operators' row that the instance has applied.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// Busiest keys with the number of requests since the last report, by service.
    #[serde(rename = "k")]
    pub key_counts: BTreeMap<Name, Vec<(u16, u32)>>,
    /// Service times in milliseconds of the targets whose pools the instance coordinates.
    #[serde(rename = "p")]
    pub service_times: BTreeMap<Name, u32>,
    /// Targets that have recently announced in their responses that they are about to stop.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<WireIncarnation>,
}

/// Id and incarnation of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireIncarnation(Name, u64);

/// Version of a service's recorded assignments, with a recent change or with all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    /// Version of the service's row in the store.
    #[serde(rename = "v")]
    pub version: u64,
    /// Version to which the change applies; 0 without a change.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub base_version: u64,
    /// Assignments that were added or replaced; all of them in [`Message::Assignments`].
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<WireAssignment>,
    /// Whether the service has too many assignments for a message: an instance that missed an
    /// update has to read the store.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub large_table: bool,
}

/// First key, last key, owner (id, incarnation), fence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireAssignment(u16, u16, Option<(Name, u64)>, u64);

impl From<&TargetIncarnation> for WireIncarnation {
    fn from(target: &TargetIncarnation) -> Self {
        Self(target.id.clone(), target.incarnation)
    }
}

impl From<WireIncarnation> for TargetIncarnation {
    fn from(wire: WireIncarnation) -> Self {
        let WireIncarnation(id, incarnation) = wire;
        Self { id, incarnation }
    }
}

impl From<&Assignment> for WireAssignment {
    fn from(assignment: &Assignment) -> Self {
        let owner = assignment
            .owner
            .as_ref()
            .map(|it| (it.id.clone(), it.incarnation));
        Self(assignment.first, assignment.last, owner, assignment.fence.0)
    }
}

impl From<&WireAssignment> for Assignment {
    fn from(wire: &WireAssignment) -> Self {
        let WireAssignment(first, last, owner, fence) = wire.clone();
        Self {
            first,
            last,
            owner: owner.map(|(id, incarnation)| TargetIncarnation { id, incarnation }),
            fence: Fence(fence),
            // Only a new leader needs the expiry, and reads it from the store.
            expires_at: None,
        }
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
