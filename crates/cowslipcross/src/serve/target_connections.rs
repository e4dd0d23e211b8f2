//! The connections to one run of a target, and what its answers told.

use {
    crate::serve::exchange::RequestBody,
    cowslip_adapter::{headers::Load, targets::TargetReport},
    cowslip_decide::{limits::TokenBucket, service_time::ServiceTime},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::{JoinHandle, spawn_local},
        time::{Instant, timeout},
    },
};

/// Longest time for a connection to open.
const OPENING: Duration = Duration::from_millis(350);
/// Time after which bytes that nobody acknowledged end the connection: it has gone silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Idle time after which a connection is not used again, where the target names none.
const IDLE: Duration = Duration::from_secs(7);
/// Part of the target's own idle time for which a connection is used again.
const IDLE_SHARE: f64 = 0.7;
/// Time for which a target that took no connection is avoided.
const AVOIDED: Duration = Duration::from_millis(800);

/// An open connection; it closes when this is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    idle: Duration,
    since: Instant,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The target has as many connections of this instance as it may have.
    LimitReached,
    /// The target did not take it.
    Failed,
}

/// The connections to one run of a target.
#[derive(Debug)]
pub struct TargetConnections {
    /// Address.
    pub address: SocketAddr,
    /// Run of the target.
    pub incarnation: u64,
    /// Requests of this instance at the target.
    pub in_flight: Cell<u32>,
    /// Load that the target told last, and when.
    pub load: Cell<Option<(Load, Instant)>>,
    /// Average time of its answers.
    pub service_time: Cell<ServiceTime>,
    /// Limit of this instance while the target is cold.
    pub cold_tokens: RefCell<TokenBucket>,
    /// Until when the target is avoided.
    pub avoid_until: Cell<Option<Instant>>,
    idle: RefCell<Vec<Connection>>,
    open: Cell<u32>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl TargetConnections {
    /// Creates a line without connections.
    pub fn new(target: &TargetReport, now: Instant) -> Self {
        Self {
            address: target.address,
            incarnation: target.incarnation,
            in_flight: Cell::new(0),
            load: Cell::new(None),
            service_time: Cell::default(),
            cold_tokens: RefCell::new(TokenBucket::new(rand::random(), now)),
            avoid_until: Cell::new(None),
            idle: RefCell::default(),
            open: Cell::new(0),
        }
    }

    /// Returns whether it leads to this run of the target.
    pub fn is_for(&self, target: &TargetReport) -> bool {
        self.address == target.address && self.incarnation == target.incarnation
    }

    /// Returns whether the target took no connection of late.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.get().is_some_and(|until| until > now)
    }

    /// Takes an idle connection that is still good.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|link| {
            let good = !link.sender.is_closed() && now - link.since < link.idle;
            if !good {
                self.open.set(self.open.get().saturating_sub(1));
            }
            good
        });
        idle.pop()
    }

    /// Opens a connection if there are fewer than `most`.
    ///
    /// # Errors
    /// Says whether the target failed to take it.
    pub async fn open(&self, most: u32) -> Result<Connection, ConnectError> {
        if self.open.get() >= most {
            return Err(ConnectError::LimitReached);
        }
        self.open.set(self.open.get() + 1);
        let opened = timeout(OPENING, connect(self.address)).await;
        match opened {
            Ok(Ok(link)) => {
                self.avoid_until.set(None);
                Ok(link)
            }
            _ => {
                self.count_closed();
                self.avoid_until.set(Some(Instant::now() + AVOIDED));
                Err(ConnectError::Failed)
            }
        }
    }

    /// Takes a connection back whose answer was whole.
    pub fn return_idle(&self, mut link: Connection, limit: Option<Duration>) {
        if let Some(limit) = limit {
            link.idle = limit.mul_f64(IDLE_SHARE);
        }
        link.since = Instant::now();
        self.idle.borrow_mut().push(link);
    }

    /// Counts the end of a connection that is not kept.
    pub fn count_closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Returns how slow the target's last answer told it to be; 1 is as usual.
    pub fn slowdown(&self) -> Option<f64> {
        let (load, _) = self.load.get()?;
        Some(f64::from(load.slowdown_percent) / 100.0)
    }

    /// Takes the time of an answer.
    pub fn record_service_time(&self, time: Duration) {
        let mut pace = self.service_time.get();
        pace.record(time);
        self.service_time.set(pace);
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The sender tells of the end of the connection.
    let driver = spawn_local(async move { drop(driver.await) });
    Ok(Connection {
        sender,
        driver,
        idle: IDLE,
        since: Instant::now(),
    })
}
