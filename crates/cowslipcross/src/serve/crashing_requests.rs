//! Requests that crash the targets that run them: what this instance has seen, and what the leader
//! makes of what all have seen.
//!
//! The instance that finds that a target has ended under its request tells the leader at once and again
//! with its reports. A request that the leader blocks is announced by its heartbeats for as long as the
//! block lasts, so that instances that restart, and later leaders, know of it, too.

use {
    crate::{
        context::Context,
        events::{self, EventCode, EventFields},
        peers::{
            datagram,
            message::{Message, WireBlock, WireCrash},
        },
        serve::{fingerprints::Fingerprints, request::CallerRequest},
    },
    cowslip_decide::{
        crashes::{BlockChange, CrashLog, Fingerprint},
        owners::TargetIncarnation,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Time within which the report of a target that has ended expires.
const REPORT_EXPIRY: Duration = Duration::from_millis(3500);
/// Time for which reports repeat the end of a target. A leader that is lost is replaced within it.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(10);
/// Most ends of targets in a report, of more the latest ones.
const MAX_REPORTED_CRASHES: usize = 32;
/// Time for which reports and heartbeats repeat that a block was lifted, and all heartbeats a new block.
const CHANGE_REPEAT_TIME: Duration = Duration::from_secs(3);
/// Older blocks that each heartbeat repeats; the next one goes on with those after them.
const REPEATED_BLOCKS: usize = 8;

/// A target that has ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprints of the request.
    pub request: Fingerprints,
    /// The target.
    pub target: TargetIncarnation,
}

/// What this instance knows of requests that crash targets.
#[derive(Debug, Default)]
pub struct CrashingRequests {
    log: CrashLog,
    /// Targets that have ended under requests of this instance.
    own_crashes: Vec<(Crash, Instant)>,
    /// Requests that were blocked lately, or whose block was lifted.
    changes: Vec<(Fingerprint, BlockState, Instant)>,
    /// Rises with each change.
    revision: u64,
    /// Last of the older blocks in the latest heartbeat.
    last_repeated: Option<Fingerprint>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BlockState {
    Blocked,
    Lifted,
}

impl CrashingRequests {
    /// Returns a number that rises whenever a request is blocked or a block is lifted.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the targets that have ended lately under requests of this instance, and the requests
    /// whose block was lifted lately.
    pub fn for_report(&mut self, now: Instant) -> (Vec<WireCrash>, Vec<Fingerprint>) {
        let lifted = self.recent_changes(BlockState::Lifted, now);
        (self.recent_crashes(now), lifted)
    }

    /// Returns the blocks for the next heartbeat and the requests whose block was lifted lately.
    pub fn for_heartbeat(&mut self, now: Instant) -> (Vec<WireBlock>, Vec<Fingerprint>) {
        let lifted = self.recent_changes(BlockState::Lifted, now);
        (self.next_blocks(now), lifted)
    }

    fn recent_crashes(&mut self, now: Instant) -> Vec<WireCrash> {
        self.own_crashes
            .retain(|(_, at)| now - *at < CRASH_REPEAT_TIME);
        let latest = self.own_crashes.iter().rev();
        let latest = latest.take(MAX_REPORTED_CRASHES);
        latest.map(|(crash, _)| crash.into()).collect()
    }

    /// Returns the new blocks, and some of the others in turn.
    fn next_blocks(&mut self, now: Instant) -> Vec<WireBlock> {
        let new = self.recent_changes(BlockState::Blocked, now);
        let all = self.log.blocked(now);
        let (new, old): (Vec<_>, Vec<_>) = all.partition(|(request, _)| new.contains(request));
        let is_next = |request: &Fingerprint| Some(*request) > self.last_repeated;
        let start = old.iter().position(|(request, _)| is_next(request));
        let (before, after) = old.split_at(start.unwrap_or(0));
        let repeated = after.iter().chain(before).take(REPEATED_BLOCKS);
        let repeated: Vec<_> = repeated.copied().collect();
        self.last_repeated = repeated.last().map(|(request, _)| *request);
        let blocks = new.into_iter().chain(repeated);
        blocks.map(WireBlock::from).collect()
    }

    fn recent_changes(&mut self, state: BlockState, now: Instant) -> Vec<Fingerprint> {
        self.changes
            .retain(|(_, _, at)| now - *at < CHANGE_REPEAT_TIME);
        let matching = self.changes.iter().filter(|(_, it, _)| *it == state);
        matching.map(|(request, ..)| *request).collect()
    }

    /// Records that such a request was served: targets that have ended under it count no more. Returns
    /// whether there were any.
    fn record_served(&mut self, request: Fingerprint, now: Instant) -> bool {
        let had_crashes = self.log.record_served(request, now);
        if had_crashes {
            self.own_crashes
                .retain(|(crash, _)| !crash.request.contains(request));
            self.add_change(request, BlockState::Lifted, now);
        }
        had_crashes
    }

    fn add_change(&mut self, request: Fingerprint, state: BlockState, now: Instant) {
        self.changes.retain(|(known, ..)| *known != request);
        self.changes.push((request, state, now));
        self.revision += 1;
    }
}

/// Returns the time for which a request must not be sent, as it crashes targets; `None` if it may be.
pub fn remaining_block(context: &Context, request: &CallerRequest) -> Option<Duration> {
    let now = Instant::now();
    let known = context.crashing_requests.borrow();
    let Fingerprints { content, caller } = request.fingerprints;
    let remaining = |fingerprint| known.log.remaining_block(fingerprint, now);
    remaining(content).max(remaining(caller))
}

/// Records that a target has ended while it ran a request of this instance, and tells the leader.
pub fn record_crash(context: &Context, request: &CallerRequest, target: TargetIncarnation) {
    let crash = Crash {
        request: request.fingerprints,
        target,
    };
    let wire = WireCrash::from(&crash);
    apply_crash(context, &crash);
    let mut known = context.crashing_requests.borrow_mut();
    known.own_crashes.push((crash, Instant::now()));
    drop(known);
    tell_leader(context, &Message::Crashes(vec![wire]));
}

/// Records that a target has run a request to its end: blocks on such requests are lifted.
pub fn record_served(context: &Context, request: &CallerRequest) {
    let now = Instant::now();
    let Fingerprints { content, caller } = request.fingerprints;
    for fingerprint in [content, caller] {
        let mut known = context.crashing_requests.borrow_mut();
        let was_blocked = known.log.remaining_block(fingerprint, now).is_some();
        if known.record_served(fingerprint, now) {
            drop(known);
            tell_lifted(context, fingerprint, was_blocked);
        }
    }
}

/// As leader, forgets the ends of targets that still report themselves under the same incarnation, and lifts
/// the blocks for which too few are left. The report of a target that has ended expires, or is replaced by that
/// of its next incarnation.
pub fn review_ends(context: &Context) {
    let targets = context.targets.borrow().clone();
    let now = Instant::now();
    let Some(read_at) = targets.confirmed_at().filter(|_| targets.is_complete(now)) else {
        return;
    };
    let Some(latest) = read_at.checked_sub(REPORT_EXPIRY) else {
        return;
    };
    let ends = context.crashing_requests.borrow().log.ends_before(latest);
    let is_alive = |target: &&TargetIncarnation| targets.get_incarnation(target).is_some();
    for target in ends.iter().filter(is_alive) {
        refute(context, target);
    }
}

fn refute(context: &Context, target: &TargetIncarnation) {
    let mut known = context.crashing_requests.borrow_mut();
    let doubtful = known.log.refute(target, Instant::now());
    drop(known);
    let fields = EventFields {
        target: Some(target.id.clone()),
        detail: Some("it goes on reporting itself".into()),
        ..EventFields::default()
    };
    context.events.record(events::END_REFUTED, fields);
    doubtful
        .into_iter()
        .for_each(|request| unblock(context, request));
}

/// Lifts a block as leader.
fn unblock(context: &Context, request: Fingerprint) {
    let mut known = context.crashing_requests.borrow_mut();
    known.log.unblock(request);
    known.add_change(request, BlockState::Lifted, Instant::now());
    drop(known);
    record_event(context, events::BLOCK_LIFTED, request);
    context.leader_work.notify_one();
}

/// Applies what another instance tells of targets that have ended.
pub fn handle_crashes(context: &Context, crashes: Vec<WireCrash>) {
    for wire in crashes {
        apply_crash(context, &wire.into());
    }
}

/// Applies the blocks that the leader announces.
pub fn handle_blocks(context: &Context, blocks: Vec<WireBlock>) {
    for wire in blocks {
        let (request, time) = wire.into();
        let mut known = context.crashing_requests.borrow_mut();
        let change = known.log.block(request, time, Instant::now());
        drop(known);
        apply_change(context, request, change);
    }
}

/// Applies that other instances have served requests that were blocked.
pub fn handle_lifted(context: &Context, requests: Vec<Fingerprint>) {
    for request in requests {
        let now = Instant::now();
        let mut known = context.crashing_requests.borrow_mut();
        let was_blocked = known.log.remaining_block(request, now).is_some();
        known.record_served(request, now);
        drop(known);
        if was_blocked {
            record_event(context, events::BLOCK_LIFTED, request);
        }
    }
}

fn apply_crash(context: &Context, crash: &Crash) {
    let Fingerprints { content, caller } = crash.request;
    for request in [content, caller] {
        let mut known = context.crashing_requests.borrow_mut();
        let target = crash.target.clone();
        let change = known.log.record_crash(request, target, Instant::now());
        drop(known);
        apply_change(context, request, change);
    }
}

fn apply_change(context: &Context, request: Fingerprint, change: BlockChange) {
    match change {
        BlockChange::None => {}
        BlockChange::Refuted => {
            let mut known = context.crashing_requests.borrow_mut();
            known.add_change(request, BlockState::Lifted, Instant::now());
            drop(known);
            tell_lifted(context, request, true);
        }
        BlockChange::Blocked => {
            let mut known = context.crashing_requests.borrow_mut();
            known.add_change(request, BlockState::Blocked, Instant::now());
            drop(known);
            record_event(context, events::REQUEST_BLOCKED, request);
            context.leader_work.notify_one();
        }
    }
}

/// Tells the leader that such a request was served, so that the targets that have ended under it count
/// no more; records an event if it `was_blocked`.
fn tell_lifted(context: &Context, request: Fingerprint, was_blocked: bool) {
    if was_blocked {
        record_event(context, events::BLOCK_LIFTED, request);
    }
    tell_leader(context, &Message::BlocksLifted(vec![request]));
    context.leader_work.notify_one();
}

fn tell_leader(context: &Context, message: &Message) {
    let leader = context.leader_address.get();
    if let Some(leader) = leader.filter(|it| *it != context.settings.listen.heartbeats) {
        datagram::try_send(context, message, leader);
    }
}

fn record_event(context: &Context, code: EventCode, request: Fingerprint) {
    context.record_event(code, format!("content {request}"));
}

#[cfg(test)]
#[path = "crashing_requests_tests.rs"]
mod tests;
