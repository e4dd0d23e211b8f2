//! A caller's connection that knows what it is used for, and refuses a request for whose head or body there is no
//! memory.

use {
    crate::serve::refused_connection,
    cowslip_adapter::metered_stream::MeteredStream,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        task::spawn_local,
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
    /// The body of a request is being read.
    ReadsBody,
    /// A request that is whole is being handled.
    HandlesRequest,
    /// There was no memory for a request, so that the connection ends.
    Refused,
}

/// Shared with the handler of requests, which sets it when a request begins and ends.
pub type SharedUsage = Rc<Cell<Usage>>;

/// A connection that tracks its usage.
pub struct CallerStream {
    /// `None` once a request was refused for want of memory.
    stream: Option<MeteredStream>,
    usage: SharedUsage,
    /// Whether a part of a response is still to be sent.
    is_sending: bool,
}

impl CallerStream {
    /// Tracks the usage of a connection.
    pub fn new(stream: MeteredStream, usage: SharedUsage) -> Self {
        Self {
            stream: Some(stream),
            usage,
            is_sending: false,
        }
    }

    /// Ends the connection for want of memory, and tells the caller that its request has not run.
    fn refuse(&mut self) {
        self.usage.set(Usage::Refused);
        let stream = self.stream.take().filter(|_| !self.is_sending);
        if let Some(stream) = stream {
            spawn_local(refused_connection::refuse(stream.into_inner()));
        }
    }

    /// Keeps whether a response of so many bytes was sent whole.
    fn record_write(&mut self, bytes: usize, written: &Poll<io::Result<usize>>) {
        self.is_sending = !matches!(written, Poll::Ready(Ok(count)) if *count == bytes);
    }

    fn open_stream(&mut self) -> io::Result<Pin<&mut MeteredStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let usage = self.usage.get();
        let mut stream = self.open_stream()?;
        // A request that is whole may be running, so that its connection is kept whatever it takes.
        stream.enforce(usage != Usage::HandlesRequest);
        // A body is taken out of the buffer piece by piece, only a head is kept there.
        if matches!(usage, Usage::ReadsBody | Usage::HandlesRequest) {
            stream.mark_taken();
        }
        let read = stream.poll_read(task, buffer);
        if let Poll::Ready(Err(error)) = &read
            && error.kind() == io::ErrorKind::OutOfMemory
        {
            self.refuse();
        }
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
        let written = self.open_stream()?.poll_write(task, bytes);
        self.record_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.open_stream()?.poll_write_vectored(task, slices);
        let bytes = slices.iter().map(|it| it.len()).sum();
        self.record_write(bytes, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(MeteredStream::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open_stream()?.poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.open_stream()?.poll_shutdown(task)
    }
}
