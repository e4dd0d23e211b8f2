//! What the planner and the driver ask a member.

use {
    super::{Heartbeat, Member, majority, peer::Peer},
    crate::{
        assign::{Assignment, Losses},
        duty::Load,
        names::{Incarnation, Name, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    tokio::time::Instant,
};

impl Member {
    /// Returns the version of the assignment; 0 without one.
    pub fn version(&self) -> Version {
        let assignment = self.assignment.as_ref();
        assignment.map_or(Version::default(), |assignment| assignment.version)
    }

    /// Returns the assignment that this instance follows.
    pub fn assignment(&self) -> Option<&Arc<Assignment>> {
        self.assignment.as_ref()
    }

    /// Returns whether this instance has a lease at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease.is_some_and(|end| now < end)
    }

    /// Returns whether this instance knows all that earlier runs of it may have promised.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Returns whether a later run of this instance is known, so that this one must end.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns what is lost at this version.
    pub fn lost(&self) -> &Losses {
        &self.losses
    }

    /// Returns the version below which no instance sends or has granted anything any more.
    ///
    /// The list of members may change only in the version after one that this has reached.
    pub fn floor(&self) -> Version {
        self.facts.floor
    }

    /// Returns the members that have settled `version`, or can do nothing below it any more.
    pub fn settled_by(&self, version: Version) -> BTreeSet<Name> {
        let assignment = self.assignment.as_ref();
        assignment.map_or_else(BTreeSet::new, |assignment| {
            self.facts.settled_by(assignment, version)
        })
    }

    /// Returns the instances that were heard lately and are not lost, this one included.
    ///
    /// Members without a lease are left out: they can hold nothing.
    pub fn alive(&self, now: Instant) -> BTreeSet<Name> {
        let members = self.members();
        let known = self.peers.keys().chain([&self.me]);
        let alive = known.filter(|name| {
            self.is_there(now, name)
                && !self.losses.instances.contains(*name)
                && (self.is_leased(now, name) || !members.contains(*name))
        });
        alive.cloned().collect()
    }

    /// Returns the lost instances that were heard lately and are synced; a version that renews
    /// the `since` of their holdings takes them back.
    pub fn returning(&self, now: Instant) -> BTreeSet<Name> {
        let lost = self.losses.instances.iter();
        let back = lost.filter(|name| self.is_there(now, name) && self.is_synced(name));
        back.cloned().collect()
    }

    /// Returns whether a majority of the members is there and synced, so that a planner here
    /// judges by what most of them know. A lease is not needed: all may be lost at this version.
    pub fn sees_majority(&self) -> bool {
        self.bare.is_none()
    }

    /// Returns the newest run of each instance that was heard lately, for a reset.
    pub fn incarnations(&self, now: Instant) -> BTreeMap<Name, Incarnation> {
        let there = self
            .peers
            .iter()
            .filter(|(name, _)| self.is_there(now, name));
        let others = there.map(|(name, peer)| (name.clone(), peer.incarnation));
        others
            .chain([(self.me.clone(), self.incarnation)])
            .collect()
    }

    /// Returns the state of each target, as a holder that was heard lately told it last.
    pub fn loads(&self, now: Instant) -> BTreeMap<&Name, &Load> {
        let there = self
            .peers
            .iter()
            .filter(|(name, _)| self.is_there(now, name));
        let others = there.flat_map(|(_, peer)| &peer.loads);
        others.chain(&self.loads).collect()
    }

    /// Returns the silent targets whose loss their holders leave to the planner.
    pub fn withheld(&self) -> BTreeSet<Name> {
        let others = self.peers_at_version();
        let others = others.flat_map(|(_, beat)| beat.withheld.iter());
        others.chain(self.withheld.keys()).cloned().collect()
    }

    /// Returns whether a majority of the members is there but too few of them know what was
    /// promised, so that only a reset helps: a version that lists [`Member::incarnations`] and
    /// renews every `since` and fence.
    pub fn reset_needed(&self, now: Instant) -> bool {
        let wait = self.timing.reset_wait();
        let long = self.bare.is_some_and(|since| since + wait <= now);
        long && self.count(now, |_, _| true) >= majority(self.size())
    }

    /// Returns the members, or the contacts and this instance while no assignment names them.
    pub(super) fn members(&self) -> BTreeSet<Name> {
        match &self.assignment {
            Some(assignment) => assignment.members.clone(),
            None => self.contacts.iter().chain([&self.me]).cloned().collect(),
        }
    }

    pub(super) fn size(&self) -> usize {
        match &self.assignment {
            Some(assignment) => assignment.members.len(),
            None => self.members().len(),
        }
    }

    pub(super) fn is_there(&self, now: Instant, name: &Name) -> bool {
        let recent = |peer: &Peer| peer.recent(now, self.timing.promise());
        *name == self.me || self.peers.get(name).is_some_and(recent)
    }

    fn is_leased(&self, now: Instant, name: &Name) -> bool {
        if *name == self.me {
            return self.has_lease(now);
        }
        let beat = self.peers.get(name).and_then(|peer| peer.synced());
        beat.is_some_and(|beat| beat.leased)
    }

    pub(super) fn is_synced(&self, name: &Name) -> bool {
        if *name == self.me {
            return self.synced;
        }
        self.peers
            .get(name)
            .is_some_and(|peer| peer.synced().is_some())
    }

    /// Returns the other members whose newest run is synced and at this version.
    pub(super) fn peers_at_version(&self) -> impl Iterator<Item = (&Peer, &Heartbeat)> {
        let assignment = self.assignment.as_ref();
        let members = assignment.into_iter().flat_map(|a| &a.members);
        let peers = members.filter_map(|name| self.peers.get(name));
        peers.filter_map(|peer| Some((peer, peer.at(self.version())?)))
    }
}
