//! The connections to one run of a target, and what its answers told.

use {
    crate::serve::exchange::Body,
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
pub struct Link {
    /// Sends requests on it.
    pub sender: SendRequest<Body>,
    driver: JoinHandle<()>,
    idle: Duration,
    since: Instant,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLink {
    /// The target has as many connections of this instance as it may have.
    Full,
    /// The target did not take it.
    Failed,
}

/// The connections to one run of a target.
#[derive(Debug)]
pub struct Line {
    /// Address.
    pub address: SocketAddr,
    /// Run of the target.
    pub born: u64,
    /// Requests of this instance at the target.
    pub running: Cell<u32>,
    /// Load that the target told last, and when.
    pub load: Cell<Option<(Load, Instant)>>,
    /// Average time of its answers.
    pub pace: Cell<ServiceTime>,
    /// Limit of this instance while the target is cold.
    pub tokens: RefCell<TokenBucket>,
    /// Until when the target is avoided.
    pub avoid: Cell<Option<Instant>>,
    idle: RefCell<Vec<Link>>,
    open: Cell<u32>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Line {
    /// Creates a line without connections.
    pub fn new(target: &TargetReport, now: Instant) -> Self {
        Self {
            address: target.address,
            born: target.incarnation,
            running: Cell::new(0),
            load: Cell::new(None),
            pace: Cell::default(),
            tokens: RefCell::new(TokenBucket::new(rand::random(), now)),
            avoid: Cell::new(None),
            idle: RefCell::default(),
            open: Cell::new(0),
        }
    }

    /// Returns whether it leads to this run of the target.
    pub fn is_to(&self, target: &TargetReport) -> bool {
        self.address == target.address && self.born == target.incarnation
    }

    /// Returns whether the target took no connection of late.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid.get().is_some_and(|until| until > now)
    }

    /// Takes an idle connection that is still good.
    pub fn reuse(&self) -> Option<Link> {
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
    pub async fn open(&self, most: u32) -> Result<Link, NoLink> {
        if self.open.get() >= most {
            return Err(NoLink::Full);
        }
        self.open.set(self.open.get() + 1);
        let opened = timeout(OPENING, connect(self.address)).await;
        match opened {
            Ok(Ok(link)) => {
                self.avoid.set(None);
                Ok(link)
            }
            _ => {
                self.closed();
                self.avoid.set(Some(Instant::now() + AVOIDED));
                Err(NoLink::Failed)
            }
        }
    }

    /// Takes a connection back whose answer was whole.
    pub fn keep(&self, mut link: Link, limit: Option<Duration>) {
        if let Some(limit) = limit {
            link.idle = limit.mul_f64(IDLE_SHARE);
        }
        link.since = Instant::now();
        self.idle.borrow_mut().push(link);
    }

    /// Counts the end of a connection that is not kept.
    pub fn closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Returns how slow the target's last answer told it to be; 1 is as usual.
    pub fn slowness(&self) -> Option<f64> {
        let (load, _) = self.load.get()?;
        Some(f64::from(load.slowdown_percent) / 100.0)
    }

    /// Takes the time of an answer.
    pub fn answered(&self, time: Duration) {
        let mut pace = self.pace.get();
        pace.record(time);
        self.pace.set(pace);
    }
}

async fn connect(address: SocketAddr) -> io::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The sender tells of the end of the connection.
    let driver = spawn_local(async move { drop(driver.await) });
    Ok(Link {
        sender,
        driver,
        idle: IDLE,
        since: Instant::now(),
    })
}
