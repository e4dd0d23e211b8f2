//! Summary of a member for operators.

use {
    super::{Member, peer::Peer},
    crate::{
        assign::Losses,
        names::{Incarnation, Name, Version},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    tokio::time::Instant,
};

/// Summary of a member for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Name,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Version of the assignment.
    pub version: Version,
    /// Version below which no instance sends or has granted anything any more.
    pub floor: Version,
    /// Version of the configuration.
    pub config: Version,
    /// Whether the instance knows all that earlier runs of it may have promised.
    pub synced: bool,
    /// Time left of its lease, in milliseconds.
    pub lease_ms: Option<u64>,
    /// What is lost at this version.
    pub losses: Losses,
    /// Instances that it does not acknowledge.
    pub doubts: BTreeSet<Name>,
    /// Silent targets whose loss is left to the planner.
    pub withheld: BTreeSet<Name>,
    /// Ranges and holdings that are not in force.
    pub pending: usize,
    /// Other instances.
    pub peers: BTreeMap<Name, PeerStatus>,
}

/// What a member knows of another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Version of its assignment.
    pub version: Version,
    /// Whether it said that it is synced.
    pub synced: bool,
    /// Time since it was heard, in milliseconds.
    pub heard_ms: Option<u64>,
}

impl Member {
    /// Returns a summary for operators.
    pub fn status(&self, now: Instant) -> Status {
        let lease = self.lease.map(|end| end.saturating_duration_since(now));
        let peers = self.peers.iter();
        Status {
            instance: self.me.clone(),
            incarnation: self.incarnation,
            version: self.version(),
            floor: self.facts.floor,
            config: self.config,
            synced: self.synced,
            lease_ms: lease.map(|left| left.as_millis() as u64),
            losses: self.losses.clone(),
            doubts: self.doubts.clone(),
            withheld: self.withheld(),
            pending: self.view.as_ref().map_or(0, |view| view.pending()),
            peers: peers
                .map(|(name, peer)| (name.clone(), peer.status(now)))
                .collect(),
        }
    }
}

impl Peer {
    fn status(&self, now: Instant) -> PeerStatus {
        let beat = self.beat.as_ref();
        let heard = self.heard.map(|heard| now.saturating_duration_since(heard));
        PeerStatus {
            incarnation: self.incarnation,
            version: beat.map_or(Version::default(), |beat| beat.version),
            synced: beat.is_some_and(|beat| beat.synced),
            heard_ms: heard.map(|heard| heard.as_millis() as u64),
        }
    }
}
