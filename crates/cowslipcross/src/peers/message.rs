//! What instances tell each other.
//!
//! Names on the wire are single letters: permits are asked for with every request.

use {
    crate::views::news::WireNews,
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
    Beat(Heartbeat),
    /// From the leader to one that knows other members.
    #[serde(rename = "m")]
    Members(String),
    /// To the leader from one that has missed changes of a service's owners.
    #[serde(rename = "w")]
    Missed(Name),
    /// From the leader: all owners of a service's keys.
    #[serde(rename = "o")]
    Owners(Name, Recorded),
    /// From a leader that has given its row up, to the one that should take it.
    #[serde(rename = "l")]
    Lead,
    /// From an instance to the leader.
    #[serde(rename = "r")]
    Report(Report),
    /// Question for a permit to send.
    #[serde(rename = "a")]
    Ask {
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
        rank: u8,
        /// Milliseconds until its deadline.
        #[serde(rename = "l")]
        left: u64,
        /// Milliseconds within which its answer earns its full worth.
        #[serde(rename = "g")]
        goal: u64,
        /// Data centre of the instance that asks.
        #[serde(rename = "z")]
        data_centre: Name,
        /// Targets that did not serve it before.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        tried: Vec<Name>,
    },
    /// Permit to send.
    #[serde(rename = "p")]
    Granted {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// Target.
        #[serde(rename = "t")]
        target: Name,
    },
    /// The request waits for a permit.
    #[serde(rename = "q")]
    Queued {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
    },
    /// The request cannot be served in time.
    #[serde(rename = "x")]
    Refused {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// Milliseconds after which it should come back.
        #[serde(rename = "w")]
        wait: u64,
    },
    /// A permit is given back, or the question for one withdrawn.
    #[serde(rename = "d")]
    Done {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// How the request ended.
        #[serde(rename = "o")]
        outcome: u8,
        /// Momentary slowness that the target told.
        #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
        slowness: Option<f64>,
    },
}

/// What the leader tells all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time of the sender's logical clock.
    #[serde(rename = "c")]
    pub stamp: u64,
    /// Version of the leader's row.
    #[serde(rename = "s")]
    pub seat: u64,
    /// Versions of the owners by service, with what changed last.
    #[serde(rename = "o")]
    pub owners: BTreeMap<Name, Recorded>,
    /// Instances that the leader assumes.
    #[serde(rename = "i")]
    pub instances: u32,
    /// Hash of the members.
    #[serde(rename = "h")]
    pub membership: u32,
    /// Version of the operators' last change that the leader knows.
    #[serde(rename = "v")]
    pub config: u64,
    /// What the leader knows of the targets.
    #[serde(rename = "t")]
    pub targets: WireNews,
}

/// What an instance tells the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the sender's logical clock.
    #[serde(rename = "c")]
    pub stamp: u64,
    /// Weight of the instance.
    #[serde(rename = "w")]
    pub weight: u8,
    /// Whether the store answered it last.
    #[serde(rename = "a")]
    pub able: bool,
    /// Hash of the members that it knows.
    #[serde(rename = "h")]
    pub membership: u32,
    /// Version of the operators' last change that it knows.
    #[serde(rename = "v")]
    pub config: u64,
    /// Keys with the number of requests, by service.
    #[serde(rename = "k")]
    pub keys: BTreeMap<Name, Vec<(u16, u32)>>,
    /// Average time of the answers of targets in milliseconds.
    #[serde(rename = "p")]
    pub paces: BTreeMap<Name, u32>,
}

/// Version of the recorded owners of a service, and what a fresh record changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Recorded {
    /// Version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Version before the change.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub base: u64,
    /// Pieces that are new.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub pieces: Vec<WirePiece>,
    /// Whether one that has missed changes reads the store, as there is too much to tell.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub large: bool,
}

/// First key, last key, owner with the time of its start, fence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WirePiece(u16, u16, Option<(Name, u64)>, u64);

impl From<&Assignment> for WirePiece {
    fn from(piece: &Assignment) -> Self {
        let owner = piece
            .owner
            .as_ref()
            .map(|it| (it.id.clone(), it.incarnation));
        Self(piece.first, piece.last, owner, piece.fence.0)
    }
}

impl From<&WirePiece> for Assignment {
    fn from(wire: &WirePiece) -> Self {
        let WirePiece(first, last, owner, fence) = wire.clone();
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
