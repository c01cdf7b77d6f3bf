//! Bodies of responses to callers.

use {
    hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::Receiver,
};

/// A buffered body, or a stream that ends when its sender is dropped. An error
/// aborts the connection, so that a truncated response does not look complete.
#[derive(Debug)]
pub enum Body {
    Stream(Receiver<io::Result<Bytes>>),
    Buffered(Option<Bytes>),
}

/// A body with a guard that is dropped with it, once the body was sent or its
/// connection has closed.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Attaches a guard to a body.
    pub fn new(body: Body, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body {
    /// Builds a body from bytes in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Some(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Buffered(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|bytes| !bytes.is_empty())
                    .map(|bytes| Ok(Frame::data(bytes))),
            ),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Stream(_) => false,
            Self::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Stream(_) => SizeHint::default(),
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
        }
    }
}
