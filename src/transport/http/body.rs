//! Bodies of responses to callers.

use {
    crate::transport::http::outbox::Receiver,
    hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint},
    std::{
        collections::VecDeque,
        io,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A buffered body, or a stream that ends when its sender is dropped. An error
/// aborts the connection, so that a truncated response does not look complete.
#[derive(Debug)]
pub enum Body {
    Stream(Receiver),
    Buffered(VecDeque<Bytes>),
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
        Self::blocks([bytes.into()])
    }

    /// Builds a body from blocks in memory.
    pub fn blocks(blocks: impl IntoIterator<Item = Bytes>) -> Self {
        let blocks = blocks.into_iter();
        Self::Buffered(blocks.filter(|block| !block.is_empty()).collect())
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
                .poll(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Buffered(blocks) => {
                Poll::Ready(blocks.pop_front().map(|block| Ok(Frame::data(block))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Stream(_) => false,
            Self::Buffered(blocks) => blocks.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Stream(_) => SizeHint::default(),
            Self::Buffered(blocks) => {
                SizeHint::with_exact(blocks.iter().map(|block| block.len() as u64).sum())
            }
        }
    }
}
