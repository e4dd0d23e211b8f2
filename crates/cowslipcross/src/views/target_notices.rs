//! What targets say of themselves in their responses, of which every instance has to know: that they
//! are about to stop, or how many requests they take from all instances together.
//!
//! An instance that learns of a notice tells the pool's coordinator and the leader at once, and the
//! leader again with its next reports. The leader's heartbeats repeat every notice in force, so that
//! instances that restart, and later leaders, know of it, too.

use {
    crate::{
        context::Context,
        events::{self, EventFields, HybridTimestamp},
        peers::{
            datagram,
            message::{Message, WireNotice},
        },
        views::{target_snapshot::TargetSnapshot, targets},
    },
    cowslip_decide::{limits::RateLimit, names::Name, owners::TargetIncarnation},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time for which the instance that has observed a notice repeats it in its reports, and for which
/// heartbeats repeat that a limit was lifted, as some of them may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(3);
/// Time for which notices of targets without a report are kept: the report may come back.
const NOTICE_MEMORY: Duration = Duration::from_secs(3600);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetNotice {
    /// Incarnation of the target.
    pub target: TargetIncarnation,
    /// Whether the target is about to stop.
    pub leaving: bool,
    /// Requests that the target takes from all instances together; `None` if it names no limit.
    pub rate_limit: Option<RateLimit>,
    /// When the response with the limit arrived, by the hybrid logical clock of the instance that got
    /// it; orders what different instances have observed.
    pub observed_at: HybridTimestamp,
}

/// Source of a notice, for the log and to decide who has to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// A response to a request of this instance.
    OwnRequest,
    /// A response to a command of this instance.
    OwnCommand,
    /// A message of another instance.
    Instance,
}

/// Change of what is known about a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// The target was not known to be about to stop.
    pub newly_leaving: bool,
    /// The target had named another limit, or none.
    pub new_limit: bool,
}

/// Latest notice of each target.
#[derive(Debug, Default)]
pub struct TargetNotices(BTreeMap<Name, KnownNotice>);

#[derive(Debug)]
struct KnownNotice {
    notice: TargetNotice,
    changed_at: Instant,
    /// When a response to this instance last contained the notice.
    own_at: Option<Instant>,
}

impl TargetNotices {
    /// Adds a notice to what is known of its target, and returns what has changed.
    ///
    /// A target that is about to stop never stays; of two limits the one observed later applies.
    pub fn record(
        &mut self,
        notice: TargetNotice,
        source: NoticeSource,
        now: Instant,
    ) -> NoticeChange {
        let own_at = (source != NoticeSource::Instance).then_some(now);
        let known = self.0.get_mut(&notice.target.id);
        let known = match known {
            Some(it) if it.notice.target.incarnation > notice.target.incarnation => {
                return NoticeChange::default();
            }
            Some(it) if it.notice.target.incarnation == notice.target.incarnation => it,
            _ => {
                let change = NoticeChange {
                    newly_leaving: notice.leaving,
                    new_limit: notice.rate_limit.is_some(),
                };
                let known = KnownNotice {
                    notice,
                    changed_at: now,
                    own_at,
                };
                self.0.insert(known.notice.target.id.clone(), known);
                return change;
            }
        };
        let is_later = notice.observed_at > known.notice.observed_at;
        let change = NoticeChange {
            newly_leaving: notice.leaving && !known.notice.leaving,
            new_limit: is_later && notice.rate_limit != known.notice.rate_limit,
        };
        known.notice.leaving |= notice.leaving;
        if is_later {
            known.notice.rate_limit = notice.rate_limit;
            known.notice.observed_at = notice.observed_at;
        }
        known.own_at = known.own_at.max(own_at);
        if change != NoticeChange::default() {
            known.changed_at = now;
        }
        change
    }

    /// Returns the limit that an incarnation of a target has named.
    pub fn rate_limit(&self, target: &TargetIncarnation) -> Option<RateLimit> {
        let known = &self.0.get(&target.id)?.notice;
        known
            .rate_limit
            .filter(|_| known.target.incarnation == target.incarnation)
    }

    /// Returns the notices that responses to this instance contained lately, for its reports.
    pub fn own_recent(&self, now: Instant) -> impl Iterator<Item = &TargetNotice> {
        let is_recent = move |at: Instant| now - at < REPEAT_TIME;
        let recent = self.0.values();
        let recent = recent.filter(move |it| it.own_at.is_some_and(is_recent));
        recent.map(|it| &it.notice)
    }

