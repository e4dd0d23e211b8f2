//! Graceful shutdown that lets requests in progress finish.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        lead::row_writer,
        serve::server::CallerConnections,
    },
    cowslip_decide::shutdown::Shutdown,
    std::time::Duration,
    tokio::{
        signal::unix::Signal,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

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
    let shutdown = Shutdown::begin(Instant::now(), context.bounds.borrow().grace);
    context.shutdown.send_replace(Some(shutdown));
    context
        .events
        .record(events::SHUTDOWN_STARTED, EventFields::default());
    row_writer::resign(context).await;
    sleep_until(shutdown.accept_until()).await;
    accept_task.abort();
    connections.close_idle();
    // A request can outlive its caller's connection, as non-idempotent ones run to their end.
    while Instant::now() < shutdown.exit_at()
        && (connections.open_count() > 0 || context.active_requests.get() > 0)
    {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let detail = format!("{} requests in progress", context.active_requests.get());
    context.record_event(events::SHUTDOWN_FINISHED, detail);
}
