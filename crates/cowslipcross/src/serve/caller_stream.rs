//! A caller's connection that knows whether the head of a request is arriving on it.

use {
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// What a connection is used for now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Usage {
    /// Nothing has been read since the last response.
    #[default]
    Idle,
    /// Part of the head of a request has been read.
    ReadsHead,
    /// A request is being handled.
    HandlesRequest,
}

/// Shared with the handler of requests, which sets it when a request begins and ends.
pub type SharedUsage = Rc<Cell<Usage>>;

/// A connection that tracks its usage.
pub struct CallerStream {
    stream: TcpStream,
    usage: SharedUsage,
}

impl CallerStream {
    /// Tracks the usage of a connection.
    pub fn new(stream: TcpStream, usage: SharedUsage) -> Self {
        Self { stream, usage }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(task, buffer);
        if self.usage.get() == Usage::Idle && buffer.filled().len() > before {
            self.usage.set(Usage::ReadsHead);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(task, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(task, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }
}
