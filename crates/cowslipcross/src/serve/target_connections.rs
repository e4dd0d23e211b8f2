//! Connections to one incarnation of a target, or to an instance that passes requests on to targets, and
//! the load that the target's responses reported.

use {
    crate::serve::{counter_guard::CounterGuard, exchange::RequestBody},
    cowslip_adapter::{
        headers::{Load, ResponseMetadata},
        http_client::MAX_READ_BUFFER_BYTES,
        metered_stream::{self, MeteredStream},
        targets::TargetReport,
    },
    cowslip_decide::{
        limits::RateLimit,
        memory_budget::{ConnectionKind, MemoryBudget, MemoryReservation},
        names::Name,
        service_time::ServiceTime,
        unsettled::{RequestIdHash, UnsettledRequests},
    },
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        io,
        mem::forget,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::{JoinHandle, spawn_local},
        time::{Instant, sleep, timeout},
    },
};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time within which a target that runs accepts a connection. The request that was lost waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Time within which a target resets a connection beyond those that it accepts; longer than the way to
/// another data centre of the region and back.
const RESET_TIME: Duration = Duration::from_micros(2_000);
/// Time without acknowledgement of sent data after which TCP closes the connection, as the target
/// does not answer any more.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time after which a connection is not reused if the target sent no `keep-alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// Part of the target's `keep-alive` timeout for which an idle connection is reused.
const IDLE_TIMEOUT_FACTOR: f64 = 0.7;
/// Time for which a target is avoided after a connection to it could not be opened.
const AVOID_DURATION: Duration = Duration::from_millis(800);

/// An open connection; closed on drop.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<RequestBody>,
    /// Which connection this is, and its requests so far.
    pub usage: ConnectionUsage,
    /// Requests that may not be sent again on the connection.
    pub unsettled: UnsettledRequests,
    driver: JoinHandle<()>,
    idle_timeout: Duration,
    idle_since: Instant,
}

/// A connection to one incarnation of a target, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Number of the connection in the order in which those to the target were opened, from 1.
    pub connection: u64,
    /// Requests that were sent on it so far.
    pub requests: u64,
}

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This instance has as many connections to the target as it may have, or no memory for another one.
    LimitReached,
    /// The target reset the connection as soon as it was open.
    Reset,
    /// Nothing listens at the address.
    Closed,
    /// The connection could not be opened for another reason.
    Failed,
}

/// Requests to a target go through other instances, as this one cannot connect to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bypass {
    /// When to try the own path again.
    pub retry_at: Instant,
}

/// What a response says of a limit on the requests of all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatement {
    /// The target takes so many requests.
    Limited(RateLimit),
    /// The target has run a request and names no limit.
    Unlimited,
}

/// Connections to one incarnation of a target.
#[derive(Debug)]
pub struct TargetConnections {
    /// Address of the target.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// This instance's requests in progress at the target.
    pub active_requests: Cell<u32>,
    /// Load that the target reported last, and when.
    pub load: Cell<Option<(Load, Instant)>>,
    /// Smoothed service time of the target.
    pub service_time: Cell<ServiceTime>,
    /// End of the time for which the target is avoided.
    pub avoid_until: Cell<Option<Instant>>,
    /// End of the time for which the target wants no requests from this instance.
    pub quiet_until: Cell<Option<Instant>>,
    /// Whether the target has announced in a response that it is about to stop.
    pub is_leaving: Cell<bool>,
    /// When a connection was opened last.
    pub opened_at: Cell<Option<Instant>>,
    /// Whether requests go through other instances, and when the own path is tried again.
    pub bypass: Cell<Option<Bypass>>,
    /// Whether it is being found out if the target can be reached.
    pub is_checked: Cell<bool>,
    /// End of the time for which no instance is asked whether it reaches the target.
    pub relay_pause: Cell<Option<Instant>>,
    /// Data centre of an instance that passes requests on; `None` until it has told.
    pub data_centre: RefCell<Option<Name>>,
    /// What the latest response says of a limit, until it is applied.
    pub limit_statement: Cell<Option<LimitStatement>>,
    budget: Arc<MemoryBudget>,
    kind: ConnectionKind,
    idle: RefCell<Vec<Connection>>,
    open_count: Cell<u32>,
    /// Connections opened so far.
    opened: Cell<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Returns whether the target has reset the connection as soon as it was open. A request that was sent
    /// meanwhile might have run for all that its sender knows.
    async fn is_reset(&self) -> bool {
        sleep(RESET_TIME).await;
        self.sender.is_closed()
    }
}

impl TargetConnections {
    /// Creates the state for a target without opening a connection; connections count against the budget.
    pub fn new(target: &TargetReport, budget: Arc<MemoryBudget>) -> Self {
        Self {
            incarnation: target.incarnation,
            kind: ConnectionKind::Target,
            ..Self::to_instance(target.address, budget)
        }
    }

    /// Creates the state for an instance that passes requests on, without opening a connection; connections count
    /// against the budget.
    pub fn to_instance(address: SocketAddr, budget: Arc<MemoryBudget>) -> Self {
        Self {
            address,
            incarnation: 0,
            budget,
            kind: ConnectionKind::Instance,
            active_requests: Cell::new(0),
            load: Cell::new(None),
            service_time: Cell::default(),
            avoid_until: Cell::new(None),
            quiet_until: Cell::new(None),
            is_leaving: Cell::new(false),
            opened_at: Cell::new(None),
            bypass: Cell::new(None),
            is_checked: Cell::new(false),
            relay_pause: Cell::new(None),
            data_centre: RefCell::default(),
            limit_statement: Cell::new(None),
            idle: RefCell::default(),
            open_count: Cell::new(0),
            opened: Cell::new(0),
        }
    }

