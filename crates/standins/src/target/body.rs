//! Body of an answer, whole or cut short.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body that breaks off after the first half if it is cut.
pub struct AnswerBody {
    whole: usize,
    data: Option<Bytes>,
    cut: bool,
}

impl AnswerBody {
    /// Creates a body.
    pub fn new(data: Bytes, cut: bool) -> Self {
        Self {
            whole: data.len(),
            data: (!data.is_empty()).then_some(data),
            cut,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let cut = self.cut;
        match self.data.take() {
            Some(data) if cut => Poll::Ready(Some(Ok(Frame::data(data.slice(..data.len() / 2))))),
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None if cut => Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into()))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.cut
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.whole as u64)
    }
}

/// Collects a request's body.
pub(super) async fn collect(body: hyper::body::Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}
