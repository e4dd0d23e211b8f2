//! A stop that cuts nothing in flight.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        lead::seat,
        serve::server::CallerConnections,
    },
    std::time::Duration,
    tokio::{
        signal::unix::Signal,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time for which new connections are taken after the signal: the platform notices in two seconds.
const ACCEPTING: Duration = Duration::from_millis(2600);
/// Time before the process would be killed at which it ends by itself.
const MARGIN: Duration = Duration::from_millis(250);
/// Period in which the stop looks whether everything has ended.
const CHECK: Duration = Duration::from_millis(20);

/// Waits for the signal, then serves on until callers have left.
pub async fn drain_after_signal(
    mut signal: Signal,
    context: &Context,
    conns: &CallerConnections,
    accepting: JoinHandle<()>,
) {
    signal.recv().await;
    let begun = Instant::now();
    let end = begun + context.bounds.borrow().grace.saturating_sub(MARGIN);
    context.stopping_since.set(Some(begun));
    context
        .events
        .record(events::SHUTDOWN_STARTED, EventFields::default());
    seat::resign(context).await;
    sleep_until(end.min(begun + ACCEPTING)).await;
    accepting.abort();
    conns.close_idle();
    while Instant::now() < end && (conns.open_count() > 0 || context.active_requests.get() > 0) {
        sleep(CHECK).await;
    }
    let detail = format!("{} requests in progress", context.active_requests.get());
    context.record_event(events::SHUTDOWN_FINISHED, detail);
}
