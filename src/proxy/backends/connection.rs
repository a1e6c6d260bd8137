//! One connection to a backend: connecting, and the number of bytes written to its socket.

use super::error::BackendError;
use super::repeated_response::{Fingerprint, RecentResponses};
use super::stray_bytes::StrayBytes;
use crate::proxy::bodies::RequestBody;
use crate::proxy::budget::{Budget, SocketGuard, SocketUse};
use crate::proxy::counters::Counters;
use crate::proxy::dial::connect;
use crate::proxy::size_limits::MAX_BACKEND_HEAD_BYTES;
use crate::proxy::socket::{Socket, Unread};
use crate::proxy::socket_io::{SocketIo, SocketObserver};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// The state of the exchange on a connection.
#[derive(Clone, Copy)]
enum ExchangeState {
    /// No request has been in flight since then; bytes that arrive belong to no request.
    Idle { since: Instant },
    /// A request is being written. It is completely written once `complete_at` bytes were written on the connection,
    /// those of earlier requests included.
    Writing { complete_at: u64 },
    /// A request is completely written or has an unknown length. Bytes that arrive may belong to its response.
    AwaitingResponse,
    /// A repeated response has been received. Bytes that arrive show that it was a second response to an earlier request.
    HoldingResponse,
}

/// The socket of a connection to a backend, with the number of bytes written to it and the state of its exchange.
pub(super) struct BackendSocket {
    backend: SocketAddr,
    socket: Socket,
    /// Number of bytes written for all requests.
    written: Cell<u64>,
    state: Cell<ExchangeState>,
    /// Notified when bytes arrive after a repeated response.
    repeat_proven: Notify,
    stray_bytes: Rc<StrayBytes>,
    counters: Rc<Counters>,
}

impl BackendSocket {
    fn new(
        backend: SocketAddr,
        socket: Socket,
        stray_bytes: Rc<StrayBytes>,
        counters: Rc<Counters>,
    ) -> Self {
        let idle = ExchangeState::Idle {
            since: Instant::now(),
        };
        Self {
            backend,
            socket,
            written: Cell::new(0),
            state: Cell::new(idle),
            repeat_proven: Notify::new(),
            stray_bytes,
            counters,
        }
    }

    /// Returns the number of bytes written for all requests.
    pub(super) fn written(&self) -> u64 {
        self.written.get()
    }

    /// Begins a request, which is completely written once `complete_at` bytes were written on the connection.
    /// `complete_at` is `None` for a request of unknown length.
    pub(super) fn begin_request(&self, complete_at: Option<u64>) {
        self.state.set(match complete_at {
            Some(complete_at) => ExchangeState::Writing { complete_at },
            None => ExchangeState::AwaitingResponse,
        });
    }

    /// Ends the exchange: bytes that arrive from now on belong to no request.
    ///
    /// The response is acknowledged at once. Otherwise a second response could be held back at the backend until the
    /// next request acknowledges the first one, and would arrive as its response.
    fn end_request(&self) {
        self.socket.acknowledge();
        self.state.set(ExchangeState::Idle {
            since: Instant::now(),
        });
    }

    /// Records that bytes have arrived, if no request is in flight to which they could belong.
    fn record_stray_bytes(&self) {
        if let ExchangeState::Idle { since } = self.state.get() {
            self.record_second_response(since.elapsed());
        }
    }

    /// Records bytes that belong to no request, and that arrived `delay` after the last response before them.
    fn record_second_response(&self, delay: Duration) {
        tracing::debug!(backend = %self.backend, ?delay, "bytes without a request");
        self.stray_bytes.record(delay);
    }

    /// Adds to the number of written bytes, and counts the attempt ([`Counters::record_attempt`]) once its request is
    /// completely written.
    fn record_written(&self, bytes: u64) {
        self.written.set(self.written.get() + bytes);
        if let ExchangeState::Writing { complete_at } = self.state.get()
            && self.written.get() >= complete_at
        {
            self.state.set(ExchangeState::AwaitingResponse);
            self.counters.record_attempt();
        }
    }
}

