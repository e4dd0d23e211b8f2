//! What a member knows of another one.

use {
    super::Heartbeat,
    crate::{
        duty::Load,
        names::{Incarnation, Name, Version},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// What a member knows of another one.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Newest run that is known.
    pub(super) incarnation: Incarnation,
    /// Newest heartbeat of that run.
    pub(super) beat: Option<Heartbeat>,
    /// When a heartbeat of it came last.
    pub(super) heard: Option<Instant>,
    /// When it had a lease last, as far as is known here; also the start of a grace period.
    pub(super) leased: Instant,
    /// Until when it must not be called lost.
    pub(super) promise: Instant,
    /// When the newest heartbeat that it acknowledged was sent.
    pub(super) acked: Option<Instant>,
    /// State of the targets that it holds.
    pub(super) loads: BTreeMap<Name, Load>,
}

impl Peer {
    pub(super) fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            beat: None,
            heard: None,
            leased: now,
            promise: now,
            acked: None,
            loads: BTreeMap::new(),
        }
    }

    /// Starts over for a later run; promises and times outlive it.
    pub(super) fn restarted(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.beat = None;
        self.heard = None;
        self.loads.clear();
    }

    /// Returns the newest heartbeat if its sender was synced.
    pub(super) fn synced(&self) -> Option<&Heartbeat> {
        self.beat.as_ref().filter(|beat| beat.synced)
    }

    /// Returns the newest heartbeat if its sender was synced and at `version`.
    pub(super) fn at(&self, version: Version) -> Option<&Heartbeat> {
        self.synced().filter(|beat| beat.version == version)
    }

    /// Returns whether a heartbeat came within `span` before `now`.
    pub(super) fn recent(&self, now: Instant, span: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + span)
    }

    /// Returns whether it had no lease for `span` and no promise to it is left.
    pub(super) fn silent(&self, now: Instant, span: Duration) -> bool {
        self.promise <= now && self.leased + span <= now
    }
}
