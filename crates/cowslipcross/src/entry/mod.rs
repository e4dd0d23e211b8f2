//! The entry duty: accepts callers' connections, classifies requests and writes answers.

pub mod answer;
pub mod classify;
pub mod conn;
mod handler;

use {
    crate::{
        context::Context,
        events::{self, About},
        ring::Ring,
        route::job::JobTicket,
    },
    conn::{Bounds, Conns, Guard},
    futures_util::future::ready,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Period in which a stop looks for requests in progress.
const STOP_CHECK: Duration = Duration::from_millis(5);

/// What the handlers of the entry duty share.
#[derive(Debug)]
pub struct Entry {
    /// What all duties share.
    pub context: Arc<Context>,
    /// Ring to the route duty.
    pub route: Ring<JobTicket>,
    /// Open connections.
    pub conns: Arc<Conns>,
    /// Requests in progress.
    pub active: AtomicUsize,
    /// Requests accepted since the start.
    pub count: AtomicU64,
}

/// Serves callers until `stop` turns true and everything in flight is answered.
pub async fn serve(
    context: Arc<Context>,
    listener: TcpListener,
    route: Ring<JobTicket>,
    mut stop: watch::Receiver<bool>,
) {
    let entry = Arc::new(Entry {
        context,
        route,
        conns: Arc::default(),
        active: AtomicUsize::new(0),
        count: AtomicU64::new(0),
    });
    tokio::select! {
        _ = accept(entry.clone(), listener) => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
    drain(&entry).await;
}

/// Accepts connections for ever.
async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    let limits = &entry.context.settings.limits;
    let bounds = Bounds {
        head: Duration::from_millis(limits.head_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
        bytes: limits.head_bytes as usize,
    };
    let most = limits.connections as usize;
    let (conns, context) = (entry.conns.clone(), entry.context.clone());
    let wrap = move |stream| {
        let count = conns.count();
        context.metrics.connections(count);
        if count >= most {
            let detail = Some(format!("{count} connections are open"));
            let about = About {
                detail,
                ..About::default()
            };
            context.events.note(events::CONNECTION_REFUSED, about);
            return ready(Err(()));
        }
        ready(Guard::new(stream, bounds, conns.clone()).map_err(drop))
    };
    gotham::bind_server(listener, handler::Handlers(entry), wrap).await;
}

/// Waits until every request in progress has its whole answer.
async fn drain(entry: &Entry) {
    while entry.active.load(Ordering::Relaxed) > 0 || entry.conns.busy() > 0 {
        sleep(STOP_CHECK).await;
    }
}
