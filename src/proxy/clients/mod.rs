//! Serving of clients: accepts their connections, reads their requests and writes the responses.
//!
//! | module | purpose |
//! | --- | --- |
//! | `serve` | serves one connection until it ends |
//! | `inbound`, `headers` | read and check a request, and describe it for the balancer |
//! | `respond` | produces the response to a request |
//! | `error` | the reasons for which a request is not forwarded |

mod error;
mod headers;
mod inbound;
mod respond;
mod serve;

use super::budget::{Budget, SocketGuard, SocketUse};
use super::clock::Clock;
use super::connections::{ClientConnection, ClientConnections};
use super::correlation_ids::CorrelationIds;
use super::counters::Counters;
use super::lifecycle::Lifecycle;
use super::memory::MemoryUse;
use super::messages::DriverHandle;
use super::size_limits::MAX_CLIENT_HEAD_BYTES;
use super::time_limits::ACCEPT_BACKOFF;
use crate::api::{ClassIndex, Idempotency, Micros, Settings, TenantIndex};
use crate::settings_json::Names;
use hyper::Method;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Memory that a new connection takes until a request on it has been read, at most.
const CONNECTION_BYTES: usize = 2 * MAX_CLIENT_HEAD_BYTES;
/// Interval at which the accept loop looks for a connection to evict while it cannot accept another one and none can be
/// evicted.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// The settings of a request class against which a request is checked when it arrives.
struct Class {
    index: ClassIndex,
    /// The longest time that a client waits for a response.
    timeout: Micros,
    /// Whether a request must carry an idempotency key.
    needs_key: bool,
    /// The only method that requests of the class may use.
    method: Method,
}

impl Class {
    fn new(index: ClassIndex, settings: &crate::api::Class) -> Self {
        let is_idempotent = settings.idempotency == Idempotency::Idempotent;
        Self {
            index,
            timeout: settings.timeout,
            needs_key: matches!(settings.idempotency, Idempotency::Keyed { .. }),
            method: if is_idempotent {
                Method::GET
            } else {
                Method::POST
            },
        }
    }
}

/// Parts of the process that client connections share with the rest of it.
pub struct SharedParts {
    /// The lifecycle of the process.
    pub lifecycle: Rc<Lifecycle>,
    /// The metrics.
    pub counters: Rc<Counters>,
    /// The budget of descriptors and memory.
    pub budget: Rc<Budget>,
    /// The correlation ids that no further request may have.
    pub correlation_ids: Rc<CorrelationIds>,
}

/// The state that all client connections share.
pub struct Clients {
    handle: DriverHandle,
    clock: Clock,
    /// The classes by name, which is the first segment of a request's path.
    classes: FxHashMap<String, Class>,
    /// The tenants by account name.
    tenants: FxHashMap<String, TenantIndex>,
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    budget: Rc<Budget>,
    /// Notified when a connection has ended, or when the accept loop must select another connection to evict because a
    /// request has ended or the selected connection is no longer evictable.
    connection_freed: Notify,
    /// Whether the accept loop waits for a connection to end, because it cannot accept another one.
    is_full: Cell<bool>,
    connections: RefCell<ClientConnections>,
    /// The time at which a connection was last accepted.
    last_accepted_at: Cell<Instant>,
    /// The correlation ids that no further request may have.
    correlation_ids: Rc<CorrelationIds>,
}

