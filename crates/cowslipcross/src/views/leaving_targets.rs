//! Targets that announce in their responses that they are about to stop, usually before their
//! report says so.
//!
//! The instance that learns of it tells the leader at once and again with its next reports; the
//! leader tells the others with its heartbeats.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        peers::{datagram, message::Message},
        views::targets,
    },
    cowslip_decide::owners::TargetIncarnation,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time for which heartbeats and reports repeat the announcement, as some of them may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// Announcements of the last [`REPEAT_TIME`], the earliest first.
#[derive(Debug, Default)]
pub struct LeavingTargets(Vec<(TargetIncarnation, Instant)>);

impl LeavingTargets {
    /// Adds an announcement and drops old ones.
    pub fn add(&mut self, target: TargetIncarnation, now: Instant) {
        self.0.retain(|(_, since)| now - *since < REPEAT_TIME);
        self.0.push((target, now));
    }

    /// Returns the targets to repeat in a heartbeat or report.
    pub fn recent(&self, now: Instant) -> Vec<TargetIncarnation> {
        let recent = self.0.iter();
        let recent = recent.filter(|(_, since)| now - *since < REPEAT_TIME);
        recent.map(|(target, _)| target.clone()).collect()
    }
}

/// Treats a target as draining from now on and informs the other instances; does nothing if it was
/// known to drain. `source` tells the log where the announcement came from.
pub fn record(context: &Context, target: &TargetIncarnation, source: &str) {
    let now = Instant::now();
    let marked = context.targets.borrow().with_draining(target, now);
    let Some(snapshot) = marked else {
        return;
    };
    targets::replace_marked(context, snapshot);
    context
        .leaving_targets
        .borrow_mut()
        .add(target.clone(), now);
    let fields = EventFields {
        target: Some(target.id.clone()),
        detail: Some(format!("announced by a {source}")),
        ..EventFields::default()
    };
    context.events.record(events::TARGET_DRAINING, fields);
    let leader = context.leader_address.get();
    if let Some(leader) = leader.filter(|it| *it != context.settings.listen.heartbeats) {
        let message = Message::TargetLeaving(target.into());
        datagram::try_send(context, &message, leader);
    }
}

#[cfg(test)]
#[path = "leaving_targets_tests.rs"]
mod tests;
