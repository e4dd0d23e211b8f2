//! The peer duty: attempts and heartbeats between instances.

pub mod access;
pub mod convert;
pub mod link;
pub mod server;

use {
    crate::{context::Context, member::MemberEvent, ring::Ring, work::Ticket},
    access::Access,
    cowslip_decide::names::Name,
    cowslip_wire::peer::peer_server::PeerServer,
    futures_util::TryFutureExt,
    link::Links,
    server::Server,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
    },
    tonic::transport::{Endpoint, server::TcpIncoming},
};

/// Period in which a connection between instances is tested while nothing else arrives on it.
pub const PING: Duration = Duration::from_millis(100);
/// Time without any sign after which a connection between instances is closed.
pub const SILENCE: Duration = Duration::from_millis(250);

/// An attempt for the holder on another instance.
#[derive(Debug)]
pub struct Remote {
    /// Instance of the holder.
    pub to: Name,
    /// The attempt.
    pub ticket: Ticket,
}

/// Rings that the peer duty fills.
#[derive(Clone, Debug)]
pub struct Rings {
    /// Ring to the holding duty.
    pub hold: Ring<Ticket>,
    /// Ring to the member duty.
    pub member: Ring<MemberEvent>,
}

/// Returns where the peer `name` listens, by the settings.
pub fn endpoint(context: &Context, name: &str) -> Option<Endpoint> {
    let address = context.settings.peers.get(name)?;
    let connect = Duration::from_millis(context.settings.timing.connect_ms);
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    Some(
        endpoint
            .connect_timeout(connect)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING)
            .keep_alive_timeout(SILENCE)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES),
    )
}

/// Bytes that may be under way on a connection between instances.
const WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Serves peers, and sends attempts to them, until `stop` turns true.
pub async fn serve(
    context: Arc<Context>,
    listener: TcpListener,
    mut attempts: mpsc::Receiver<Remote>,
    rings: Rings,
    mut stop: watch::Receiver<bool>,
) {
    let server = Server::new(context.clone(), rings);
    let access = Access::new(&context);
    let serving = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(PING))
        .http2_keepalive_timeout(Some(SILENCE))
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .add_service(PeerServer::with_interceptor(server, move |request| {
            access.check(request)
        }))
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .unwrap_or_else(drop);
    let mut links = Links::new(context);
    let sending = async {
        while let Some(remote) = attempts.recv().await {
            links.send(remote);
        }
    };
    tokio::select! {
        _ = serving => {}
        _ = async { sending.await; std::future::pending::<()>().await } => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
