//! The clients' side: the listener, requests in, answers out.

mod headers;
mod inbound;
mod respond;
mod serve;

use super::budget::Budget;
use super::clock::Clock;
use super::config::Names;
use super::connections::{ClientConnection, ClientConnections};
use super::counters::Counters;
use super::lifecycle::Lifecycle;
use super::limits::{ACCEPT_BACKOFF, CLIENT_HEAD_CAP};
use super::messages::Handle;
use crate::api::{Idempotency, Micros, Settings};
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
    deadline: Micros,
    needs_key: bool,
    method: Method,
}

/// What all client connections share.
pub struct Clients {
    handle: Handle,
    clock: Clock,
    classes: FxHashMap<String, (u8, Class)>,
    tenants: FxHashMap<String, u16>,
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    budget: Budget,
    open: Cell<usize>,
    freed: Notify,
    /// Somebody waits to be accepted, and looks again when a connection has ended or become idle.
    is_full: Cell<bool>,
    connections: RefCell<ClientConnections>,
    accepted_at: Cell<Instant>,
    /// The ids of the requests that have no answer yet.
    ids: RefCell<FxHashSet<HeaderValue>>,
}

impl Clients {
    /// No connections yet.
    #[must_use]
    pub fn new(
        handle: Handle,
        clock: Clock,
        settings: &Settings,
        names: &Names,
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        budget: Budget,
    ) -> Rc<Self> {
        let class = |c: &crate::api::Class| Class {
            deadline: c.timeout,
            needs_key: matches!(c.idempotency, Idempotency::Keyed { .. }),
            method: if c.idempotency == Idempotency::Idempotent {
                Method::GET
            } else {
                Method::POST
            },
        };
        let classes = names.classes.iter().zip(0..=u8::MAX).zip(&settings.classes);
        Rc::new(Self {
            handle,
            clock,
            classes: classes
                .map(|((name, i), c)| (name.clone(), (i, class(c))))
                .collect(),
            tenants: names.tenants.iter().cloned().zip(0..).collect(),
            lifecycle,
            counters,
            budget,
            open: Cell::new(0),
            freed: Notify::new(),
            is_full: Cell::new(false),
            connections: RefCell::default(),
            accepted_at: Cell::new(Instant::now()),
            ids: RefCell::default(),
        })
    }

    /// Open client connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Time since a client last connected.
    #[must_use]
    pub fn since_last_accept(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended.
    pub async fn connection_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors.
            // Connections that are held without a request would keep them there: the cheapest to lose goes.
            while self.open.get() >= self.budget.clients {
                self.connections.borrow().evict_one();
                self.is_full.set(true);
                self.freed.notified().await;
            }
            self.is_full.set(false);
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream),
                // Out of descriptors, or a client that is gone already: neither ends the proxy.
                Err(error) => {
                    tracing::warn!("accept: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        self.accepted_at.set(Instant::now());
        self.open.set(self.open.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).connection(stream));
    }

    /// Takes a connection that waits in the kernel's queue, if one does. The runtime may not have seen it
    /// yet, so the listener itself is asked.
    pub fn take_waiting(self: &Rc<Self>, listener: &TcpListener) -> bool {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                let stream = socket
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(socket.into()));
                stream.into_iter().for_each(|stream| self.take(stream));
                true
            }
            // That one is gone already; others may wait behind it.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Some connection may be cheaper to lose than before.
    fn notify_if_full(&self) {
        if self.is_full.get() {
            self.freed.notify_waiters();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(ClientConnection::new(stream, CLIENT_HEAD_CAP));
        let number = self.connections.borrow_mut().add(&connection);
        self.serve(&connection).await;
        self.connections.borrow_mut().remove(number);
        self.open.set(self.open.get() - 1);
        self.freed.notify_waiters();
    }
}
