//! A connection that writes only under a lease and counts the bytes that passed.

use {
    cowslip_decide::duty::LeaseEnd,
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::Instant,
    },
};

/// Lease of this instance, shared by every connection.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<Mutex<LeaseEnd>>);

impl Lease {
    /// Replaces the end of the lease.
    pub fn set(&self, end: LeaseEnd) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = end;
    }

    /// Returns whether this instance may send at this moment.
    pub fn is_valid(&self) -> bool {
        let end = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        end.is_some_and(|end| Instant::now() < end)
    }
}

/// Bytes that passed a connection, and whether it may still write.
#[derive(Debug, Default)]
pub struct Meter {
    written: AtomicU64,
    read: AtomicU64,
    closed: AtomicBool,
}

impl Meter {
    /// Returns the bytes handed to the system so far.
    pub fn written(&self) -> u64 {
        self.written.load(Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn read(&self) -> u64 {
        self.read.load(Relaxed)
    }

    /// Forbids every further write, so that the count of written bytes is final.
    pub fn close(&self) {
        self.closed.store(true, Relaxed);
    }
}

/// A stream whose every write needs a valid lease.
///
/// The lease is read right before the bytes go to the system: a pause of the process between an
/// earlier check and the write ends in a refusal of the write, not in a late request.
#[derive(Debug)]
pub struct Gate {
    stream: TcpStream,
    meter: Arc<Meter>,
    lease: Option<Lease>,
}

impl Gate {
    /// Returns the gate of a stream; `lease` is `None` for what needs none, such as probes.
    pub fn new(stream: TcpStream, meter: Arc<Meter>, lease: Option<Lease>) -> Self {
        Self {
            stream,
            meter,
            lease,
        }
    }

    fn check(&self) -> io::Result<()> {
        if self.meter.closed.load(Relaxed) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if self.lease.as_ref().is_some_and(|lease| !lease.is_valid()) {
            return Err(ErrorKind::PermissionDenied.into());
        }
        Ok(())
    }

    fn count(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &wrote {
            self.meter.written.fetch_add(*bytes as u64, Relaxed);
        }
        wrote
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &polled {
            let bytes = buf.filled().len() - before;
            self.meter.read.fetch_add(bytes as u64, Relaxed);
        }
        polled
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "gate_tests.rs"]
mod gate_tests;
