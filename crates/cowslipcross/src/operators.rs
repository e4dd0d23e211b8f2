//! The operators' port: metrics, health, status and events, behind a token.

mod access;
mod bounded;
mod endpoints;
pub mod status;

use {
    crate::{events::Events, metrics::Metrics},
    arc_swap::ArcSwap,
    bounded::Bounds,
    cowslip_decide::names::Name,
    gotham::bind_server,
    status::Status,
    std::{
        io,
        net::TcpListener,
        sync::Arc,
        thread::{Builder, JoinHandle},
    },
    tokio::{net, runtime},
};

/// What the operators' port tells about.
#[derive(Debug)]
pub struct Sources {
    /// Secret that a request must bear.
    pub token: Name,
    /// Events of the process.
    pub events: Events,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Latest state that the other duties published.
    pub status: Arc<ArcSwap<Status>>,
}

/// Starts the duty on a listening socket; it serves until the process ends.
///
/// # Errors
/// Fails if the system gives no thread or no runtime.
pub fn start(sources: Arc<Sources>, listener: TcpListener) -> io::Result<JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = {
        let _inside = runtime.enter();
        net::TcpListener::from_std(listener)?
    };
    let router = endpoints::router(sources);
    let bounds = Bounds::default();
    Builder::new().name("operators".to_owned()).spawn(move || {
        runtime.block_on(bind_server(listener, router, move |stream| {
            bounds.wrap(stream)
        }))
    })
}
