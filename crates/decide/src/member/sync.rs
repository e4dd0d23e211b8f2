//! How an instance that has just started, or joined, learns what it may have promised before.

use {
    super::{Heartbeat, Member, majority},
    tokio::time::Instant,
};

impl Member {
    /// Becomes synced once what an earlier run left behind has run out and its promises are known.
    pub(super) fn sync(&mut self, now: Instant) {
        let early = now < self.started + self.timing.remains();
        if self.synced || early || self.superseded || !self.is_member() {
            return;
        }
        if !self.was_reset() {
            let beats = self.answers();
            if beats.len() < self.quorum() || self.is_bound(now, &beats) {
                return;
            }
            self.inherit(now, &beats);
        }
        self.synced = true;
        self.start_over(now);
    }

    /// Returns whether the assignment was recorded for this run, after a majority had forgotten.
    fn was_reset(&self) -> bool {
        let assignment = self.assignment.as_ref();
        let run = assignment.and_then(|assignment| assignment.reset.get(&self.me));
        run == Some(&self.incarnation)
    }

    /// Returns the heartbeats of synced members that knew of this run when they sent them.
    ///
    /// Answers from earlier versions do not count: what is agreed there later may be agreed
    /// without this instance, if it became a member at this version only.
    fn answers(&self) -> Vec<Heartbeat> {
        let knows = |beat: &&Heartbeat| beat.seen.get(&self.me) == Some(&self.incarnation);
        let beats = self.peers_at_version().map(|(_, beat)| beat);
        beats.filter(knows).cloned().collect()
    }

    /// Returns whether a promise is left to an instance that would be doubted from now on.
    ///
    /// A member that left and comes back may have acknowledged it shortly before.
    fn is_bound(&self, now: Instant, beats: &[Heartbeat]) -> bool {
        let mut doubted = beats.iter().flat_map(|beat| &beat.doubts);
        doubted.any(|name| self.peers.get(name).is_some_and(|peer| now < peer.promise))
    }

    /// Returns how many other members meet every majority that an earlier run was part of.
    fn quorum(&self) -> usize {
        self.size() - majority(self.size()) + 1
    }

    /// Begins to watch the other members anew.
    fn start_over(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.leased = now;
        }
    }

    /// Notes since when no majority of synced members was found among those that are there.
    pub(super) fn note_majority(&mut self, now: Instant) {
        let found = self.count(now, |member, name| member.is_synced(name));
        if found >= majority(self.size()) {
            self.bare = None;
        } else if self.bare.is_none() {
            self.bare = Some(now);
        }
    }

    /// Counts the members that were heard lately, this one included, and fulfil `test`.
    pub(super) fn count(
        &self,
        now: Instant,
        test: impl Fn(&Self, &crate::names::Name) -> bool,
    ) -> usize {
        let members = self.members();
        let there = members.iter().filter(|name| self.is_there(now, name));
        there.filter(|name| test(self, name)).count()
    }
}
