//! Messages between instances.
//!
//! The order of variants and fields is that on the wire: messages are encoded without names to keep
//! them short, as every request asks for a permit. Any change of it needs another [`FORMAT`].

use {
    crate::{
        serve::{crashing_requests::Crash, fingerprints::Fingerprints},
        views::{target_notices::TargetNotice, target_updates::TargetUpdateMessage},
    },
    cowslip_decide::{
        crashes::Fingerprint,
        limits::RateLimit,
        names::{Fence, Name, StoreVersion},
        owners::{Assignment, TargetIncarnation},
        permits::PermitOutcome,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// First byte of each message. Messages of builds without a format begin with a number below 16.
const FORMAT: u8 = 0x80;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the leader to all members, periodically and on changes.
    Heartbeat(LeaderHeartbeat),
    /// The encoded membership, from the leader to an instance that reported another hash of it.
    Members(String),
    /// Asks the leader for a service's assignments after an update was missed.
    AssignmentsRequest(Name),
    /// All assignments of a service, in reply to [`Message::AssignmentsRequest`].
    Assignments(Name, AssignmentUpdate),
    /// From a leader that has released its row, to the instance that should claim it.
    LeadershipOffer,
    /// From an instance to the leader, periodically.
    Report(InstanceReport),
    /// From an instance to the leader: what targets have said of themselves in responses.
    TargetNotices(Vec<WireNotice>),
    /// From an instance to the leader: targets have ended while they ran its requests.
    Crashes(Vec<WireCrash>),
    /// From an instance to the leader: it has served such requests as were blocked.
    BlocksLifted(Vec<Fingerprint>),
    /// Asks a pool's coordinator for a permit to send a request to a target.
    PermitRequest {
        /// Number of the permit request, unique at its sender.
        number: u64,
        /// Service of the request.
        service: Name,
        /// Owner of the request's key if the service is sharded; `None` otherwise.
        target: Option<Name>,
        /// Priority of the request.
        priority: u8,
        /// Milliseconds until the deadline of the request.
        deadline_ms: u64,
        /// Milliseconds within which the response is worth most; 0 if they have passed.
        goal_ms: u64,
        /// Data centre of the sender.
        data_centre: Name,
        /// Targets that failed to serve an earlier attempt.
        excluded: Vec<Name>,
    },
    /// Grants a permit.
    PermitGranted {
        /// Number of the permit request.
        number: u64,
        /// Target to send the request to.
        target: Name,
    },
    /// The permit request waits in the coordinator's queue.
    PermitQueued {
        /// Number of the permit request.
        number: u64,
    },
    /// The request cannot be served before its deadline.
    PermitRefused {
        /// Number of the permit request.
        number: u64,
        /// Milliseconds after which the caller should retry.
        wait_ms: u64,
    },
    /// Returns a permit, or cancels the permit request.
    PermitReturned {
        /// Number of the permit request.
        number: u64,
        /// How the request ended.
        outcome: WireOutcome,
        /// Slowdown that the target reported with its response.
        slowdown: Option<f32>,
        /// Milliseconds for which the target wants no requests from the sender.
        quiet_ms: Option<u64>,
        /// What the target has said of itself in its response.
        notice: Option<WireNotice>,
    },
}

impl Message {
    /// Encodes the message; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT]).ok()
    }

    /// Decodes a message; `None` if it is malformed or of another format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, bytes) = bytes.split_first()?;
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) if *format == FORMAT => Some(message),
            _ => None,
        }
    }
}

/// Versions and changes known to the leader, which the other instances follow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Time of the sender's hybrid logical clock.
    pub timestamp: u64,
    /// Version of the leader's row in the store; lower ones mark heartbeats of previous leaders.
    pub leader_version: StoreVersion,
    /// Versions of the recorded assignments by service, with recent changes.
    pub assignment_updates: BTreeMap<Name, AssignmentUpdate>,
    /// Number of instances among which shared limits are divided.
    pub instance_count: u32,
    /// Hash of the membership; receivers do not read it.
    pub membership_hash: u32,
    /// Highest version of an operators' row that the leader has applied.
    pub config_version: StoreVersion,
    /// Recent changes of targets, or a confirmation that there are none.
    pub target_update: TargetUpdateMessage,
    /// What targets say of themselves in their responses.
    pub notices: Vec<WireNotice>,
    /// Requests that are blocked because they crash targets.
    pub blocks: Vec<WireBlock>,
    /// Requests whose block was lifted lately.
    pub lifted: Vec<Fingerprint>,
}

