//! The lease of this instance.

use {
    super::{Ack, Member, Step, force::Carried, majority},
    crate::duty::LeaseEnd,
    tokio::time::Instant,
};

impl Member {
    /// Takes an acknowledgement; the lease counts from the sending of what it acknowledges.
    pub(super) fn take_ack(&mut self, ack: Ack) {
        let sent = self.rounds.sent.iter().find(|(seq, _)| *seq == ack.seq);
        let Some((_, sent)) = sent.filter(|_| ack.echo == self.incarnation) else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&ack.from) {
            peer.acked = peer.acked.max(Some(*sent));
        }
    }

    /// Gives up the lease, and all suspicions, because time passed unnoticed.
    pub(super) fn lapse(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.acked = None;
            peer.leased = now;
        }
        self.rounds.sent.clear();
        self.carried = Carried::default();
    }

    /// Tells the holding thread of a changed lease.
    pub(super) fn renew_lease(&mut self, now: Instant) {
        let lease = self.lease_end().filter(|end| now < *end);
        if lease != self.lease {
            self.lease = lease;
            self.steps.push(Step::Lease(lease));
        }
    }

    fn lease_end(&self) -> LeaseEnd {
        let members = &self
            .assignment
            .as_ref()
            .filter(|_| self.can_hold())?
            .members;
        let others = members.iter().filter(|name| **name != self.me);
        let acked = others.filter_map(|name| self.peers.get(name)?.acked);
        let mut times: Vec<Instant> = acked.collect();
        times.extend(self.rounds.sent.back().map(|(_, sent)| *sent));
        times.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = times.get(majority(members.len()) - 1)?;
        Some(*oldest + self.timing.lease)
    }
}
