//! Writes of the router's own table: claims, renewals and the release of the leader's row, and records
//! of assignments.

use {
    crate::{
        clock,
        context::Context,
        events,
        lead::{
            assignment_rows::{self, AssignmentRowValue},
            leader_row::{ROW_KEY, check, new_row, own_grants_end, timestamp_to_write},
            peer_reports,
            row_reader::{apply_leader_row, known_store_time, observe_restoration},
        },
        peers::{datagram, message::Message},
        store_calls,
        views::recorded_assignments::{AssignmentChange, RecordedAssignments},
    },
    cowslip_adapter::{
        Error,
        store::{CommitOutcome, RowWrite, VersionCheck},
    },
    cowslip_decide::{
        election::{LocalTime, StoreTimestamp},
        names::{Name, StoreVersion},
        owners::AssignmentTable,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest wait for grants in flight before the row is released, and its polling interval.
const GRANTS_TIMEOUT: Duration = Duration::from_millis(300);
const GRANTS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Outcome of a write of assignments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingOutcome {
    /// The assignments are in the store.
    Recorded,
    /// The assignments are not in the store and will not be.
    NotRecorded,
    /// The assignments may be in the store, or may get there until the leader's row changes.
    Unknown,
}

/// Writes rows of the present era if all checks hold, and none of them otherwise.
///
/// # Errors
/// Fails like [`Store::commit`](cowslip_adapter::store::Store::commit).
pub async fn commit(
    context: &Context,
    checks: &[VersionCheck],
    writes: &[RowWrite],
) -> cowslip_adapter::Result<CommitOutcome> {
    let store = &context.router_store;
    store_calls::timed(context, |timeout| {
        store.commit(context.era(), checks, writes, timeout)
    })
    .await
}

/// Claims or renews the leader's row on the condition that it has this version.
pub async fn claim_row(context: &Context, version: StoreVersion) {
    let guard = context.write_lock.lock().await;
    let is_continuing = context.election.borrow().is_continuing();
    let was_leader = context.is_leader() || is_continuing;
    let sent_at = clock::local_time();
    let timestamp = timestamp_to_write(context, sent_at);
    let checks = [check(ROW_KEY, version)];
    let writes = [new_row(context, timestamp, None)];
    let result = commit(context, &checks, &writes).await;
    drop(guard);
    context.metrics.count_store_call("lease", result.is_ok());
    apply_write_result(context, (timestamp, sent_at), &result);
    if !was_leader && context.is_leader() {
        context.leader_since.set(None);
        // The expiry of the previous leader's grants is known only if its row was the one replaced.
        let previous = context.observed_row.get().filter(|it| it.0 == version);
        context.grants_expire.set(previous.and_then(|(_, end)| end));
    }
}

/// Applies the result of a write that was sent at `sent_at` with `written` in the leader's row.
pub fn apply_write_result(
    context: &Context,
    (written, sent_at): (StoreTimestamp, LocalTime),
    result: &cowslip_adapter::Result<CommitOutcome>,
) {
    match result {
        Ok(CommitOutcome::Committed {
            version,
            store_time: now,
        }) => {
            let now = known_store_time(context, now);
            let response_timestamp = now.map_or(written, |store_time| StoreTimestamp {
                store_time,
                sent_at,
            });
            context
                .election
                .borrow_mut()
                .confirm_write(written, *version, response_timestamp);
        }
        Ok(CommitOutcome::Conflict(rows)) => match rows.rows.iter().any(|it| it.key == ROW_KEY) {
            true => apply_leader_row(context, rows, sent_at),
            // The response lacks the leader's row, so it has to be read.
            false => context.election.borrow_mut().mark_write_unanswered(),
        },
        Err(error) if error.is_outcome_unknown() => {
            context.record_event(events::WRITE_UNANSWERED, error.to_string());
            context.election.borrow_mut().mark_write_unanswered();
        }
        Err(error @ Error::Restored { .. }) => observe_restoration(context, error),
        // Nothing was written; the election tries again.
        Err(error) => context.record_event(events::WRITE_REFUSED, error.to_string()),
    }
}

/// Records a service's assignments on the condition that this instance still leads and the recorded
/// version is `previous_version`.
pub async fn record_assignments(
    context: &Context,
    service: &Name,
    previous_version: StoreVersion,
    table: &AssignmentTable,
) -> RecordingOutcome {
    let guard = context.write_lock.lock().await;
    if !context.is_leader() {
        return RecordingOutcome::NotRecorded;
    }
    let key = assignment_rows::row_key(service);
    let own_version = context.election.borrow().row_version();
    let address = |owner: &_| context.target_addresses.borrow().get(owner);
    let value = AssignmentRowValue::new(table, address);
    let Ok(mut writes) = assignment_rows::encode(service, &value) else {
        return RecordingOutcome::NotRecorded;
    };
    let sent_at = clock::local_time();
    let timestamp = timestamp_to_write(context, sent_at);
    let checks = [check(ROW_KEY, own_version), check(&key, previous_version)];
    writes.push(new_row(context, timestamp, None));
    let result = commit(context, &checks, &writes).await;
    drop(guard);
    context.metrics.count_store_call("record", result.is_ok());
    apply_write_result(context, (timestamp, sent_at), &result);
    match result {
        Ok(CommitOutcome::Committed { version, .. }) => {
            apply_recorded(context, service, (previous_version, version), table);
            RecordingOutcome::Recorded
        }
        // The store may have assignments that are not known here; the recorder reads them next.
        Ok(CommitOutcome::Conflict(_)) => RecordingOutcome::Unknown,
        Err(error) if error.is_outcome_unknown() => RecordingOutcome::Unknown,
        Err(_) => RecordingOutcome::NotRecorded,
    }
}

/// Applies recorded assignments on this instance and keeps the change for the other instances.
fn apply_recorded(
    context: &Context,
    service: &Name,
    (previous_version, version): (StoreVersion, StoreVersion),
    table: &AssignmentTable,
) {
    let mut all_recorded = context.recorded_assignments.borrow_mut();
    let previous = all_recorded
        .get(service)
        .filter(|it| it.version == previous_version);
    let change = previous.map(|previous| AssignmentChange {
        base_version: previous_version,
        assignments: table.changes_since(&previous.table),
        recorded_at: Instant::now(),
    });
    let recorded = RecordedAssignments {
        version,
        table: Rc::new(table.clone()),
        last_change: change,
    };
    all_recorded.insert(service.clone(), recorded);
}

/// Releases the leader's row before a shutdown, if this instance leads.
pub async fn resign(context: &Context) {
    if context.is_leader() {
        release_row(context, "instance stops").await;
    }
}

/// Releases the leader's row and notifies the strongest member that it can claim it.
pub async fn release_row(context: &Context, reason: &str) {
    let guard = context.write_lock.lock().await;
    let version = context.election.borrow().row_version();
    // No grant starts from here on. Those in flight end first, as the row states when all expire.
    context.election.borrow_mut().step_down();
    context.leader_since.set(None);
    let deadline = Instant::now() + GRANTS_TIMEOUT;
    while context.leader_state.borrow().has_grant_in_flight() && Instant::now() < deadline {
        sleep(GRANTS_POLL_INTERVAL).await;
    }
    let checks = [check(ROW_KEY, version)];
    let timestamp = timestamp_to_write(context, clock::local_time());
    let writes = [new_row(context, timestamp, Some(own_grants_end(context)))];
    let result = commit(context, &checks, &writes).await;
    drop(guard);
    let detail = match result {
        Ok(_) => reason.to_owned(),
        Err(error) => format!("{reason}, row not released: {error}"),
    };
    context.record_event(events::LEADERSHIP_LOST, detail);
    if let Some(successor) = peer_reports::find_successor(context) {
        datagram::try_send(context, &Message::LeadershipOffer, successor.address);
    }
}
