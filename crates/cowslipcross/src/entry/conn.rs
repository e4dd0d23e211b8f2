//! Bounds on what a caller's connection may do before a request is whole.

use {
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep_until},
    },
};

/// Answer to a request whose head took too long.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    cowslip-verdict: not-run\r\ncowslip-reason: bad-request\r\ncontent-length: 0\r\n\r\n";
/// Answer to a request whose head is too long.
const LONG_HEAD: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\
    cowslip-verdict: not-run\r\ncowslip-reason: bad-request\r\ncontent-length: 0\r\n\r\n";

/// No request is under way, or its head is not whole.
const READING: u8 = 0;
/// A request is being handled.
const HANDLING: u8 = 1;
/// An answer is being written.
const ANSWERING: u8 = 2;

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time from the first byte of a head to its last.
    pub head: Duration,
    /// Longest time without a request.
    pub idle: Duration,
    /// Longest head, in bytes.
    pub bytes: usize,
}

/// Open connections by the caller's address.
#[derive(Debug, Default)]
pub struct Conns(Mutex<BTreeMap<SocketAddr, Arc<AtomicU8>>>);

/// A caller's connection, closed when a bound is passed.
#[derive(Debug)]
pub struct Guard {
    stream: TcpStream,
    bounds: Bounds,
    conns: Arc<Conns>,
    peer: SocketAddr,
    phase: Arc<AtomicU8>,
    /// Time of the first byte of a head that is not whole.
    first: Option<Instant>,
    /// Bytes of that head.
    seen: usize,
    /// Time of the last byte in either direction.
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Conns {
    /// Returns how many connections are open.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns how many connections have a request or an answer under way.
    pub fn busy(&self) -> usize {
        self.lock()
            .values()
            .filter(|phase| phase.load(Ordering::Relaxed) != READING)
            .count()
    }

    /// Marks the connection of `peer` as having the whole head of a request.
    pub fn begin(&self, peer: SocketAddr) {
        self.mark(peer, HANDLING);
    }

    /// Marks the connection of `peer` as having an answer to write.
    pub fn end(&self, peer: SocketAddr) {
        self.mark(peer, ANSWERING);
    }

    fn mark(&self, peer: SocketAddr, phase: u8) {
        if let Some(mark) = self.lock().get(&peer) {
            mark.store(phase, Ordering::Relaxed);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Arc<AtomicU8>>> {
        self.0.lock().unwrap_or_else(|poison| poison.into_inner())
    }
}

impl Guard {
    /// Wraps a connection that was just accepted.
    ///
    /// # Errors
    ///
    /// Fails if the caller's address cannot be read because it has gone already.
    pub fn new(stream: TcpStream, bounds: Bounds, conns: Arc<Conns>) -> io::Result<Self> {
        let peer = stream.peer_addr()?;
        stream.set_nodelay(true)?;
        let phase = Arc::new(AtomicU8::new(READING));
        conns.lock().insert(peer, phase.clone());
        let now = Instant::now();
        let timer = Box::pin(sleep_until(now + bounds.head.min(bounds.idle)));
        Ok(Self {
            stream,
            bounds,
            conns,
            peer,
            phase,
            first: None,
            seen: 0,
            last: now,
            timer,
        })
    }

    /// Returns when the connection passes a bound, if nothing more arrives.
    fn expiry(&self) -> Option<Instant> {
        if self.phase.load(Ordering::Relaxed) != READING {
            return None;
        }
        match self.first {
            Some(first) => Some(first + self.bounds.head),
            None => Some(self.last + self.bounds.idle),
        }
    }

    /// Notes bytes of a head; refuses one that is too long.
    fn note(&mut self, bytes: usize) -> io::Result<()> {
        self.last = Instant::now();
        if self.phase.load(Ordering::Relaxed) != READING {
            self.first = None;
            self.seen = 0;
            return Ok(());
        }
        self.first.get_or_insert(self.last);
        self.seen += bytes;
        if self.seen > self.bounds.bytes {
            return Err(self.refuse(LONG_HEAD, "head too long"));
        }
        Ok(())
    }

    /// Answers without the HTTP library, which cannot answer half a request.
    fn refuse(&self, answer: &[u8], why: &'static str) -> io::Error {
        // The caller may have gone; the connection is closed in any case.
        let _ = self.stream.try_write(answer);
        io::Error::new(io::ErrorKind::TimedOut, why)
    }

    /// Waits for the next bound while nothing arrives.
    fn poll_bound(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            match self.expiry() {
                Some(end) if end <= now && self.first.is_some() => {
                    return Poll::Ready(Err(self.refuse(SLOW_HEAD, "head too slow")));
                }
                Some(end) if end <= now => {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Some(end) => self.timer.as_mut().reset(end),
                None => self.timer.as_mut().reset(now + self.bounds.head),
            }
        }
        Poll::Pending
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.conns.lock().remove(&self.peer);
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buf)?.is_pending() {
            return self.poll_bound(cx);
        }
        self.note(buf.filled().len() - before)?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() && self.phase.load(Ordering::Relaxed) == ANSWERING {
            self.phase.store(READING, Ordering::Relaxed);
            self.last = Instant::now();
            self.first = None;
            self.seen = 0;
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
