//! Requests under which targets end, and which are then refused.
//!
//! A request that crashes each target that runs it comes again, from its caller and from instances that
//! retry. Each instance reports the targets that have ended under its requests to the leader; the leader
//! and each instance block a request under which several targets have ended. A request that was merely
//! in progress when a target ended is served elsewhere, which lifts a block on it. A target that goes on
//! reporting itself under the same incarnation has not ended.

use {
    crate::owners::TargetIncarnation,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Targets that end under a request until it is blocked. One may end by chance while the request is in
/// progress there.
const MAX_CRASHES: usize = 2;
/// Time for which a request is blocked after the last target has ended under it, and for which
/// targets that have ended are remembered.
const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Time for which requests that were served are remembered. A request that was harmless until now is
/// not blocked before this has passed.
const SERVED_MEMORY: Duration = Duration::from_secs(2);
/// Time for which false ends are remembered, longer than instances report an end.
const REFUTED_MEMORY: Duration = Duration::from_secs(15);
/// Most requests that are remembered as served.
const MAX_SERVED: usize = 4096;
/// Most requests that are remembered because of targets that ended.
const MAX_SUSPECTS: usize = 1024;

/// Fingerprint of a request, the same for requests with the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether a request has become blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockChange {
    /// The request is blocked from now on.
    Blocked,
    /// The block does not apply: this instance has just served such a request. The others have to
    /// know that.
    Refuted,
    /// Nothing has changed.
    None,
}

/// What an instance knows of requests under which targets end.
#[derive(Debug, Default)]
pub struct CrashLog {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When such a request was last served, and the order in which they were.
    served_at: BTreeMap<Fingerprint, Instant>,
    served: VecDeque<(Fingerprint, Instant)>,
    /// Ends that proved to be false, and when: instances may report them again.
    refuted: BTreeMap<(Fingerprint, TargetIncarnation), Instant>,
}

/// A request under which a target has ended.
#[derive(Debug)]
struct Suspect {
    /// Targets that have ended under it, and when that was recorded.
    targets: BTreeMap<TargetIncarnation, Instant>,
    /// When a target last ended under the request.
    last_crash: Instant,
    blocked_until: Option<Instant>,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            targets: BTreeMap::new(),
            last_crash: now,
            blocked_until: None,
        }
    }
}

impl CrashLog {
    /// Records that a target has ended while it ran a request.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        target: TargetIncarnation,
        now: Instant,
    ) -> BlockChange {
        self.remove_old(now);
        let suspect = self
            .suspects
            .entry(request)
            .or_insert_with(|| Suspect::new(now));
        if suspect.targets.contains_key(&target)
            || self.refuted.contains_key(&(request, target.clone()))
        {
            return BlockChange::None;
        }
        suspect.targets.insert(target, now);
        suspect.last_crash = now;
        match suspect.targets.len() >= MAX_CRASHES {
            true => self.block(request, BLOCK_TIME, now),
            false => BlockChange::None,
        }
    }

    /// Blocks a request for a time, unless this instance has just served it.
    pub fn block(&mut self, request: Fingerprint, time: Duration, now: Instant) -> BlockChange {
        self.remove_old(now);
        let is_served = |at: &Instant| now - *at < SERVED_MEMORY;
        if self.served_at.get(&request).is_some_and(is_served) {
            self.lift(request);
            return BlockChange::Refuted;
        }
        let suspect = self
            .suspects
            .entry(request)
            .or_insert_with(|| Suspect::new(now));
        let until = now + time.min(BLOCK_TIME);
        let is_new = suspect.blocked_until.is_none_or(|known| known <= now);
        suspect.blocked_until = suspect.blocked_until.max(Some(until));
        match is_new {
            true => BlockChange::Blocked,
            false => BlockChange::None,
        }
    }

    /// Records that a target has served a request; returns whether targets had ended under it.
    pub fn record_served(&mut self, request: Fingerprint, now: Instant) -> bool {
        let is_outdated = |served: &VecDeque<(Fingerprint, Instant)>| {
            let oldest = served.front();
            let is_old = oldest.is_some_and(|(_, at)| now - *at >= SERVED_MEMORY);
            is_old || served.len() >= MAX_SERVED
        };
        while is_outdated(&self.served) {
            let removed = self.served.pop_front();
            // The request may have been served again since.
            let latest = removed.filter(|(old, at)| self.served_at.get(old) == Some(at));
            latest.map(|(old, _)| self.served_at.remove(&old));
        }
        self.served.push_back((request, now));
        self.served_at.insert(request, now);
        self.lift(request)
    }

    /// Returns the targets whose ends were recorded before a time.
    pub fn ends_before(&self, time: Instant) -> BTreeSet<TargetIncarnation> {
        let all = self.suspects.values().flat_map(|it| &it.targets);
        let before = all.filter(|(_, at)| **at < time);
        before.map(|(target, _)| target.clone()).collect()
    }

    /// Records that a target has not ended; returns the blocked requests under which too few targets have
    /// ended now.
    pub fn refute(&mut self, target: &TargetIncarnation, now: Instant) -> Vec<Fingerprint> {
        let mut doubtful = Vec::new();
        for (request, it) in &mut self.suspects {
            if it.targets.remove(target).is_none() {
                continue;
            }
            self.refuted.insert((*request, target.clone()), now);
            if it.targets.len() < MAX_CRASHES && it.blocked_until.is_some() {
                doubtful.push(*request);
            }
        }
        self.suspects
            .retain(|_, it| !it.targets.is_empty() || it.blocked_until.is_some());
        doubtful
    }

    /// Ends the block on a request; the targets that have ended under it still count.
    pub fn unblock(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.blocked_until = None;
        }
    }

    /// Ends the block on a request and forgets the targets that have ended under it; returns whether
    /// there were any.
    pub fn lift(&mut self, request: Fingerprint) -> bool {
        self.suspects.remove(&request).is_some()
    }

    /// Returns the time for which a request is still blocked; `None` if it is not.
    pub fn remaining_block(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.suspects.get(&request)?.blocked_until?;
        (until > now).then(|| until - now)
    }

    /// Returns the blocked requests with the rest of the time for which they are.
    pub fn blocked(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let all = self.suspects.keys();
        all.filter_map(move |request| Some((*request, self.remaining_block(*request, now)?)))
    }

    /// Drops what is too old, and the oldest of too many requests.
    fn remove_old(&mut self, now: Instant) {
        self.refuted.retain(|_, at| now - *at < REFUTED_MEMORY);
        self.suspects.retain(|_, it| {
            let is_blocked = it.blocked_until.is_some_and(|until| until > now);
            is_blocked || now - it.last_crash < BLOCK_TIME
        });
        while self.suspects.len() >= MAX_SUSPECTS {
            let by_age = |(_, it): &(&Fingerprint, &Suspect)| (it.blocked_until, it.last_crash);
            let oldest = self.suspects.iter().min_by_key(by_age);
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