/// Load and state of an instance, sent to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Time of the sender's hybrid logical clock.
    pub timestamp: u64,
    /// Weight of the instance, see [`Member`](crate::peers::membership::Member).
    pub weight: u8,
    /// Whether the instance could lead: the store answered its last call, and it reaches targets.
    pub can_lead: bool,
    /// Hash of the membership that the instance has.
    pub membership_hash: u32,
    /// Highest version of an operators' row that the instance has applied.
    pub config_version: StoreVersion,
    /// Busiest keys with the number of requests since the last report, by service.
    pub key_counts: BTreeMap<Name, Vec<(u16, u32)>>,
    /// Service times in milliseconds of the targets whose pools the instance coordinates.
    pub service_times: BTreeMap<Name, u32>,
    /// What targets have lately said of themselves in responses to the instance.
    pub notices: Vec<WireNotice>,
    /// Targets that have lately ended under requests of the instance.
    pub crashes: Vec<WireCrash>,
    /// Requests whose block the instance has lately seen to be lifted.
    pub lifted: Vec<Fingerprint>,
}

/// Number of a [`PermitOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOutcome(u8);

/// Id and incarnation of a target, whether it is about to stop, its limit in thousandths of a request
/// per second, and when this was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireNotice(Name, u64, bool, Option<u64>, u64);

/// Fingerprints of a request's content and of it with its caller, id and incarnation of the target that
/// ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireCrash(Fingerprint, Fingerprint, Name, u64);

/// Fingerprint of a blocked request, and milliseconds for which it stays blocked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireBlock(Fingerprint, u64);

/// Version of a service's recorded assignments, with a recent change or with all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentUpdate {
    /// Version of the service's row in the store.
    pub version: StoreVersion,
    /// Version to which the change applies; none without a change.
    pub base_version: StoreVersion,
    /// Assignments that were added or replaced; all of them in [`Message::Assignments`].
    pub assignments: Vec<WireAssignment>,
    /// Whether the service has too many assignments for a message: an instance that missed an
    /// update has to read the store.
    pub large_table: bool,
}

/// First key, last key, owner (id, incarnation), fence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireAssignment(u16, u16, Option<(Name, u64)>, u64);

impl From<PermitOutcome> for WireOutcome {
    fn from(outcome: PermitOutcome) -> Self {
        Self(match outcome {
            PermitOutcome::Served => 0,
            PermitOutcome::Shed => 1,
            PermitOutcome::Unused => 2,
            PermitOutcome::NotConnected => 3,
            PermitOutcome::Broken => 4,
            PermitOutcome::ServerError => 5,
            PermitOutcome::ConnectionRefused => 6,
            PermitOutcome::ConnectionClosed => 7,
        })
    }
}

/// Unknown numbers count as [`PermitOutcome::Broken`].
impl From<WireOutcome> for PermitOutcome {
    fn from(wire: WireOutcome) -> Self {
        match wire.0 {
            0 => Self::Served,
            1 => Self::Shed,
            2 => Self::Unused,
            3 => Self::NotConnected,
            5 => Self::ServerError,
            6 => Self::ConnectionRefused,
            7 => Self::ConnectionClosed,
            _ => Self::Broken,
        }
    }
}

impl From<&TargetNotice> for WireNotice {
    fn from(notice: &TargetNotice) -> Self {
        Self(
            notice.target.id.clone(),
            notice.target.incarnation,
            notice.leaving,
            notice.rate_limit.map(|it| it.millis),
            notice.observed_at.into(),
        )
    }
}

impl From<WireNotice> for TargetNotice {
    fn from(wire: WireNotice) -> Self {
        let WireNotice(id, incarnation, leaving, limit, observed_at) = wire;
        Self {
            target: TargetIncarnation { id, incarnation },
            leaving,
            rate_limit: limit.map(|millis| RateLimit { millis }),
            observed_at: observed_at.into(),
        }
    }
}

impl From<&Crash> for WireCrash {
    fn from(crash: &Crash) -> Self {
        let Fingerprints { content, caller } = crash.request;
        let target = &crash.target;
        Self(content, caller, target.id.clone(), target.incarnation)
    }
}

impl From<WireCrash> for Crash {
    fn from(wire: WireCrash) -> Self {
        let WireCrash(content, caller, id, incarnation) = wire;
        Self {
            request: Fingerprints { content, caller },
            target: TargetIncarnation { id, incarnation },
        }
    }
}

impl From<(Fingerprint, Duration)> for WireBlock {
    fn from((request, time): (Fingerprint, Duration)) -> Self {
        Self(request, time.as_millis() as u64)
    }
}

impl From<WireBlock> for (Fingerprint, Duration) {
    fn from(wire: WireBlock) -> Self {
        let WireBlock(request, time_ms) = wire;
        (request, Duration::from_millis(time_ms))
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

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
