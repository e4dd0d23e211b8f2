//! Bounds the connections of operators in number and in time.

use {
    futures_util::future::{Ready, ready},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Sleep, sleep},
    },
};

/// Connections at the same time; further ones are closed at once.
const CONNECTIONS: usize = 64;

/// Longest life of a connection.
const LIFE: Duration = Duration::from_secs(60);

/// Counts the connections.
#[derive(Debug)]
pub(super) struct Bounds {
    places: Arc<Semaphore>,
}

/// A connection that ends when its time is over.
pub(super) struct Bounded {
    stream: TcpStream,
    end: Pin<Box<Sleep>>,
    _place: OwnedSemaphorePermit,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            places: Arc::new(Semaphore::new(CONNECTIONS)),
        }
    }
}

impl Bounds {
    /// Bounds a connection, or closes it if there are too many.
    pub fn wrap(&self, stream: TcpStream) -> Ready<Result<Bounded, ()>> {
        let place = self.places.clone().try_acquire_owned();
        ready(place.map_err(drop).map(|place| Bounded {
            stream,
            end: Box::pin(sleep(LIFE)),
            _place: place,
        }))
    }
}

#[cfg(test)]
#[path = "bounded_tests.rs"]
mod tests;

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.end.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.end.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