impl Clients {
    /// Creates the shared state, with no open connection.
    #[must_use]
    pub fn new(
        handle: DriverHandle,
        clock: Clock,
        settings: &Settings,
        names: &Names,
        shared: SharedParts,
    ) -> Rc<Self> {
        let mut classes = FxHashMap::default();
        for (index, (name, class)) in (0..=u8::MAX).zip(names.classes.iter().zip(&settings.classes))
        {
            classes.insert(name.clone(), Class::new(ClassIndex(index), class));
        }
        let mut tenants = FxHashMap::default();
        for (index, name) in (0..=u16::MAX).zip(&names.tenants) {
            tenants.insert(name.clone(), TenantIndex(index));
        }
        Rc::new(Self {
            handle,
            clock,
            classes,
            tenants,
            lifecycle: shared.lifecycle,
            counters: shared.counters,
            budget: shared.budget,
            connection_freed: Notify::new(),
            is_full: Cell::new(false),
            connections: RefCell::default(),
            last_accepted_at: Cell::new(Instant::now()),
            correlation_ids: shared.correlation_ids,
        })
    }

    /// Returns the number of open client connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.budget.open_sockets(SocketUse::Client)
    }

    /// Returns whether a request has no complete response yet, or a response may not have reached its client yet.
    #[must_use]
    pub fn has_response_in_progress(&self) -> bool {
        self.connections.borrow().has_response_in_progress()
    }

    /// Returns the time since a connection was last accepted.
    #[must_use]
    pub fn since_last_accept(&self) -> Duration {
        self.last_accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended or may have become evictable. The number of open connections may be
    /// unchanged, so the caller must check it again.
    pub async fn connection_freed(&self) {
        self.connection_freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut last_eviction_at = Instant::now();
        loop {
            // Without memory, or a descriptor that is not reserved for backends, further clients wait in the kernel's
            // queue. So that connections without a request do not keep them waiting, the connection with the lowest
            // eviction cost is evicted.
            while !self.can_accept() {
                self.is_full.set(true);
                // A connection without a request frees a socket, but little memory.
                let may_evict =
                    !self.has_socket() || last_eviction_at.elapsed() >= EVICTION_INTERVAL;
                let is_evicting = may_evict && self.connections.borrow().evict_one();
                if is_evicting {
                    last_eviction_at = Instant::now();
                    self.connection_freed.notified().await;
                } else {
                    // Connections become evictable as time passes, which notifies nobody.
                    let _ = timeout(EVICTION_INTERVAL, self.connection_freed.notified()).await;
                }
            }
            self.is_full.set(false);
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // A failure to accept, such as a lack of descriptors or a connection that its client has already
                // closed, does not end the proxy.
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a client connection");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Returns whether there is a descriptor and memory for another connection. There always is for a single one.
    fn can_accept(&self) -> bool {
        self.budget.can_open(
            SocketUse::Client,
            CONNECTION_BYTES,
            MemoryUse::ClientConnection,
        )
    }

    /// Returns whether there is a descriptor for another connection.
    fn has_socket(&self) -> bool {
        self.open_connections() < self.budget.max_sockets(SocketUse::Client)
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        self.last_accepted_at.set(Instant::now());
        let socket = self.budget.open(SocketUse::Client);
        tokio::task::spawn_local(Rc::clone(self).serve_connection(stream, socket));
    }

    /// Accepts one connection from the kernel's queue, if there is any. Returns whether more connections may be queued.
    ///
    /// The method makes the system call directly, because the runtime may not have been notified of the connection yet.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) -> bool {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                let stream = socket
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(socket.into()));
                if let Ok(stream) = stream {
                    self.spawn_connection(stream);
                }
                true
            }
            // The first queued connection has already been closed by its client. More may be queued behind it.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Notifies the accept loop, if it waits for a connection to end, that another connection may have become
    /// evictable.
    fn notify_if_full(&self) {
        if self.is_full.get() {
            self.connection_freed.notify_waiters();
        }
    }

    /// Serves a connection until it ends or is evicted.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, socket: SocketGuard) {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(ClientConnection::new(
            stream,
            MAX_CLIENT_HEAD_BYTES,
            self.budget.memory.clone(),
        ));
        let number = self.connections.borrow_mut().add(&connection);
        self.serve(&connection).await;
        self.connections.borrow_mut().remove(number);
        drop(connection);
        drop(socket);
        self.connection_freed.notify_waiters();
    }
}
