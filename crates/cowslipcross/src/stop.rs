//! Graceful shutdown that lets requests in progress finish.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        lead::row_writer,
        serve::server::CallerConnections,
    },
    std::time::Duration,
    tokio::{
        signal::unix::Signal,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time for which connections are accepted after the signal: the platform takes up to two seconds
/// to notice that the instance is not ready; the rest is a margin.
const ACCEPT_DURATION: Duration = Duration::from_millis(2600);
/// The process exits this long before the end of the grace period, at which it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Interval of the checks for open connections and requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for the signal, then serves until connections and requests have ended or the grace period
/// is nearly over.
pub async fn drain_after_signal(
    mut signal: Signal,
    context: &Context,
    connections: &CallerConnections,
    accept_task: JoinHandle<()>,
) {
    signal.recv().await;
    let started = Instant::now();
    let deadline = started + context.bounds.borrow().grace.saturating_sub(EXIT_MARGIN);
    context.stopping_since.set(Some(started));
    context
        .events
        .record(events::SHUTDOWN_STARTED, EventFields::default());
    row_writer::resign(context).await;
    sleep_until(deadline.min(started + ACCEPT_DURATION)).await;
    accept_task.abort();
    connections.close_idle();
    // A request can outlive its caller's connection, as non-idempotent ones run to their end.
    while Instant::now() < deadline
        && (connections.open_count() > 0 || context.active_requests.get() > 0)
    {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let detail = format!("{} requests in progress", context.active_requests.get());
    context.record_event(events::SHUTDOWN_FINISHED, detail);
}