    /// Returns the notices that are in force or were so a moment ago, for the leader's heartbeats.
    pub fn in_force(
        &self,
        targets: &TargetSnapshot,
        now: Instant,
    ) -> impl Iterator<Item = &TargetNotice> {
        let is_listed = |it: &TargetNotice| {
            let view = targets.get(&it.target.id);
            view.is_some_and(|view| view.report.incarnation == it.target.incarnation)
        };
        let repeated = self.0.values().filter(move |it| {
            let is_in_force = it.notice.leaving || it.notice.rate_limit.is_some();
            now - it.changed_at < REPEAT_TIME || is_in_force && is_listed(&it.notice)
        });
        repeated.map(|it| &it.notice)
    }

    /// Drops notices that no longer matter.
    pub fn remove_old(&mut self, targets: &TargetSnapshot, now: Instant) {
        self.0
            .retain(|id, it| now - it.changed_at < NOTICE_MEMORY || targets.get(id).is_some());
    }
}

/// Records a notice and acts on what it changes: the target counts as draining, or requests to it are
/// limited. Other instances are informed if this one has observed it.
pub fn record(context: &Context, notice: TargetNotice, source: NoticeSource) {
    let now = Instant::now();
    let mut notices = context.target_notices.borrow_mut();
    let change = notices.record(notice.clone(), source, now);
    if change == NoticeChange::default() {
        return;
    }
    notices.remove_old(&context.targets.borrow(), now);
    drop(notices);
    if change.newly_leaving {
        mark_draining(context, &notice.target, source, now);
    }
    if change.new_limit {
        record_limit_event(context, &notice, source);
        context.routing_changed.notify_waiters();
        context.leader_work.notify_one();
    }
    let leader = context.leader_address.get();
    let leader = leader.filter(|it| *it != context.settings.listen.heartbeats);
    if let Some(leader) = leader.filter(|_| source != NoticeSource::Instance) {
        let message = Message::TargetNotices(vec![WireNotice::from(&notice)]);
        datagram::try_send(context, &message, leader);
    }
}

/// Records what the response to a command says of its target. Such a response may leave out a limit
/// that still applies.
pub fn record_command_response(
    context: &Context,
    target: &TargetIncarnation,
    leaving: bool,
    rate_limit: Option<RateLimit>,
) {
    if !leaving && rate_limit.is_none() {
        return;
    }
    let known_limit = context.target_notices.borrow().rate_limit(target);
    let notice = TargetNotice {
        target: target.clone(),
        leaving,
        rate_limit: rate_limit.or(known_limit),
        observed_at: context.events.next_timestamp(),
    };
    record(context, notice, NoticeSource::OwnCommand);
}

/// Treats a target as draining from now on; does nothing if it was known to drain.
fn mark_draining(
    context: &Context,
    target: &TargetIncarnation,
    source: NoticeSource,
    now: Instant,
) {
    let marked = context.targets.borrow().with_draining(target, now);
    let Some(snapshot) = marked else {
        return;
    };
    targets::replace_marked(context, snapshot);
    let detail = format!("announced by a response to {}", source.text());
    record_event(context, events::TARGET_DRAINING, target, detail);
}

fn record_limit_event(context: &Context, notice: &TargetNotice, source: NoticeSource) {
    let limit = match notice.rate_limit {
        Some(limit) => format!("{} a second", limit.rate()),
        None => "no more".into(),
    };
    let detail = format!("{limit}, named in a response to {}", source.text());
    record_event(context, events::TARGET_LIMITED, &notice.target, detail);
}

fn record_event(
    context: &Context,
    code: events::EventCode,
    target: &TargetIncarnation,
    detail: String,
) {
    let fields = EventFields {
        target: Some(target.id.clone()),
        detail: Some(detail),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}

impl NoticeSource {
    /// Returns what the response with the notice answered, for the log.
    fn text(self) -> &'static str {
        match self {
            Self::OwnRequest => "a request",
            Self::OwnCommand => "a command",
            Self::Instance => "another instance",
        }
    }
}

#[cfg(test)]
#[path = "target_notices_tests.rs"]
mod tests;
