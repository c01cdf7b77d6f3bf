//! A TCP stream that tells an observer what is read and written.

use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Observes a stream.
pub trait Observer {
    /// Called before each read.
    ///
    /// # Errors
    ///
    /// Returns an error with which the read fails.
    fn before_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called after bytes were read.
    fn after_read(&self, bytes: usize);

    /// Called after bytes were written.
    fn after_write(&self) {}

    /// Called on a flush. The server flushes only once it has written all of its
    /// buffer.
    fn on_flush(&self) {}
}

/// A stream with an observer.
#[derive(Debug)]
pub struct ObservedStream<O> {
    observer: O,
    stream: TcpStream,
}

impl<O: Observer> ObservedStream<O> {
    /// Wraps a stream and its observer.
    pub const fn new(stream: TcpStream, observer: O) -> Self {
        Self { observer, stream }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.observer.after_write();
        }
    }
}

impl<O: Observer + Unpin> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        self.observer.before_read()?;
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;

        if bytes > 0 {
            self.observer.after_read(bytes);
        }

        result
    }
}

impl<O: Observer + Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
