//! A TCP stream that counts the bytes that pass through it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes and calls of one proxy's conversation with discovery.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes that the proxy sent.
    pub from_proxy: AtomicU64,
    /// Bytes that the proxy was sent.
    pub to_proxy: AtomicU64,
    /// Calls that it made.
    pub calls: AtomicU64,
}

impl Traffic {
    /// Bytes both ways so far.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.from_proxy.load(Ordering::Relaxed) + self.to_proxy.load(Ordering::Relaxed)
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

/// Which end of the connection a [`CountedStream`] is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// What is read comes from the proxy.
    Discovery,
    /// What is read goes to the proxy.
    Proxy,
}

/// A stream whose bytes count as a proxy's traffic.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
    side: Side,
}

impl CountedStream {
    /// Counts what passes through `stream` from now on.
    #[must_use]
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>, side: Side) -> Self {
        Self {
            stream,
            traffic,
            side,
        }
    }

    /// The stream itself.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn counter(&self, read: bool) -> &AtomicU64 {
        if read == (self.side == Side::Discovery) {
            &self.traffic.from_proxy
        } else {
            &self.traffic.to_proxy
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.counter(true).fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.counter(false)
                .fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(written)) = polled {
            self.counter(false)
                .fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
