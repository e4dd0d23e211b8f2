//! The targets: read by the leader again and again, by the others where it tells them nothing.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        views::{
            store_health::StoreHealth,
            target_snapshot::{TargetSnapshot, TargetView, UpdateResult},
            target_updates::TargetUpdateMessage,
        },
    },
    cowslip_adapter::{
        store::{RowSet, TARGET_TABLE},
        targets::TargetReport,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Longest time for an answer of the store.
const LIMIT: Duration = Duration::from_millis(500);
/// Age of a view that nothing confirmed at which the targets are read.
const OLD: Duration = Duration::from_millis(1500);
/// The same for the leader: it has to move the keys of those that leave, and tells the others.
const LEADER_OLD: Duration = Duration::from_millis(600);

/// Follows the targets for ever.
pub async fn poll_targets(context: Rc<Context>) {
    let mut health = StoreHealth::default();
    loop {
        due(&context).await;
        let sent = Instant::now();
        let read = context.target_store.read_table(TARGET_TABLE, LIMIT).await;
        health.record_call(&context, "targets", read.as_ref().err());
        match read {
            Ok(rows) => take(&context, &rows, sent),
            Err(_) => health.wait_to_retry(&context).await,
        }
    }
}

/// Waits until the targets have to be read.
async fn due(context: &Context) {
    loop {
        let old = if context.is_leader() { LEADER_OLD } else { OLD };
        let confirmed = context.targets.borrow().confirmed_at();
        let Some(due) = confirmed.map(|at| at + old) else {
            return;
        };
        if Instant::now() >= due {
            return;
        }
        // Heartbeats may confirm the view meanwhile, or tell that changes were missed.
        tokio::select! {
            () = sleep_until(due) => {}
            () = context.updates_missed.notified() => return,
        }
    }
}

/// Takes a read of the store.
fn take(context: &Context, rows: &RowSet, sent: Instant) {
    let mut reports = Vec::with_capacity(rows.rows.len());
    let mut bad = rows.unreadable_rows;
    for row in &rows.rows {
        match TargetReport::try_from(row) {
            Ok(target) => reports.push(target),
            Err(error) => {
                bad += 1;
                context.record_event(events::TARGET_REPORT_INVALID, error.to_string());
            }
        }
    }
    context.metrics.set_target_reports(reports.len(), bad);
    let before = context.targets.borrow().clone();
    let now = Instant::now();
    let (next, changes) = before.with_reports(reports, rows.store_version, (sent, now));
    if !changes.is_empty() {
        let mut news = context.target_updates.borrow_mut();
        news.add((before.changed_version(), next.changed_version()), changes);
    }
    adopt(context, &before, next);
}

/// Takes what a heartbeat tells of the targets.
pub fn handle_update(context: &Context, message: TargetUpdateMessage) {
    let before = context.targets.borrow().clone();
    match before.apply_message(message, Instant::now()) {
        UpdateResult::Confirmed(same) => *context.targets.borrow_mut() = Rc::new(same),
        UpdateResult::Changed(next) => adopt(context, &before, next),
        UpdateResult::Missed => context.updates_missed.notify_waiters(),
    }
}

/// Takes over a view of the targets, and notes what has changed.
fn adopt(context: &Context, before: &TargetSnapshot, next: TargetSnapshot) {
    let changed = note_changes(context, before, &next);
    context.record_addresses(
        next.all()
            .map(|it| (it.target_incarnation(), it.report.address)),
    );
    let mut lines = context.connections.borrow_mut();
    lines.retain(|id, _| next.get(id).is_some());
    drop(lines);
    *context.targets.borrow_mut() = Rc::new(next);
    if changed {
        context.routing_changed.notify_waiters();
        context.leader_work.notify_one();
    }
}

fn note_changes(context: &Context, before: &TargetSnapshot, next: &TargetSnapshot) -> bool {
    let mut changed = false;
    let mut note = |code, seen: &TargetView, detail: String| {
        changed = true;
        let about = EventFields {
            target: Some(seen.report.id.clone()),
            detail: Some(detail),
            ..EventFields::default()
        };
        context.events.record(code, about);
    };
    for seen in next.all() {
        let target = &seen.report;
        let known = before.get(&target.id);
        let known = known.filter(|it| it.report.incarnation == target.incarnation);
        if known.is_none() {
            let detail = format!(
                "service {}, {}, data centre {}, cold for {} ms",
                target.service,
                target.address,
                target.data_centre,
                target.cold_remaining.as_millis()
            );
            note(events::TARGET_ADDED, seen, detail);
        }
        if seen.draining_since.is_some() && known.is_none_or(|it| it.draining_since.is_none()) {
            note(events::TARGET_DRAINING, seen, "by its report".into());
        }
    }
    for seen in before.all().filter(|it| next.get(&it.report.id).is_none()) {
        note(events::TARGET_REMOVED, seen, "no report any more".into());
    }
    changed
}
