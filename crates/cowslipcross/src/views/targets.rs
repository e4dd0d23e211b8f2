//! Reads of the targets from the store: by the leader periodically, by other instances when
//! heartbeats do not confirm their snapshot.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        store_calls,
        views::{
            store_era,
            store_health::StoreHealth,
            target_addresses,
            target_snapshot::{TargetSnapshot, TargetView, UpdateResult},
            target_updates::TargetUpdateMessage,
        },
    },
    cowslip_adapter::targets::TargetTable,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Age of the snapshot at which the targets are read from the store.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(1500);
/// [`SNAPSHOT_MAX_AGE`] of the leader, which has to reassign the keys of draining targets and informs the
/// other instances.
const LEADER_MAX_AGE: Duration = Duration::from_millis(600);

/// Keeps the targets up to date; never returns.
pub async fn poll_targets(context: Rc<Context>) {
    let mut health = StoreHealth::default();
    loop {
        wait_until_due(&context).await;
        let sent_at = Instant::now();
        let store = &context.target_store;
        let known = context.targets.borrow().clone();
        let is_known = |id: &str| known.get(id).is_some();
        let read = store_calls::timed(&context, |timeout| store.read_targets(is_known, timeout));
        let read = read.await;
        health.record_call(&context, "targets", read.as_ref().err());
        match read {
            Ok(table) => {
                store_era::observe(&context, table.store_version.era);
                apply_table(&context, table, sent_at);
            }
            Err(_) => health.wait_to_retry(&context).await,
        }
    }
}

/// Waits until the targets have to be read.
async fn wait_until_due(context: &Context) {
    loop {
        let max_age = if context.is_leader() {
            LEADER_MAX_AGE
        } else {
            SNAPSHOT_MAX_AGE
        };
        let Some(due) = context.targets.borrow().read_due(max_age) else {
            return;
        };
        if Instant::now() >= due {
            return;
        }
        // Meanwhile a heartbeat may confirm the snapshot, or show that changes were missed.
        tokio::select! {
            () = sleep_until(due) => {}
            () = context.updates_missed.notified() => return,
        }
    }
}

/// Applies a read of the table of targets that was sent at `sent_at`.
fn apply_table(context: &Context, table: TargetTable, sent_at: Instant) {
    let TargetTable {
        reports,
        unreadable,
        errors,
        store_version,
    } = table;
    for error in errors {
        context.record_event(events::TARGET_REPORT_INVALID, error.to_string());
    }
    context
        .metrics
        .set_target_reports(reports.len(), unreadable);
    let previous = context.targets.borrow().clone();
    let now = Instant::now();
    let (next, changes) = previous.with_reports(reports, store_version, (sent_at, now));
    if !changes.is_empty() {
        let mut updates = context.target_updates.borrow_mut();
        updates.add_update(
            (previous.changed_version(), next.changed_version()),
            changes,
        );
    }
    replace_snapshot(context, &previous, next);
}

/// Applies a heartbeat's part about targets.
pub fn handle_update(context: &Context, message: TargetUpdateMessage) {
    let previous = context.targets.borrow().clone();
    match previous.apply_message(message, Instant::now()) {
        UpdateResult::Confirmed(kept) => store_snapshot(context, kept),
        UpdateResult::Changed(next) => replace_snapshot(context, &previous, next),
        UpdateResult::Missed => context.updates_missed.notify_waiters(),
        UpdateResult::Unrelated => {}
    }
}

/// Replaces the snapshot by one in which a target was marked as draining.
pub fn replace_marked(context: &Context, next: TargetSnapshot) {
    *context.targets.borrow_mut() = Rc::new(next);
    context.routing_changed.notify_waiters();
    context.leader_work.notify_one();
}

/// Replaces the snapshot and records what has changed.
fn replace_snapshot(context: &Context, previous: &TargetSnapshot, next: TargetSnapshot) {
    let changed = record_changes(context, previous, &next);
    let now = Instant::now();
    for target in next.returned_since(previous) {
        context.restarts.borrow_mut().record_doubt(&target, now);
    }
    let mut connections = context.connections.borrow_mut();
    connections.retain(|id, _| next.get(id).is_some());
    drop(connections);
    store_snapshot(context, next);
    target_addresses::record_reported(context);
    if changed {
        context.routing_changed.notify_waiters();
        context.leader_work.notify_one();
    }
}

fn store_snapshot(context: &Context, next: TargetSnapshot) {
    if let Some(read_at) = next.confirmed_at() {
        context.restarts.borrow_mut().record_read(read_at);
    }
    *context.targets.borrow_mut() = Rc::new(next);
}

fn record_changes(context: &Context, previous: &TargetSnapshot, next: &TargetSnapshot) -> bool {
    let mut changed = false;
    let mut record_change = |code, view: &TargetView, detail: String| {
        changed = true;
        let fields = EventFields {
            target: Some(view.report.id.clone()),
            detail: Some(detail),
            ..EventFields::default()
        };
        context.events.record(code, fields);
    };
    for view in next.all() {
        let report = &view.report;
        let known = previous.get(&report.id);
        let known = known.filter(|it| it.report.incarnation == report.incarnation);
        if known.is_none() {
            let detail = format!(
                "service {}, {}, data centre {}, cold for {} ms",
                report.service,
                report.address,
                report.data_centre,
                report.cold_remaining.as_millis()
            );
            record_change(events::TARGET_ADDED, view, detail);
        }
        if view.draining_since.is_some() && known.is_none_or(|it| it.draining_since.is_none()) {
            record_change(events::TARGET_DRAINING, view, "by its report".into());
        }
    }
    for view in previous
        .all()
        .filter(|it| next.get(&it.report.id).is_none())
    {
        record_change(events::TARGET_REMOVED, view, "no report any more".into());
    }
    changed
}
