//! One connection to a backend: dialing, and the count of what its socket took.

use super::fleet::Endpoint;
use super::stray_bytes::StrayBytes;
use crate::api::Outcome;
use crate::proxy::bodies::RequestBody;
use crate::proxy::counters::Counters;
use crate::proxy::dial::connect;
use crate::proxy::limits::BACKEND_HEAD_CAP;
use crate::proxy::socket::Socket;
use crate::proxy::socket_io::{ObservedSocket, SocketIo};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// A connection's socket and what went through it.
pub(super) struct Wire {
    pub(super) socket: Socket,
    /// Bytes that the socket took, of all requests.
    written: Cell<u64>,
    /// The count at which the present attempt is written whole, until it is.
    whole_at: Cell<Option<u64>>,
    /// A request is out on it: what comes may be its answer.
    in_use: Cell<bool>,
    stray_bytes: Rc<StrayBytes>,
    counters: Rc<Counters>,
}

impl Wire {
    fn new(socket: Socket, stray_bytes: Rc<StrayBytes>, counters: Rc<Counters>) -> Self {
        Self {
            socket,
            written: Cell::new(0),
            whole_at: Cell::new(None),
            in_use: Cell::new(false),
            stray_bytes,
            counters,
        }
    }

    /// Bytes that the socket took so far.
    pub(super) fn written(&self) -> u64 {
        self.written.get()
    }

    /// A request goes out now, which is written whole at that count of bytes, where its size is known.
    pub(super) fn begin_request(&self, whole_at: Option<u64>) {
        self.whole_at.set(whole_at);
        self.in_use.set(true);
    }

    /// The answer has come: what comes from now on belongs to no request.
    pub(super) fn end_request(&self) {
        self.in_use.set(false);
    }

    fn record_written(&self, bytes: u64) {
        self.written.set(self.written.get() + bytes);
        if self
            .whole_at
            .get()
            .is_some_and(|whole| self.written.get() >= whole)
        {
            self.whole_at.set(None);
            self.counters.record_attempt();
        }
    }
}

impl ObservedSocket for Wire {
    fn socket(&self) -> &Socket {
        &self.socket
    }

    fn on_read(&self, _: &[u8]) {
        if !self.in_use.get() {
            self.stray_bytes.record();
        }
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.record_written(*bytes as u64);
        }
    }
}

/// Counts an open socket until it is dropped.
pub(super) struct SocketCount(Rc<Cell<usize>>);

impl SocketCount {
    pub(super) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for SocketCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One connection to a backend. Dropping it closes it, whatever is out on it.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) wire: Rc<Wire>,
    task: JoinHandle<()>,
    /// The generation of the endpoint that it belongs to.
    pub(super) generation: u64,
    _count: SocketCount,
}

impl Connection {
    /// Connects to an endpoint by `until`.
    pub(super) async fn dial(
        endpoint: &Endpoint,
        until: Instant,
        count: SocketCount,
        stray_bytes: Rc<StrayBytes>,
        counters: Rc<Counters>,
    ) -> Result<Self, ConnectError> {
        let generation = endpoint.generation();
        let connecting = timeout_at(until, connect(endpoint.address())).await;
        let stream = connecting.map_err(|_| ConnectError::Backend)??;
        tracing::debug!(backend = %endpoint.address(), local = ?stream.local_addr().ok(), "connected");
        let wire = Rc::new(Wire::new(Socket::new(stream), stray_bytes, counters));
        let io = TokioIo::new(SocketIo::new(&wire));
        let handshake = http1::Builder::new()
            .max_buf_size(BACKEND_HEAD_CAP)
            .handshake(io)
            .await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Backend)?;
        let task = tokio::task::spawn_local(async move {
            // How it ended shows in the exchange that was on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            wire,
            task,
            generation,
            _count: count,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whose fault it is that there is no connection.
pub(super) enum ConnectError {
    /// The backend's.
    Backend,
    /// This proxy is out of descriptors, ports or memory. That is reported of no backend: healthy ones would
    /// be ejected for it.
    Local,
}

impl ConnectError {
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Backend => Outcome::ConnectFailed,
            Self::Local => Outcome::NotSent,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | NotConnected
            | HostUnreachable | NetworkUnreachable => Self::Backend,
            _ => Self::Local,
        }
    }
}