impl SocketObserver for BackendSocket {
    fn socket(&self) -> &Socket {
        &self.socket
    }

    fn on_read(&self, _: &[u8]) {
        if let ExchangeState::HoldingResponse = self.state.get() {
            self.repeat_proven.notify_one();
        }
        self.record_stray_bytes();
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.record_written(*bytes as u64);
        }
    }
}

/// Establishes connections to backends and counts the open sockets.
pub(super) struct Connector {
    budget: Rc<Budget>,
    stray_bytes: Rc<StrayBytes>,
    counters: Rc<Counters>,
}

impl Connector {
    pub(super) fn new(counters: Rc<Counters>, budget: Rc<Budget>) -> Self {
        Self {
            budget,
            stray_bytes: Rc::default(),
            counters,
        }
    }

    /// Returns the record of stray bytes, which all connections share.
    pub(super) fn stray_bytes(&self) -> &StrayBytes {
        &self.stray_bytes
    }

    /// Connects to a backend. `generation` is the current generation of its connections.
    ///
    /// # Errors
    /// [`BackendError`] if no connection is established by the deadline.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        generation: u64,
        deadline: Instant,
    ) -> Result<Connection, BackendError> {
        let count = self.budget.open(SocketUse::Backend);
        let stream = timeout_at(deadline, connect(address))
            .await
            .map_err(|_| BackendError::ConnectTimeout)?
            .map_err(BackendError::from_connect)?;
        tracing::debug!(backend = %address, local = ?stream.local_addr().ok(), "connected");
        let socket = Rc::new(BackendSocket::new(
            address,
            Socket::new(stream),
            Rc::clone(&self.stray_bytes),
            Rc::clone(&self.counters),
        ));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BACKEND_HEAD_BYTES)
            .handshake(TokioIo::new(SocketIo::new(&socket)))
            .await
            .map_err(BackendError::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            // An error of the connection is also returned to the exchange in flight, which reports it.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            socket,
            task,
            generation,
            recent_responses: RecentResponses::default(),
            _count: count,
        })
    }
}

/// A connection to a backend. Dropping it closes the socket, even with an exchange in flight.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) socket: Rc<BackendSocket>,
    task: JoinHandle<()>,
    /// The generation of the backend's connections to which this one belongs.
    pub(super) generation: u64,
    recent_responses: RecentResponses,
    _count: SocketGuard,
}

impl Connection {
    /// Waits until the connection can take another request.
    ///
    /// # Errors
    /// [`hyper::Error`] if the backend has closed the connection or closes it after the current response.
    pub(super) async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Ends the exchange: bytes that arrive from now on belong to no request.
    pub(super) fn end_request(&self) {
        self.socket.end_request();
    }

    /// Records a complete response. Returns the time since an earlier one if this one may be a second copy of it.
    pub(super) fn record_response(&mut self, fingerprint: Fingerprint) -> Option<Duration> {
        self.recent_responses.record(fingerprint)
    }

    /// Waits for bytes that follow a repeated response, which show that it was a second response to an earlier request.
    /// Returns whether any have arrived by the deadline.
    pub(super) async fn is_followed_by(&self, deadline: Instant) -> bool {
        self.socket.state.set(ExchangeState::HoldingResponse);
        self.socket.socket.acknowledge();
        let proven = self.socket.repeat_proven.notified();
        timeout_at(deadline, proven).await.is_ok()
    }

    /// Records a second response that arrived `delay` after the first one.
    pub(super) fn record_second_response(&self, delay: Duration) {
        self.socket.record_second_response(delay);
    }

    /// Returns whether the connection can take a request, as far as the runtime has been notified.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended, as far as the runtime has been notified.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether nothing has arrived on the connection since its last response, neither stray bytes, which are
    /// recorded, nor its end.
    pub(super) fn is_quiet(&self) -> bool {
        let unread = self.socket.socket.unread();
        if unread == Unread::Bytes {
            self.socket.record_stray_bytes();
        }
        unread == Unread::Nothing
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
