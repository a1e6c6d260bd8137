//! Counters of bytes and calls between a proxy and discovery.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of the traffic between one proxy and discovery, over all connections.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    bytes_from_proxy: AtomicU64,
    bytes_to_proxy: AtomicU64,
    calls: AtomicU64,
}

/// Values of [`TrafficCounters`] at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrafficTotals {
    /// Bytes sent in both directions.
    pub bytes: u64,
    /// Number of calls to discovery.
    pub calls: u64,
}

impl TrafficCounters {
    /// Counts one call to discovery.
    pub fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the bytes that the proxy has sent so far.
    #[must_use]
    pub fn bytes_from_proxy(&self) -> u64 {
        self.bytes_from_proxy.load(Ordering::Relaxed)
    }

    /// Returns the bytes that the proxy has received so far.
    #[must_use]
    pub fn bytes_to_proxy(&self) -> u64 {
        self.bytes_to_proxy.load(Ordering::Relaxed)
    }

    /// Returns the current values.
    #[must_use]
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            bytes: self.bytes_from_proxy() + self.bytes_to_proxy(),
            calls: self.calls.load(Ordering::Relaxed),
        }
    }
}

/// The side of the connection on which a [`CountingStream`] counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Discovery's side: bytes read were sent by the proxy.
    Discovery,
    /// The proxy's side: bytes read were sent by discovery.
    Proxy,
}

/// A TCP stream that adds the bytes read and written to a proxy's [`TrafficCounters`].
#[derive(Debug)]
pub struct CountingStream {
    stream: TcpStream,
    counters: Arc<TrafficCounters>,
    side: Side,
}

impl CountingStream {
    /// Wraps `stream`; bytes read or written from now on are counted.
    #[must_use]
    pub fn new(stream: TcpStream, counters: Arc<TrafficCounters>, side: Side) -> Self {
        Self {
            stream,
            counters,
            side,
        }
    }

    /// Unwraps the stream; its bytes are no longer counted.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn add_read(&self, bytes: usize) {
        let counter = match self.side {
            Side::Discovery => &self.counters.bytes_from_proxy,
            Side::Proxy => &self.counters.bytes_to_proxy,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn add_written(&self, bytes: usize) {
        let counter = match self.side {
            Side::Discovery => &self.counters.bytes_to_proxy,
            Side::Proxy => &self.counters.bytes_from_proxy,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.add_read(buffer.filled().len() - filled_before);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.add_written(written);
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
            self.add_written(written);
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
