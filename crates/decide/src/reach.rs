//! Whether an instance still reaches targets on its own path.
//!
//! A target that cannot be connected to may have ended. If another instance can connect to it, only the
//! path is at fault. An instance that finds this of several targets, without opening any connection of its
//! own meanwhile, is taken to be cut off from all of them, so that requests for the others do not have to
//! find out for themselves.

use {
    crate::names::Name,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Targets that only others reach from which an instance counts as cut off, if it knows that many.
const MAX_BYPASSED: usize = 3;
/// Time for which it is remembered that another instance reached a target that this one did not.
const BYPASS_MEMORY: Duration = Duration::from_secs(2);
/// Time for which open connections are taken to be as broken as one that broke.
const BROKEN_MEMORY: Duration = Duration::from_secs(10);

/// How an instance's reach has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The instance is cut off from targets from now on.
    Lost,
    /// The instance reaches targets again.
    Regained,
    /// Nothing has changed.
    None,
}

/// What an instance knows of its own path to targets.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Targets that only other instances reached, and when this was seen last.
    bypassed: BTreeMap<Name, Instant>,
    /// When an open connection broke last.
    broken_at: Option<Instant>,
    is_lost: bool,
}

impl Reach {
    /// Returns whether the instance is cut off from targets.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns whether connections that are still open may be used: the instance is not cut off, or only
    /// new connections fail.
    pub fn keeps_connections(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now - at < BROKEN_MEMORY;
        !self.is_lost || !self.broken_at.is_some_and(is_recent)
    }

    /// Records that another instance reached a target that this one could not connect to; `known` is the
    /// number of targets that the instance knows.
    pub fn record_bypassed(&mut self, target: &Name, known: usize, now: Instant) -> ReachChange {
        self.bypassed.retain(|_, at| now - *at < BYPASS_MEMORY);
        self.bypassed.insert(target.clone(), now);
        if self.is_lost || self.bypassed.len() < MAX_BYPASSED.min(known) {
            return ReachChange::None;
        }
        self.is_lost = true;
        ReachChange::Lost
    }

    /// Records that an open connection to a target broke.
    pub fn record_broken(&mut self, now: Instant) {
        self.broken_at = Some(now);
    }

    /// Records that the instance has opened a connection to a target itself.
    pub fn record_opened(&mut self) -> ReachChange {
        self.bypassed.clear();
        match std::mem::take(&mut self.is_lost) {
            true => {
                self.broken_at = None;
                ReachChange::Regained
            }
            false => ReachChange::None,
        }
    }
}
