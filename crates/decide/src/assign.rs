//! The assignment: which target owns which keys, and which instance sends to which target.

use {
    crate::names::{Epoch, Fence, Incarnation, Name, Version},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// A contiguous range of key hashes with one owner.
///
/// The range ends where the next one of its service begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First hash of the range.
    pub start: u64,
    /// Target that owns the range; an empty name if nobody does.
    pub owner: Name,
    /// Target that owns the range, with the next higher fence, once the owner is lost.
    pub standby: Option<Name>,
    /// Fence of the owner; the standby's is one higher.
    ///
    /// Whatever renews `since`, and a changed standby, raises it by two, because the standby may
    /// have used the next one; a standby that takes over for good keeps the one it has used.
    pub fence: Fence,
    /// Version of the assignment in which the range last passed to its owner.
    ///
    /// A range that is cut in two keeps it; two that are alike and merged take the later one.
    pub since: Version,
}

/// The instances that may send to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Instance that sends to the target.
    pub holder: Name,
    /// Instance that sends once the holder is out.
    pub standby: Option<Name>,
    /// Version of the assignment in which the holder last changed.
    pub since: Version,
    /// Pool of the target: the targets of one undivided service that one holder serves.
    ///
    /// It bears the name of its service, alone or followed by `/` and more.
    pub pool: Option<Name>,
}

/// All that a planner decides, recorded in the table as one row before it is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Version of this assignment.
    pub version: Version,
    /// Epoch of the planner that recorded it.
    pub epoch: Epoch,
    /// Version of the configuration that it was planned for.
    pub config: Version,
    /// Instances whose majority decides about leases; one step at a time.
    pub members: BTreeSet<Name>,
    /// Ranges of each divided service, ordered by their start; the first starts at 0.
    pub ranges: BTreeMap<Name, Vec<KeyRange>>,
    /// Holder of each target.
    pub holdings: BTreeMap<Name, Holding>,
    /// Runs of the instances that this version lets start over, after too many of the members had
    /// lost their state; empty in an ordinary version.
    ///
    /// Such a version renews every `since` and raises every fence by two.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub reset: BTreeMap<Name, Incarnation>,
}

/// What was lost since an assignment was recorded; both sets only grow within one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Targets whose ranges have passed to their standbys.
    pub targets: BTreeSet<Name>,
    /// Instances whose holdings have passed to their standbys.
    pub instances: BTreeSet<Name>,
}

/// Owner of a key at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Target that owns the key.
    pub target: Name,
    /// Fence to send with each request.
    pub fence: Fence,
    /// Version of the assignment in which the range came to its recorded owner.
    pub since: Version,
    /// Whether the target owns the range as standby of a lost owner.
    pub standby: bool,
}

impl Losses {
    /// Adds what `other` knows; returns whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = (self.targets.len(), self.instances.len());
        self.targets.extend(other.targets.iter().cloned());
        self.instances.extend(other.instances.iter().cloned());
        before != (self.targets.len(), self.instances.len())
    }
}

impl Assignment {
    /// Returns the range of `service` that contains `hash`.
    pub fn range(&self, service: &str, hash: u64) -> Option<&KeyRange> {
        let ranges = self.ranges.get(service)?;
        let after = ranges.partition_point(|range| range.start <= hash);
        ranges.get(after.checked_sub(1)?)
    }

    /// Returns the owner of `hash` given what was lost, or `None` while it has none.
    pub fn owner(&self, losses: &Losses, service: &str, hash: u64) -> Option<Owner> {
        self.range(service, hash)?.owner_given(losses)
    }

    /// Returns the instance that may send to `target` given what was lost.
    pub fn holder(&self, losses: &Losses, target: &str) -> Option<&Name> {
        let holding = self.holdings.get(target)?;
        if !losses.instances.contains(&holding.holder) {
            return Some(&holding.holder);
        }
        holding
            .standby
            .as_ref()
            .filter(|name| !losses.instances.contains(*name))
    }
}

impl KeyRange {
    /// Returns the owner of this range given what was lost, or `None` while it has none.
    pub fn owner_given(&self, losses: &Losses) -> Option<Owner> {
        if self.owner.is_empty() {
            return None;
        }
        if !losses.targets.contains(&self.owner) {
            return Some(Owner {
                target: self.owner.clone(),
                fence: self.fence,
                since: self.since,
                standby: false,
            });
        }
        let standby = self.standby.as_ref()?;
        if losses.targets.contains(standby) {
            return None;
        }
        Some(Owner {
            target: standby.clone(),
            fence: self.fence.next(),
            since: self.since,
            standby: true,
        })
    }
}

impl Assignment {
    /// Returns this assignment as a reset: every range and holding is new, so that nothing that was
    /// granted before counts, and the instances of `runs` start over.
    pub fn start_over(mut self, runs: BTreeMap<Name, Incarnation>) -> Self {
        for range in self.ranges.values_mut().flatten() {
            range.since = self.version;
            range.fence = range.fence.next().next();
        }
        for holding in self.holdings.values_mut() {
            holding.since = self.version;
        }
        self.reset = runs;
        self
    }
}