    /// Returns whether the connections lead to the reported incarnation and address of the target.
    pub fn matches_target(&self, target: &TargetReport) -> bool {
        self.address == target.address && self.incarnation == target.incarnation
    }

    /// Returns whether a connection to the target failed to open a moment ago, and no other instance
    /// reaches it, either.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.bypass.get().is_none() && self.avoid_until.get().is_some_and(|until| until > now)
    }

    /// Records what a response tells about the target itself.
    pub fn record_notices(&self, metadata: &ResponseMetadata, now: Instant) {
        if metadata.leaving {
            self.is_leaving.set(true);
        }
        if let Some(limit) = metadata.rate_limit {
            self.limit_statement
                .set(Some(LimitStatement::Limited(limit)));
        }
        let end = metadata.quiet_period.map(|period| now + period);
        self.quiet_until.set(self.quiet_until.get().max(end));
    }

    /// Drops idle connections that are closed or past their timeout; returns one of the others on which a
    /// request with this id may be sent.
    pub fn take_idle(&self, id: RequestIdHash) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|connection| {
            let is_usable = !connection.sender.is_closed()
                && now - connection.idle_since < connection.idle_timeout;
            if !is_usable {
                self.open_count.set(self.open_count.get().saturating_sub(1));
            }
            is_usable
        });
        let usable = idle.iter().rposition(|it| it.unsettled.admits(id))?;
        Some(idle.remove(usable))
    }

    /// Opens a connection if fewer than `max_connections` are open. If not, an idle connection, on which the
    /// request may not be sent, is closed for it.
    ///
    /// # Errors
    /// Fails if the limit is reached, there is no memory for a connection, or it could not be opened.
    pub async fn open(&self, max_connections: u32) -> Result<Connection, ConnectError> {
        if self.open_count.get() >= max_connections && !self.close_oldest_idle() {
            return Err(ConnectError::LimitReached);
        }
        let reservation = metered_stream::reserve_connection(&self.budget, self.kind);
        let reservation = reservation.ok_or(ConnectError::LimitReached)?;
        // Callers may leave meanwhile, and then drop this.
        let counted = CounterGuard::new(&self.open_count);
        let opened = timeout(CONNECT_TIMEOUT, connect(self.address, reservation)).await;
        match opened {
            Ok(Ok(connection)) if connection.is_reset().await => Err(ConnectError::Reset),
            Ok(Ok(mut connection)) => {
                self.avoid_until.set(None);
                self.opened_at.set(Some(Instant::now()));
                self.opened.set(self.opened.get() + 1);
                connection.usage.connection = self.opened.get();
                // The connection counts until it is closed.
                forget(counted);
                Ok(connection)
            }
            failed => {
                self.avoid_until.set(Some(Instant::now() + AVOID_DURATION));
                match failed {
                    Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                        Err(ConnectError::Closed)
                    }
                    _ => Err(ConnectError::Failed),
                }
            }
        }
    }

    /// Opens a connection and keeps it, to learn whether the target accepts connections.
    ///
    /// # Errors
    /// Fails if the connection could not be opened.
    pub async fn check(&self) -> Result<(), ConnectError> {
        // Connections to a target that has ended may still be counted.
        let opened = timeout(CHECK_TIMEOUT, self.open(u32::MAX)).await;
        match opened.unwrap_or(Err(ConnectError::Failed)) {
            Ok(connection) => self.return_idle(connection, None),
            // Only a target that runs resets connections beyond those that it accepts.
            Err(ConnectError::Reset) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Returns whether an idle connection is open.
    pub fn has_idle(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|connection| !connection.sender.is_closed())
    }

    /// Closes the connection that has been idle for the longest time; returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return false;
        }
        idle.remove(0);
        self.count_closed();
        true
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        for _ in self.idle.borrow_mut().drain(..) {
            self.count_closed();
        }
    }

    /// Keeps a connection for reuse; `keep_alive` is the idle timeout that the target sent.
    pub fn return_idle(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if let Some(keep_alive) = keep_alive {
            connection.idle_timeout = keep_alive.mul_f64(IDLE_TIMEOUT_FACTOR);
        }
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().push(connection);
    }

    /// Removes a closed connection from the count of open ones.
    pub fn count_closed(&self) {
        self.open_count.set(self.open_count.get().saturating_sub(1));
    }

    /// Returns the slowdown that the target reported last, 1 being none; `None` before a report.
    pub fn slowdown(&self) -> Option<f64> {
        let (load, _) = self.load.get()?;
        Some(f64::from(load.slowdown_percent) / 100.0)
    }

    /// Adds the time of a response to the smoothed service time.
    pub fn record_service_time(&self, time: Duration) {
        let mut service_time = self.service_time.get();
        service_time.record(time);
        self.service_time.set(service_time);
    }
}

async fn connect(address: SocketAddr, reservation: MemoryReservation) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let stream = MeteredStream::new(stream, reservation, MAX_READ_BUFFER_BYTES);
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // An error of the connection is also reported by the sender.
    let driver = spawn_local(async move { drop(driver.await) });
    Ok(Connection {
        sender,
        usage: ConnectionUsage::default(),
        unsettled: UnsettledRequests::default(),
        driver,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        idle_since: Instant::now(),
    })
}

#[cfg(test)]
#[path = "target_connections_tests.rs"]
mod tests;
