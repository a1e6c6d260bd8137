//! The reader and writer that hyper is given for a [`Socket`]. They notify the connection of what hyper reads and
//! writes.

use super::socket::Socket;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that observes what hyper reads from its socket and writes to it.
pub(super) trait SocketObserver {
    /// Returns the connection's socket.
    fn socket(&self) -> &Socket;

    /// Reads bytes for hyper, by default from the socket.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_read(cx, buf)
    }

    /// Is called with the bytes that hyper has read.
    fn on_read(&self, bytes: &[u8]);

    /// Is called with the result of a write by hyper: the number of bytes written.
    fn on_write(&self, written: &Poll<io::Result<usize>>);
}

/// Reads and writes the socket of a connection for hyper.
pub(super) struct SocketIo<C>(Rc<C>);

impl<C: SocketObserver> SocketIo<C> {
    pub(super) fn new(connection: &Rc<C>) -> Self {
        Self(Rc::clone(connection))
    }
}

impl<C: SocketObserver> AsyncRead for SocketIo<C> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(self.0.poll_read(cx, buf))?;
        let read = &buf.filled()[filled_before..];
        if !read.is_empty() {
            self.0.on_read(read);
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: SocketObserver> AsyncWrite for SocketIo<C> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.0.socket();
        let written = socket.poll_write(cx, |stream| stream.try_write(buf));
        self.0.on_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.0.socket();
        let written = socket.poll_write(cx, |stream| stream.try_write_vectored(bufs));
        self.0.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket().end_sending())
    }
}
