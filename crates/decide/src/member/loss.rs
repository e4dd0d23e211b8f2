//! Losses of instances, by a majority's word, and of targets, by their holder's.

use {
    super::{Heartbeat, Lost, Member, Step, majority},
    crate::{
        assign::{Assignment, Losses},
        names::Name,
    },
    std::collections::BTreeSet,
    tokio::time::Instant,
};

impl Member {
    /// Returns the members that have had no lease for longer than the promise to them.
    pub(super) fn silent(&self, now: Instant) -> BTreeSet<Name> {
        let Some(assignment) = self.assignment.as_ref().filter(|_| self.synced) else {
            return BTreeSet::new();
        };
        let members = assignment.members.iter();
        let silent = members.filter(|name| self.is_silent(now, name));
        silent.cloned().collect()
    }

    fn is_silent(&self, now: Instant, name: &Name) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.silent(now, self.timing.promise()))
    }

    /// Gives up for this version the instances that a majority finds silent.
    pub(super) fn vote(&mut self, now: Instant) {
        for name in self.silent(now) {
            if !self.doubts.contains(&name) && self.majority_silent(now, &name) {
                self.doubts.insert(name);
            }
        }
        if self.is_abandoned(now) {
            self.doubts.insert(self.me.clone());
        }
    }

    fn majority_silent(&self, now: Instant, name: &Name) -> bool {
        let fresh = self.timing.promise();
        let agrees = |beat: &Heartbeat| beat.silent.contains(name) || beat.doubts.contains(name);
        let others = self.peers_at_version();
        let others = others.filter(|(peer, beat)| peer.recent(now, fresh) && agrees(beat));
        others.count() + 1 >= majority(self.size())
    }

    /// Returns whether so many members doubt this one that it cannot get a lease at this version.
    ///
    /// Its own doubt then completes the majority that its holdings wait for.
    fn is_abandoned(&self, now: Instant) -> bool {
        let doubters = self.doubters(&self.me);
        self.synced
            && !self.has_lease(now)
            && doubters > 0
            && doubters > self.size() - majority(self.size())
    }

    /// Returns how many members are known to doubt `name` at this version.
    fn doubters(&self, name: &Name) -> usize {
        let own = self.synced && self.doubts.contains(name);
        let others = self.peers_at_version();
        let others = others.filter(|(_, beat)| beat.doubts.contains(name));
        others.count() + usize::from(own)
    }

    /// Records the loss of the instances that a majority doubts.
    pub(super) fn commit(&mut self, now: Instant) {
        let mut doubted = self.doubts.clone();
        for (_, beat) in self.peers_at_version() {
            doubted.extend(beat.doubts.iter().cloned());
        }
        for name in doubted.difference(&self.losses.instances.clone()) {
            if self.doubters(name) >= majority(self.size()) {
                self.lose_instance(now, name);
            }
        }
    }

    fn lose_instance(&mut self, now: Instant, name: &Name) {
        if !self.losses.instances.insert(name.clone()) {
            return;
        }
        self.doubts.insert(name.clone());
        let due = now + self.timing.surely(self.timing.grant);
        self.facts.close(name, self.version().next(), due);
        let lost = Lost::Instance(name.clone());
        self.steps.push(Step::Lost(lost));
    }

    fn lose_target(&mut self, name: &Name) {
        if self.losses.targets.insert(name.clone()) {
            let lost = Lost::Target(name.clone());
            self.steps.push(Step::Lost(lost));
        }
    }

    /// Adds losses that were found at this version.
    pub(super) fn merge(&mut self, now: Instant, losses: &Losses) {
        for name in &losses.instances {
            self.lose_instance(now, name);
        }
        for name in &losses.targets {
            self.lose_target(name);
        }
    }

    /// Learns what a heartbeat says for good.
    pub(super) fn learn(&mut self, now: Instant, beat: &Heartbeat) {
        let Some(assignment) = self.assignment.clone().filter(|_| beat.synced) else {
            return;
        };
        self.facts.floor = self.facts.floor.max(beat.floor);
        self.facts.quiet = self.facts.quiet.max(beat.quiet);
        if let Some(settled) = &beat.settled {
            self.facts.report(&assignment, &beat.from, settled);
        }
        if beat.version == assignment.version {
            self.merge(now, &beat.losses);
        }
    }

    /// Proposes the loss of a silent target that this instance holds, or leaves it to the planner.
    pub(super) fn silent_target(&mut self, now: Instant, target: &Name) {
        let held = self.book.held.get(target);
        if !self.has_lease(now) || held.is_none_or(|duty| duty.ranges.is_empty()) {
            return;
        }
        let Some(assignment) = self.assignment.clone() else {
            return;
        };
        if self.proposed.len() < self.proposals() && has_standby(&assignment, &self.losses, target)
        {
            self.proposed.insert(target.clone());
            self.lose_target(target);
        } else {
            self.withheld.insert(target.clone(), now);
        }
    }

    /// Returns how many losses this instance may propose at one version: half of the owners that
    /// it holds, because one that finds most of them silent is more likely cut off itself.
    fn proposals(&self) -> usize {
        let owners = self
            .book
            .held
            .iter()
            .filter(|(_, duty)| !duty.ranges.is_empty());
        let owners: BTreeSet<&Name> = owners.map(|(name, _)| name).collect();
        let all = owners.len()
            + self
                .proposed
                .iter()
                .filter(|name| !owners.contains(name))
                .count();
        all.div_ceil(2)
    }

    /// Takes over the losses and doubts of synced members, as one that has forgotten its own.
    pub(super) fn inherit(&mut self, now: Instant, beats: &[Heartbeat]) {
        for beat in beats {
            self.merge(now, &beat.losses);
            self.doubts.extend(beat.doubts.iter().cloned());
        }
    }
}

fn has_standby(assignment: &Assignment, losses: &Losses, target: &Name) -> bool {
    let mut ranges = assignment.ranges.values().flatten();
    ranges.any(|range| {
        let standby = range.standby.as_ref();
        range.owner == *target && standby.is_some_and(|name| !losses.targets.contains(name))
    })
}
