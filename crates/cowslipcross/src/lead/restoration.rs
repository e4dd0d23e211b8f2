//! Continues the leadership after the store was restored from a backup.
//!
//! What the leader recorded last may be missing in the backup. Its own memory has all assignments, as
//! no other instance has led since, so that it records them again together with its row.

use {
    crate::{
        clock,
        context::Context,
        events,
        lead::{
            assignment_rows::{self, AssignmentRowValue},
            leader_row, row_writer,
        },
    },
    cowslip_adapter::store::CommitOutcome,
    cowslip_decide::names::StoreVersion,
};

/// Writes the leader's row and all assignments in the new era, if no other instance has claimed the
/// row there.
pub async fn record_again(context: &Context) {
    let guard = context.write_lock.lock().await;
    let sent_at = clock::local_time();
    let timestamp = leader_row::timestamp_to_write(context, sent_at);
    let mut writes = vec![leader_row::new_row(context, timestamp, None)];
    let all_recorded = context.recorded_assignments.borrow().clone();
    for (service, recorded) in &all_recorded {
        let address = |owner: &_| context.target_addresses.borrow().get(owner);
        let value = AssignmentRowValue::new(&recorded.table, address);
        match assignment_rows::encode(service, &value) {
            Ok(rows) => writes.extend(rows),
            Err(error) => {
                let detail = format!("assignments of {service} not recorded again: {error}");
                context.record_event(events::WRITE_REFUSED, detail);
                return context.election.borrow_mut().step_down();
            }
        }
    }
    let mut checks = vec![leader_row::check(leader_row::ROW_KEY, StoreVersion::NONE)];
    checks.extend(
        all_recorded.keys().map(|service| {
            leader_row::check(&assignment_rows::row_key(service), StoreVersion::NONE)
        }),
    );
    let result = row_writer::commit(context, &checks, &writes).await;
    drop(guard);
    context.metrics.count_store_call("record", result.is_ok());
    row_writer::apply_write_result(context, (timestamp, sent_at), &result);
    if let Ok(CommitOutcome::Committed { version, .. }) = result {
        let mut all_recorded = context.recorded_assignments.borrow_mut();
        for recorded in all_recorded.values_mut() {
            recorded.version = version;
            recorded.last_change = None;
        }
    }
}

/// Lets the leader loop go on with the assignments as they were recorded again.
pub fn resume(context: &Context) {
    let all_recorded = context.recorded_assignments.borrow();
    let mut state = context.leader_state.borrow_mut();
    for (name, service) in &mut state.services {
        if let Some(recorded) = all_recorded.get(name) {
            service.recorded_version = recorded.version;
        }
    }
    let version = context.election.borrow().row_version();
    context.record_event(
        events::LEADERSHIP_GAINED,
        format!("version {version}, continued after a restoration of the store"),
    );
    context.leader_work.notify_one();
}
