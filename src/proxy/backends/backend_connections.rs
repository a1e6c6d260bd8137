//! The connections of one backend.

use super::connection::Connection;
use crate::api::{Micros, Readiness};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that no attempt or health check uses.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    /// The time at which the connection became idle.
    pub(super) since: Instant,
}

/// The address, the readiness and the idle connections of one backend.
pub struct BackendConnections {
    address: Cell<SocketAddr>,
    started_at: Cell<Option<Micros>>,
    ready: Cell<bool>,
    /// Number of times that the backend restarted, changed its address or was removed. A connection of an earlier
    /// generation is not used again.
    generation: Cell<u64>,
    /// The idle connections, the one that has been idle for longest first.
    idle: RefCell<Vec<IdleConnection>>,
    /// Whether an additional connection is being opened.
    is_opening: Cell<bool>,
}

/// Marks that an additional connection to a backend is being opened, until it is dropped.
pub(super) struct OpeningGuard(Rc<BackendConnections>);

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        self.0.is_opening.set(false);
    }
}

impl BackendConnections {
    pub(super) fn new(address: SocketAddr, started_at: Option<Micros>) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            started_at: Cell::new(started_at),
            ready: Cell::new(false),
            generation: Cell::new(0),
            idle: RefCell::default(),
            is_opening: Cell::new(false),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Returns whether the backend may be sent new requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Applies the backend's entry of the endpoint list.
    pub(super) fn update(
        &self,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        self.ready.set(readiness == Readiness::Ready);
        let has_restarted = self.started_at.replace(started_at) != started_at;
        // The connections lead to the previous process of the backend, so they are broken or will be reset.
        if has_restarted || self.address.replace(address) != address {
            self.begin_generation();
        }
    }

    /// Marks the backend as removed. It is sent no new requests, and none of its connections is kept, including those
    /// in use.
    pub(super) fn remove(&self) {
        self.ready.set(false);
        self.begin_generation();
    }

    /// Begins a new generation and closes the idle connections of the previous one.
    fn begin_generation(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// Adds an idle connection, or closes it if it belongs to an earlier generation.
    pub(super) fn add_idle(&self, added: IdleConnection) {
        if added.connection.generation != self.generation() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let position = idle.partition_point(|other| other.since <= added.since);
        idle.insert(position, added);
    }

    /// Marks that an additional connection is being opened until the returned guard is dropped. Returns `None` if one
    /// is being opened already.
    pub(super) fn begin_opening(self: &Rc<Self>) -> Option<OpeningGuard> {
        let is_first = !self.is_opening.replace(true);
        is_first.then(|| OpeningGuard(Rc::clone(self)))
    }

    /// Removes and returns the most recently used one of the connections that have been idle for at least `rest`, or
    /// else the one that has been idle for longest; `None` if no connection is idle.
    pub(super) fn take_idle(&self, rest: Duration) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return None;
        }
        let rested = idle.partition_point(|connection| connection.since.elapsed() >= rest);
        Some(idle.remove(rested.saturating_sub(1)))
    }

    /// Closes the idle connections for which `keep` returns false.
    pub(super) fn retain_idle(&self, keep: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(keep);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns the time at which the connection that has been idle for longest became idle; `None` if no connection is
    /// idle.
    pub(super) fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle for longest.
    ///
    /// # Panics
    /// If there is no idle connection.
    pub(super) fn close_oldest_idle(&self) {
        self.idle.borrow_mut().remove(0);
    }
}
