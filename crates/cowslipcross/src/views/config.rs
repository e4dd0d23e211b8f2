//! Follows the operators' rows in the store: the configuration and withdrawals of data centres.

use {
    crate::{
        context::Context,
        events,
        serve::routes::Routes,
        store_calls,
        views::{store_era, store_health::StoreHealth, target_addresses},
    },
    cowslip_adapter::{
        Error,
        config::Config,
        store::{OPERATOR_TABLE, OperatorRow, Row},
    },
    cowslip_decide::names::{Name, StoreVersion},
    std::{collections::btree_map::Entry, future::pending, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

/// Time for which the store holds a call open to wait for a change, if no heartbeats of a leader
/// would report one. A dead connection is noticed after this and [`CALL_TIMEOUT`].
const LONG_POLL_TIME: Duration = Duration::from_millis(2400);
/// [`LONG_POLL_TIME`] of a follower; longer, as heartbeats report changes.
const FOLLOWER_LONG_POLL_TIME: Duration = Duration::from_secs(28);
/// Time within which the store has to answer, beyond the time that it may wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether a waiting call has to be abandoned.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a waiting call has to return a change after another instance reported it.
const STALE_GRACE: Duration = Duration::from_millis(250);

/// Time after a restoration of the store within which operators write again what it lacks; until
/// then, withdrawals stay in force without their rows.
const REWRITE_GRACE: Duration = Duration::from_secs(5);

/// Keeps the configuration and the withdrawals up to date; never returns.
pub async fn watch_config(context: Rc<Context>) {
    let mut version = None;
    let mut last_full = None;
    let mut health = StoreHealth::default();
    loop {
        let sent_at = Instant::now();
        let read = match version {
            None => read_all(&context).await.map(|read| {
                last_full = Some(sent_at);
                Some(read)
            }),
            Some(version) => tokio::select! {
                read = wait_for_changes(&context, version) => read,
                // The waiting call is dropped and everything is read on another connection.
                () = wait_until_stale(&context) => Ok(None),
                () = wait_for_full_read(&context, last_full) => Ok(None),
            },
        };
        health.record_call(&context, "configuration", read.as_ref().err());
        match read {
            Ok(version_read) => {
                context.config_confirmed.set(Some(Instant::now()));
                version = version_read;
            }
            Err(_) => health.wait_to_retry(&context).await,
        }
    }
}

/// Waits for changes after a version and applies them; returns the version read, or `None` if
/// everything has to be read.
async fn wait_for_changes(
    context: &Context,
    version: StoreVersion,
) -> Result<Option<StoreVersion>, Error> {
    let wait = if context.is_follower() {
        FOLLOWER_LONG_POLL_TIME
    } else {
        LONG_POLL_TIME
    };
    let changes = context
        .watch_store
        .read_changes(OPERATOR_TABLE, version, wait, CALL_TIMEOUT);
    let Some(rows) = changes.await? else {
        return Ok(None);
    };
    store_era::observe(context, rows.store_version.era);
    rows.rows.iter().for_each(|row| apply_row(context, row));
    Ok(Some(rows.store_version.max(version)))
}

/// Returns when the waiting call has missed a change, or has lasted too long while no heartbeats
/// report changes.
async fn wait_until_stale(context: &Context) {
    let started_at = Instant::now();
    loop {
        // Continues on a timeout as well as when another instance has reported a newer version.
        let _ = timeout(CHECK_INTERVAL, context.config_stale.notified()).await;
        if context.is_config_stale() {
            sleep(STALE_GRACE).await;
        }
        // A change of the leader takes less than this.
        let limit = LONG_POLL_TIME + CALL_TIMEOUT;
        let last_heartbeat = context.last_heartbeat.get();
        let is_overdue = started_at.elapsed() > limit
            && (context.is_leader() || last_heartbeat.is_none_or(|at| at.elapsed() > limit));
        if is_overdue || context.is_config_stale() {
            return;
        }
    }
}

/// Returns whether rows may be missing that operators write again after a restoration of the store.
fn is_in_grace(context: &Context) -> bool {
    let restored_at = context.restored_at.get();
    restored_at.is_some_and(|at| at.elapsed() < REWRITE_GRACE)
}

/// Returns when all rows have to be read because of a restoration of the store; never if they were.
async fn wait_for_full_read(context: &Context, last_full: Option<Instant>) {
    match full_read_due(context.restored_at.get(), last_full) {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

/// Returns when all rows have to be read after a restoration of the store: once operators have written
/// again what it lacked. The time may have passed while the store was away. `None` if the last full read
/// was sent later than that.
fn full_read_due(restored_at: Option<Instant>, last_full: Option<Instant>) -> Option<Instant> {
    let due = restored_at? + REWRITE_GRACE;
    last_full.is_none_or(|sent_at| sent_at < due).then_some(due)
}

/// Reads and applies all of the operators' rows; withdrawals that have no row any more end, except
/// during [`REWRITE_GRACE`].
async fn read_all(context: &Context) -> Result<StoreVersion, Error> {
    let store = &context.watch_store;
    let rows =
        store_calls::timed(context, |timeout| store.read_table(OPERATOR_TABLE, timeout)).await?;
    store_era::observe(context, rows.store_version.era);
    let withdrawn_name = |row: &Row| match OperatorRow::from_key(&row.key) {
        OperatorRow::Withdrawn(data_centre) => Some(Name::from(data_centre)),
        _ => None,
    };
    let withdrawn: Vec<Name> = rows.rows.iter().filter_map(withdrawn_name).collect();
    let previous: Vec<Name> = match is_in_grace(context) {
        true => Vec::new(),
        false => context.withdrawn.borrow().keys().cloned().collect(),
    };
    for data_centre in previous.iter().filter(|it| !withdrawn.contains(it)) {
        restore_data_centre(context, data_centre);
    }
    rows.rows.iter().for_each(|row| apply_row(context, row));
    Ok(rows.store_version)
}

fn apply_row(context: &Context, row: &Row) {
    let highest = context.operator_version.get();
    context.operator_version.set(highest.max(row.version));
    match (OperatorRow::from_key(&row.key), &row.value) {
        (OperatorRow::Config, Some(body)) => apply_config(context, body),
        (OperatorRow::Withdrawn(name), Some(_)) => withdraw_data_centre(context, name.into()),
        (OperatorRow::Withdrawn(name), None) => restore_data_centre(context, &name.into()),
        // A configuration stays in force when its row is deleted.
        _ => {}
    }
}

/// Applies a configuration if its version is newer than the one in force.
fn apply_config(context: &Context, body: &[u8]) {
    let mut config = match Config::try_from(body) {
        Ok(config) => config,
        Err(error) => return context.record_event(events::CONFIG_REJECTED, error.to_string()),
    };
    let known = context.config.borrow().as_ref().map(|it| it.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    for error in &config.decode_errors {
        let detail = format!("version {}: left out: {error}", config.version);
        context.record_event(events::CONFIG_REJECTED, detail);
    }
    let detail = format!("version {}, {} routes", config.version, config.routes.len());
    context.organisations.replace(&mut config);
    *context.routes.borrow_mut() = Rc::new(Routes::from(&config));
    *context.config.borrow_mut() = Some(Rc::new(config));
    context.record_event(events::CONFIG_APPLIED, detail);
    target_addresses::record_reported(context);
    context.routing_changed.notify_waiters();
    context.leader_work.notify_one();
}

fn withdraw_data_centre(context: &Context, data_centre: Name) {
    let mut withdrawn = context.withdrawn.borrow_mut();
    if let Entry::Vacant(entry) = withdrawn.entry(data_centre) {
        context.record_event(events::DATA_CENTRE_WITHDRAWN, entry.key().to_string());
        entry.insert(Instant::now());
    }
    context.leader_work.notify_one();
}

fn restore_data_centre(context: &Context, data_centre: &Name) {
    if context.withdrawn.borrow_mut().remove(data_centre).is_some() {
        context.record_event(events::DATA_CENTRE_RESTORED, data_centre.to_string());
    }
    context.leader_work.notify_one();
    context.routing_changed.notify_waiters();
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
