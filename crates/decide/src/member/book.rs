//! Duties given to the holding thread, and what follows when it has settled them.

use {
    super::Settled,
    crate::{
        duty::{Duties, Duty},
        names::{Name, Version},
    },
    std::collections::BTreeMap,
};

/// Duties given to the holding thread, and what follows when it has settled them.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    /// Duties given last.
    pub(super) held: BTreeMap<Name, Duty>,
    /// What this instance has settled.
    pub(super) settled: Option<Settled>,
    seq: u64,
    version: Version,
    /// Highest number that the holding thread has settled.
    done: u64,
    /// What follows from duties that are not settled yet, by their number.
    bases: BTreeMap<u64, Settled>,
}

impl Book {
    /// Notes what `held` follows from; returns the duties if the holding thread must hear of them.
    pub(super) fn give(&mut self, basis: Settled, held: BTreeMap<Name, Duty>) -> Option<Duties> {
        let same = held == self.held;
        if same && basis.version == self.version {
            self.base(basis);
            return None;
        }
        let idle = same && self.done == self.seq;
        self.seq += 1;
        self.version = basis.version;
        self.held = held;
        if idle {
            // The same duties were settled before, so that nothing else can be in flight.
            self.done = self.seq;
        }
        self.base(basis);
        Some(Duties {
            seq: self.seq,
            version: self.version,
            held: self.held.clone(),
        })
    }

    fn base(&mut self, basis: Settled) {
        if self.done == self.seq {
            self.settled = Some(basis);
        } else {
            self.bases.insert(self.seq, basis);
        }
    }

    /// Notes that the holding thread has settled the duties with number `seq`.
    pub(super) fn settle(&mut self, seq: u64) {
        if seq <= self.done || seq > self.seq {
            return;
        }
        self.done = seq;
        if let Some(basis) = self.bases.remove(&seq) {
            self.settled = Some(basis);
        }
        self.bases = self.bases.split_off(&seq);
    }
}
