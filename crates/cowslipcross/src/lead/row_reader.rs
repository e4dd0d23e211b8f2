//! Reads of the router's own table: the leader's row and the assignments.

use {
    crate::{
        clock,
        context::{Context, LEASE_TTL},
        events,
        lead::{
            assignment_rows::{self, OWNERS_PREFIX},
            command_sender,
            leader_row::{LeaderRowValue, ROW_KEY},
        },
        store_calls,
        views::{recorded_assignments::RecordedAssignments, store_era},
    },
    cowslip_adapter::{
        Error,
        store::{Row, RowSet},
    },
    cowslip_decide::{
        election::{LeaderRow, LocalTime, StoreTimestamp},
        names::StoreVersion,
        owners::{AssignmentTable, TargetIncarnation, max_grant_lifetime},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Reads the router's own table and applies its rows; returns whether the store answered.
pub async fn refresh_router_table(context: &Context) -> bool {
    let _guard = context.write_lock.lock().await;
    let sent_at = clock::local_time();
    let store = &context.router_store;
    let result = store_calls::timed(context, |timeout| {
        store.read_router_table(context.era(), timeout)
    })
    .await;
    context.metrics.count_store_call("owners", result.is_ok());
    context.set_store_reachable(result.is_ok());
    let rows = match result {
        Ok(rows) => rows,
        Err(error) => {
            observe_restoration(context, &error);
            return false;
        }
    };
    store_era::observe(context, rows.store_version.era);
    apply_leader_row(context, &rows, sent_at);
    for row in &rows.rows {
        if let Some(service) = row.key.strip_prefix(OWNERS_PREFIX) {
            apply_assignments(context, service, row, &rows.rows);
        }
    }
    true
}

/// Follows the era that an error tells, if the store has been restored.
pub fn observe_restoration(context: &Context, error: &Error) {
    if let Error::Restored { era } = error {
        store_era::observe(context, *era);
    }
}

/// Returns the time of the store's clock from a response; records why if there is none, as no instance can
/// lead without it.
pub fn known_store_time(
    context: &Context,
    store_time: &cowslip_adapter::Result<Duration>,
) -> Option<Duration> {
    match store_time {
        Ok(time) => Some(*time),
        Err(error) => {
            context.record_event(events::STORE_TIME_UNKNOWN, error.to_string());
            None
        }
    }
}

/// Returns the time of the store's clock until which grants may be in force of which nothing is
/// recorded, as the leader's row does not exist: leaders of an earlier era may have sent them until
/// their leases ended. `None` when the system starts for the first time.
fn unknown_grants_end(context: &Context, store_time: Duration) -> Option<Duration> {
    if context.settings.bootstrap && context.restored_at.get().is_none() {
        return None;
    }
    // The first time in this era: grants of earlier eras can only have been sent before.
    let end = context.unknown_until.get().unwrap_or_else(|| {
        let max_ttl = context.bounds.borrow().max_ttl;
        let max_lifetime = max_grant_lifetime(max_ttl, command_sender::DELIVERY_LIMIT);
        store_time + LEASE_TTL + max_lifetime
    });
    Some(end)
}

/// Applies the leader's row from a response of the store to a call that started at `sent_at`.
pub fn apply_leader_row(context: &Context, rows: &RowSet, sent_at: LocalTime) {
    // Meanwhile another task may have learned that the store was restored.
    if rows.store_version.era < context.era() {
        return;
    }
    let row = rows.rows.iter().find(|row| row.key == ROW_KEY);
    let store_time = known_store_time(context, &rows.store_time);
    let timestamp = store_time.map(|store_time| StoreTimestamp {
        store_time,
        sent_at,
    });
    let value = row.and_then(|row| row.value.as_deref());
    let decoded: Option<LeaderRowValue> = value.and_then(|json| serde_json::from_slice(json).ok());
    let is_own_row = decoded.as_ref().is_some_and(|it| it.run == context.run_id);
    let stored = LeaderRow {
        version: row.map_or(StoreVersion::NONE, |row| row.version),
        is_own: is_own_row,
        released: decoded.as_ref().is_none_or(|it| it.run.is_empty()),
        lease_start: decoded
            .as_ref()
            .and_then(|it| it.lease_start)
            .map(Duration::from_millis),
    };
    let expiry = decoded.as_ref().and_then(|it| grants_end(context, it));
    let unknown_until = match (&decoded, store_time) {
        (Some(row), _) => row.unknown_until.map(Duration::from_millis),
        (None, Some(store_time)) => unknown_grants_end(context, store_time),
        (None, None) => context.unknown_until.get(),
    };
    context.unknown_until.set(unknown_until);
    context.observed_row.set(Some((stored.version, expiry)));
    context
        .election
        .borrow_mut()
        .apply_row(stored, clock::local_time(), timestamp);
    if let Some(leader) = decoded.filter(|_| !is_own_row) {
        context.leader_address.set(Some(leader.heartbeats));
    }
}

/// Returns the time of the store's clock after which none of a leader's grants is in force: as
/// stated in a released row, or else the latest expiry of a grant sent at the end of the lease.
fn grants_end(context: &Context, row: &LeaderRowValue) -> Option<Duration> {
    let recorded = row.grants_expire.map(Duration::from_millis);
    let max_lifetime = max_grant_lifetime(
        context.bounds.borrow().max_ttl,
        command_sender::DELIVERY_LIMIT,
    );
    recorded.or_else(|| Some(Duration::from_millis(row.lease_start?) + LEASE_TTL + max_lifetime))
}

/// Applies a service's assignments from the store unless a later version is known. The same version
/// is replaced, too, as a row contains more than heartbeats do.
fn apply_assignments(context: &Context, service: &str, row: &Row, all_rows: &[Row]) {
    let mut all_recorded = context.recorded_assignments.borrow_mut();
    let known = all_recorded.get_mut(service);
    if known.as_ref().is_some_and(|it| it.version > row.version) {
        return;
    }
    let (table, addresses) = match decode_table(service, row, all_rows) {
        Ok(decoded) => decoded,
        Err(cause) => {
            let detail = format!("assignments of {service}, version {}: {cause}", row.version);
            return context.record_event(events::ROW_INVALID, detail);
        }
    };
    let mut known_addresses = context.target_addresses.borrow_mut();
    for (owner, address) in &addresses {
        known_addresses.record(owner, *address);
    }
    drop(known_addresses);
    if let Some(same) = known.filter(|it| it.version == row.version) {
        same.table = Rc::new(table);
        return;
    }
    let detail = format!(
        "service {service}, version {}, {} assignments",
        row.version,
        table.assignments.len()
    );
    all_recorded.insert(
        service.into(),
        RecordedAssignments {
            version: row.version,
            table: Rc::new(table),
            last_change: None,
        },
    );
    drop(all_recorded);
    context.record_event(events::ASSIGNMENTS_UPDATED, detail);
    context.routing_changed.notify_waiters();
}

/// Decodes a service's assignments and the last known addresses of their owners.
fn decode_table(
    service: &str,
    row: &Row,
    all_rows: &[Row],
) -> Result<(AssignmentTable, Vec<(TargetIncarnation, SocketAddr)>), String> {
    let value = assignment_rows::decode(service, row, all_rows)?;
    let addresses = value.addresses();
    let table = AssignmentTable::try_from(value).map_err(str::to_owned)?;
    Ok((table, addresses))
}
