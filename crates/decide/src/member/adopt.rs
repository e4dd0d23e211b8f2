//! Moving on to a later version of the assignment.

use {
    super::{Member, carry, force::Carried, peer::Peer},
    crate::{
        assign::Assignment,
        names::{Incarnation, Name, Version},
    },
    std::{collections::BTreeSet, sync::Arc},
    tokio::time::Instant,
};

impl Member {
    /// Moves on to `next`, with the losses that it does not settle.
    pub(super) fn move_on(&mut self, now: Instant, next: Arc<Assignment>) {
        let from = self.version();
        let was_member = self.is_member();
        let before = self.doubts.clone();
        self.keep_losses(&next, from);
        self.carried = self.carry_on(now, &next);
        self.proposed.clear();
        self.withheld.clear();
        self.welcome(now, &next, &before);
        // Who joins has no part in what the members agreed on before.
        self.synced &= was_member && next.members.contains(&self.me);
        for (name, incarnation) in &next.reset {
            self.notice(now, name, *incarnation);
        }
        self.assignment = Some(next);
        self.relearn(now);
    }

    fn keep_losses(&mut self, next: &Assignment, from: Version) {
        self.losses = carry::losses(next, &self.losses, from);
        self.doubts = carry::instances(next, &self.doubts, from);
        self.facts.adopt(next, from, &self.losses.instances);
    }

    /// Returns what goes on at once; only a lease without a break keeps others from taking over.
    fn carry_on(&self, now: Instant, next: &Assignment) -> Carried {
        match &self.view {
            Some(view) if self.has_lease(now) => Carried::new(view, next, &self.losses),
            _ => Carried::default(),
        }
    }

    /// Begins to watch new members, and those anew that were doubted until now and are there.
    ///
    /// Others get no new time: a flow of versions must not put off the loss of one that is cut off.
    fn welcome(&mut self, now: Instant, next: &Assignment, doubted: &BTreeSet<Name>) {
        let members = self.members();
        for name in next.members.iter().filter(|name| **name != self.me) {
            let new = || Peer::new(Incarnation::default(), now);
            let peer = self.peers.entry(name.clone()).or_insert_with(new);
            let back = doubted.contains(name) && !self.doubts.contains(name);
            let there = peer.recent(now, self.timing.promise());
            if there && (back || !members.contains(name)) {
                peer.leased = now;
            }
        }
    }

    /// Learns again from the heartbeats that came before their version was known here.
    fn relearn(&mut self, now: Instant) {
        let beats = self.peers.values().filter_map(|peer| peer.beat.clone());
        for beat in beats.collect::<Vec<_>>() {
            self.learn(now, &beat);
        }
    }
}
