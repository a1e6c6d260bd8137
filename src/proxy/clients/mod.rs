//! The clients' side: the listener, requests in, responses out.
//!
//! | module | job |
//! | --- | --- |
//! | `serve` | one connection, until it ends |
//! | `inbound`, `headers` | a request read, checked and described for the balancer |
//! | `respond` | the response to a request |
//! | `error` | why a request is not forwarded |

mod error;
mod headers;
mod inbound;
mod respond;
mod serve;

use super::budget::Budget;
use super::clock::Clock;
use super::connections::{ClientConnection, ClientConnections};
use super::counters::Counters;
use super::lifecycle::Lifecycle;
use super::messages::DriverHandle;
use super::size_limits::MAX_CLIENT_HEAD_BYTES;
use super::time_limits::ACCEPT_BACKOFF;
use crate::api::{ClassIndex, Idempotency, Micros, Settings, TenantIndex};
use crate::settings_json::Names;
use hyper::Method;
use hyper::header::HeaderValue;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// What the settings say of a class of requests.
struct Class {
    /// How long a client waits at the most.
    timeout: Micros,
    /// Whether a request must have an idempotency key.
    needs_key: bool,
    method: Method,
}

impl Class {
    fn new(settings: &crate::api::Class) -> Self {
        let is_idempotent = settings.idempotency == Idempotency::Idempotent;
        Self {
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

/// What all client connections share.
pub struct Clients {
    handle: DriverHandle,
    clock: Clock,
    classes: FxHashMap<String, (ClassIndex, Class)>,
    tenants: FxHashMap<String, TenantIndex>,
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    budget: Budget,
    /// The number of open connections.
    open: Cell<usize>,
    /// Fires when a connection has ended, or may be cheaper to close than before.
    connection_freed: Notify,
    /// The accept loop waits until a connection has ended.
    is_full: Cell<bool>,
    connections: RefCell<ClientConnections>,
    /// When a client last connected.
    accepted_at: Cell<Instant>,
    /// The ids of the requests that have no response yet.
    ids: RefCell<FxHashSet<HeaderValue>>,
}

impl Clients {
    /// Creates the clients' side, without connections.
    #[must_use]
    pub fn new(
        handle: DriverHandle,
        clock: Clock,
        settings: &Settings,
        names: &Names,
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        budget: Budget,
    ) -> Rc<Self> {
        let mut classes = FxHashMap::default();
        for (index, (name, class)) in (0..=u8::MAX).zip(names.classes.iter().zip(&settings.classes))
        {
            classes.insert(name.clone(), (ClassIndex(index), Class::new(class)));
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
            lifecycle,
            counters,
            budget,
            open: Cell::new(0),
            connection_freed: Notify::new(),
            is_full: Cell::new(false),
            connections: RefCell::default(),
            accepted_at: Cell::new(Instant::now()),
            ids: RefCell::default(),
        })
    }

    /// Returns the number of open client connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the time since a client last connected.
    #[must_use]
    pub fn since_last_accept(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended, or may be cheaper to close than before: that no connection has ended
    /// when this returns is possible, so the caller checks again.
    pub async fn connection_freed(&self) {
        self.connection_freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors.
            // Connections without a request would keep them waiting, so the cheapest one is closed.
            while self.open.get() >= self.budget.clients {
                self.connections.borrow().evict_one();
                self.is_full.set(true);
                self.connection_freed.notified().await;
            }
            self.is_full.set(false);
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Neither a lack of descriptors nor a client that has closed it already ends the proxy.
                Err(error) => {
                    tracing::warn!(%error, "accepting a client failed");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        self.accepted_at.set(Instant::now());
        self.open.set(self.open.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).connection(stream));
    }

    /// Accepts a connection that waits in the kernel's queue, if one does. The runtime may not have seen it yet,
    /// so the listener itself is asked. Returns whether others may be queued after it.
    pub fn accept_waiting(self: &Rc<Self>, listener: &TcpListener) -> bool {
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
            // The client has closed this one already; others may be queued after it.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Notifies the listener that a connection may be cheaper to close than before.
    fn notify_if_full(&self) {
        if self.is_full.get() {
            self.connection_freed.notify_waiters();
        }
    }

    /// Serves a connection, which can be evicted meanwhile.
    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(ClientConnection::new(stream, MAX_CLIENT_HEAD_BYTES));
        let number = self.connections.borrow_mut().add(&connection);
        self.serve(&connection).await;
        self.connections.borrow_mut().remove(number);
        self.open.set(self.open.get() - 1);
        self.connection_freed.notify_waiters();
    }
}
