//! One backend as the sockets know it: its address and its idle connections.

use super::connection::Connection;
use crate::api::{Micros, Readiness};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// A connection that no attempt uses.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    /// When its last response was complete.
    pub(super) since: Instant,
}

/// A backend as the sockets know it.
pub struct BackendConnections {
    address: Cell<SocketAddr>,
    started_at: Cell<Option<Micros>>,
    ready: Cell<bool>,
    /// Counts its restarts and moves: a connection of an earlier generation is not used again.
    generation: Cell<u64>,
    /// Its idle connections, the one that was used last at the end.
    idle: RefCell<Vec<IdleConnection>>,
}

impl BackendConnections {
    pub(super) fn new(address: SocketAddr, started_at: Option<Micros>) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            started_at: Cell::new(started_at),
            ready: Cell::new(false),
            generation: Cell::new(0),
            idle: RefCell::default(),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Returns whether it takes new requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Applies what discovery says of it.
    pub(super) fn update(
        &self,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        self.ready.set(readiness == Readiness::Ready);
        let has_restarted = self.started_at.replace(started_at) != started_at;
        // The connections of the old process are dead, or will end as resets.
        if has_restarted || self.address.replace(address) != address {
            self.begin_generation();
        }
    }

    /// Removes it: nothing new is sent there, and no connection is kept, not even those that are in use.
    pub(super) fn remove(&self) {
        self.ready.set(false);
        self.begin_generation();
    }

    fn begin_generation(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// Adds an idle connection, as the one that was used last.
    pub(super) fn push_idle(&self, idle: IdleConnection) {
        self.idle.borrow_mut().push(idle);
    }

    /// Takes the idle connection that was used last.
    pub(super) fn pop_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }

    /// Closes the idle connections that are not to be kept.
    pub(super) fn retain_idle(&self, keep: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(keep);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns since when its oldest idle connection is idle.
    pub(super) fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle for longest.
    ///
    /// # Panics
    /// Where there is none.
    pub(super) fn close_oldest_idle(&self) {
        self.idle.borrow_mut().remove(0);
    }
}
