//! Connections to targets.

use {
    super::{
        attempt::Body,
        desk::{Arrival, Post},
        gate::{Gate, Lease, Meter},
        site::Passage,
    },
    cowslip_decide::names::Name,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// Longest time for a connection to open.
const OPENING: Duration = Duration::from_millis(200);

/// Time after which the system gives up a connection whose bytes are not acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(600);

/// Period of the keep-alive probes of an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Requests of callers.
    Work,
    /// Grants, probes and cancellations.
    Control,
}

/// An open connection.
#[derive(Debug)]
pub struct Link {
    /// Sends on it; `None` while a request is on it.
    pub sender: Option<SendRequest<Body>>,
    /// Bytes that passed it.
    pub meter: Arc<Meter>,
    /// Ends its driver.
    pub driver: AbortHandle,
    /// Request that is on it.
    pub busy: Option<Busy>,
    /// Whether it has ended, though the end of its request is not known yet.
    pub gone: bool,
}

/// A request on a connection.
#[derive(Clone, Debug)]
pub struct Busy {
    /// Number of the request.
    pub id: u64,
    /// Time of the last byte from the target, or of the sending.
    pub since: Instant,
    /// Bytes received by then.
    pub read: u64,
    /// Whether the target was asked to cancel it because the connection may be silent.
    pub asked: bool,
    /// Whether the target has said that it has not run it and will not.
    pub unrun: bool,
    /// What the request passes under.
    pub passage: Passage,
}

impl Link {
    /// Closes the connection; a request on it ends by what had been written.
    pub fn retire(&self) {
        self.meter.close();
        self.driver.abort();
    }
}

/// Opens a connection and posts how that ended.
pub async fn open(
    target: Name,
    address: SocketAddr,
    number: u64,
    kind: Use,
    lease: Option<Lease>,
    post: Post,
) {
    let opened = timeout(OPENING, connect(address)).await;
    let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let Ok(stream) = stream else {
        return post.send(Arrival::Unopened { target, kind }).await;
    };
    let meter = Arc::new(Meter::default());
    let gate = TokioIo::new(Gate::new(stream, meter.clone(), lease));
    let Ok((sender, driver)) = http1::handshake(gate).await else {
        return post.send(Arrival::Unopened { target, kind }).await;
    };
    let (closed, name) = (post.clone(), target.clone());
    let driver = tokio::spawn(async move {
        let _ = driver.await;
        let end = Arrival::Closed {
            target: name,
            number,
        };
        closed.send(end).await;
    });
    let link = Link {
        sender: Some(sender),
        meter,
        driver: driver.abort_handle(),
        busy: None,
        gone: false,
    };
    let opened = Arrival::Opened {
        target,
        number,
        kind,
        link,
    };
    post.send(opened).await;
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE);
    socket.set_tcp_keepalive(&probes)?;
    Ok(stream)
}
