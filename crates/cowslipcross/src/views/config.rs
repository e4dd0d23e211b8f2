//! The operators' configuration and their withdrawals of data centres.

use {
    crate::{context::Context, events, serve::route::Routes, views::store_health::StoreHealth},
    cowslip_adapter::{
        Error,
        config::Config,
        store::{OPERATOR_TABLE, OperatorRow, Row},
    },
    cowslip_decide::names::Name,
    std::{collections::btree_map::Entry, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Longest wait of one call for a change, where nobody else would tell of one; a connection that
/// has gone silent is noticed after this and [`LIMIT`].
const WAIT: Duration = Duration::from_millis(2400);
/// Longest wait of one that hears a leader, which tells of changes.
const LED_WAIT: Duration = Duration::from_secs(28);
/// Longest time for an answer of the store.
const LIMIT: Duration = Duration::from_millis(500);
/// Period in which a long wait is looked after.
const CHECK: Duration = Duration::from_secs(1);
/// Time within which a change that others know comes by the call that waits for it.
const LAG: Duration = Duration::from_millis(250);

/// Follows the operators' rows for ever.
pub async fn watch_config(context: Rc<Context>) {
    let mut version = None;
    let mut health = StoreHealth::default();
    loop {
        let read = match version {
            None => whole(&context).await.map(Some),
            Some(version) => tokio::select! {
                read = next(&context, version) => read,
                // What the call would bring is read at once, on another connection.
                () = abandoned(&context) => Ok(None),
            },
        };
        health.record_call(&context, "configuration", read.as_ref().err());
        match read {
            Ok(next) => {
                context.config_confirmed.set(Some(Instant::now()));
                version = next;
            }
            Err(_) => health.wait_to_retry(&context).await,
        }
    }
}

/// Waits for changes after a version; returns the next one, or `None` to read everything.
async fn next(context: &Context, version: u64) -> Result<Option<u64>, Error> {
    let wait = if context.is_follower() {
        LED_WAIT
    } else {
        WAIT
    };
    let changes = context
        .watch_store
        .read_changes(OPERATOR_TABLE, version, wait, LIMIT);
    let Some(rows) = changes.await? else {
        return Ok(None);
    };
    rows.rows.iter().for_each(|row| apply(context, row));
    Ok(Some(rows.store_version.max(version)))
}

/// Returns when the call that waits has missed a change, or nobody would tell of one any more.
async fn abandoned(context: &Context) {
    let begun = Instant::now();
    loop {
        // Either it is time to look, or others know a change.
        let _ = timeout(CHECK, context.config_stale.notified()).await;
        if context.is_config_stale() {
            sleep(LAG).await;
        }
        let alone = !context.is_follower() && begun.elapsed() > WAIT + LIMIT;
        if alone || context.is_config_stale() {
            return;
        }
    }
}

/// Reads all of the operators' rows; what is not there any more is taken back.
async fn whole(context: &Context) -> Result<u64, Error> {
    let rows = context
        .watch_store
        .read_table(OPERATOR_TABLE, LIMIT)
        .await?;
    let named = |row: &Row| match OperatorRow::from_key(&row.key) {
        OperatorRow::Withdrawn(data_centre) => Some(Name::from(data_centre)),
        _ => None,
    };
    let withdrawn: Vec<Name> = rows.rows.iter().filter_map(named).collect();
    let former: Vec<Name> = context.withdrawn.borrow().keys().cloned().collect();
    for data_centre in former.iter().filter(|it| !withdrawn.contains(it)) {
        restore(context, data_centre);
    }
    rows.rows.iter().for_each(|row| apply(context, row));
    Ok(rows.store_version)
}

fn apply(context: &Context, row: &Row) {
    let last = context.operator_version.get();
    context.operator_version.set(last.max(row.version));
    match (OperatorRow::from_key(&row.key), &row.value) {
        (OperatorRow::Config, Some(body)) => configure(context, body),
        (OperatorRow::Withdrawn(data_centre), Some(_)) => withdraw(context, data_centre.into()),
        (OperatorRow::Withdrawn(data_centre), None) => restore(context, &data_centre.into()),
        _ => {}
    }
}

/// Puts a configuration in force unless the one at hand is as new.
fn configure(context: &Context, body: &[u8]) {
    let config = match Config::try_from(body) {
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
    *context.routes.borrow_mut() = Rc::new(Routes::from(&config));
    *context.config.borrow_mut() = Some(Rc::new(config));
    context.record_event(events::CONFIG_APPLIED, detail);
    context.routing_changed.notify_waiters();
    context.leader_work.notify_one();
}

fn withdraw(context: &Context, data_centre: Name) {
    let mut withdrawn = context.withdrawn.borrow_mut();
    if let Entry::Vacant(entry) = withdrawn.entry(data_centre) {
        context.record_event(events::DATA_CENTRE_WITHDRAWN, entry.key().to_string());
        entry.insert(Instant::now());
    }
    context.leader_work.notify_one();
}

fn restore(context: &Context, data_centre: &Name) {
    if context.withdrawn.borrow_mut().remove(data_centre).is_some() {
        context.record_event(events::DATA_CENTRE_RESTORED, data_centre.to_string());
    }
    context.leader_work.notify_one();
    context.routing_changed.notify_waiters();
}
