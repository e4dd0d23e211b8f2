//! What instances tell each other.
//!
//! Names on the wire are single letters: permits are asked for with every request.

use {
    crate::views::target_updates::TargetUpdateMessage,
    cowslip_decide::{
        names::{Fence, Name},
        owners::{Assignment, TargetIncarnation},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the leader to all.
    #[serde(rename = "b")]
    Heartbeat(LeaderHeartbeat),
    /// From the leader to one that knows other members.
    #[serde(rename = "m")]
    Members(String),
    /// To the leader from one that has missed changes of a service's owners.
    #[serde(rename = "w")]
    AssignmentsRequest(Name),
    /// From the leader: all owners of a service's keys.
    #[serde(rename = "o")]
    Assignments(Name, AssignmentUpdate),
    /// From a leader that has given its row up, to the one that should take it.
    #[serde(rename = "l")]
    LeadershipOffer,
    /// From an instance to the leader.
    #[serde(rename = "r")]
    Report(InstanceReport),
    /// Question for a permit to send.
    #[serde(rename = "a")]
    PermitRequest {
        /// Number of the question at the instance that asks.
        #[serde(rename = "n")]
        number: u64,
        /// Service.
        #[serde(rename = "s")]
        service: Name,
        /// Owner of the key, if the service is divided.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        target: Option<Name>,
        /// Rank of the request.
        #[serde(rename = "r")]
        priority: u8,
        /// Milliseconds until its deadline.
        #[serde(rename = "l")]
        deadline_ms: u64,
        /// Milliseconds within which its answer earns its full worth.
        #[serde(rename = "g")]
        goal_ms: u64,
        /// Data centre of the instance that asks.
        #[serde(rename = "z")]
        data_centre: Name,
        /// Targets that did not serve it before.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        excluded: Vec<Name>,
    },
    /// Permit to send.
    #[serde(rename = "p")]
    PermitGranted {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// Target.
        #[serde(rename = "t")]
        target: Name,
    },
    /// The request waits for a permit.
    #[serde(rename = "q")]
    PermitQueued {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
    },
    /// The request cannot be served in time.
    #[serde(rename = "x")]
    PermitRefused {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// Milliseconds after which it should come back.
        #[serde(rename = "w")]
        wait_ms: u64,
    },
    /// A permit is given back, or the question for one withdrawn.
    #[serde(rename = "d")]
    PermitReturned {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// How the request ended.
        #[serde(rename = "o")]
        outcome: u8,
        /// Momentary slowness that the target told.
        #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
        slowdown: Option<f64>,
    },
}

/// What the leader tells all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Time of the sender's logical clock.
    #[serde(rename = "c")]
    pub timestamp: u64,
    /// Version of the leader's row.
    #[serde(rename = "s")]
    pub leader_version: u64,
    /// Versions of the owners by service, with what changed last.
    #[serde(rename = "o")]
    pub assignment_updates: BTreeMap<Name, AssignmentUpdate>,
    /// Instances that the leader assumes.
    #[serde(rename = "i")]
    pub instance_count: u32,
    /// Hash of the members.
    #[serde(rename = "h")]
    pub membership_hash: u32,
    /// Version of the operators' last change that the leader knows.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// What the leader knows of the targets.
    #[serde(rename = "t")]
    pub targets: TargetUpdateMessage,
}

/// What an instance tells the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Time of the sender's logical clock.
    #[serde(rename = "c")]
    pub timestamp: u64,
    /// Weight of the instance.
    #[serde(rename = "w")]
    pub weight: u8,
    /// Whether the store answered it last.
    #[serde(rename = "a")]
    pub store_reachable: bool,
    /// Hash of the members that it knows.
    #[serde(rename = "h")]
    pub membership_hash: u32,
    /// Version of the operators' last change that it knows.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// Keys with the number of requests, by service.
    #[serde(rename = "k")]
    pub key_counts: BTreeMap<Name, Vec<(u16, u32)>>,
    /// Average time of the answers of targets in milliseconds.
    #[serde(rename = "p")]
    pub service_times: BTreeMap<Name, u32>,
}

/// Version of the recorded owners of a service, and what a fresh record changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    /// Version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Version before the change.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub base_version: u64,
    /// Pieces that are new.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<WireAssignment>,
    /// Whether one that has missed changes reads the store, as there is too much to tell.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub too_large: bool,
}

/// First key, last key, owner with the time of its start, fence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireAssignment(u16, u16, Option<(Name, u64)>, u64);

impl From<&Assignment> for WireAssignment {
    fn from(piece: &Assignment) -> Self {
        let owner = piece
            .owner
            .as_ref()
            .map(|it| (it.id.clone(), it.incarnation));
        Self(piece.first, piece.last, owner, piece.fence.0)
    }
}

impl From<&WireAssignment> for Assignment {
    fn from(wire: &WireAssignment) -> Self {
        let WireAssignment(first, last, owner, fence) = wire.clone();
        Self {
            first,
            last,
            owner: owner.map(|(id, born)| TargetIncarnation {
                id,
                incarnation: born,
            }),
            fence: Fence(fence),
            // Of use to a leader alone, which reads it in the store.
            expires_at: None,
        }
    }
}

fn is_false(it: &bool) -> bool {
    !it
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
