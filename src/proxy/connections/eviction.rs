//! Eviction: the selection of a client connection to close so that another client can be accepted.
//!
//! A connection is *active* if it is new or has received a part of a head, and was accepted, read or written within the
//! last `ACTIVE_WINDOW`. A request may still be arriving on it, so active connections are evicted after all others.

use super::{ClientConnection, ConnectionState};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the accept, or the last read or write, for which a connection can be active, as the module documentation
/// defines it.
pub(super) const ACTIVE_WINDOW: Duration = Duration::from_millis(500);

/// The cost of evicting a connection, in the order of eviction. The later a variant, the more likely is it that the
/// eviction loses a request. A connection with a complete request has no eviction cost, because it must not be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionCost {
    /// No byte has been received, and the connection is no longer active.
    Unused,
    /// All requests have their responses.
    Idle,
    /// A part of a head has been received, and the connection is no longer active.
    PartialHead,
    /// The connection is active, as the module documentation defines it.
    Active,
}

impl ClientConnection {
    /// Returns the eviction cost of the connection, or `None` if it must not be evicted.
    pub(super) fn eviction_cost(&self) -> Option<EvictionCost> {
        let is_active = self.last_activity.get().elapsed() < ACTIVE_WINDOW;
        match self.state() {
            ConnectionState::Idle => Some(EvictionCost::Idle),
            ConnectionState::Unused | ConnectionState::ReadingHead if is_active => {
                Some(EvictionCost::Active)
            }
            ConnectionState::Unused => Some(EvictionCost::Unused),
            ConnectionState::ReadingHead => Some(EvictionCost::PartialHead),
            ConnectionState::WriteBlocked
            | ConnectionState::Serving
            | ConnectionState::Discarding => None,
        }
    }
}

/// The open client connections.
#[derive(Default)]
pub struct ClientConnections {
    /// The connections by number.
    open: FxHashMap<u64, Rc<ClientConnection>>,
    /// The number that was last assigned to a connection.
    last_number: u64,
}

/// A connection that may be closed so that another client can be accepted.
struct EvictionCandidate<'a> {
    cost: EvictionCost,
    last_activity: Instant,
    connection: &'a ClientConnection,
}

impl ClientConnections {
    /// Adds a connection and returns its number.
    pub fn add(&mut self, connection: &Rc<ClientConnection>) -> u64 {
        self.last_number += 1;
        self.open.insert(self.last_number, Rc::clone(connection));
        self.last_number
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Requests the eviction of the connection with the lowest eviction cost, and among several with the same cost, of
    /// the one that has been without activity for longest. A connection with a request is never evicted.
    ///
    /// The task of the connection is notified and closes the connection, unless a request has arrived in the meantime.
    pub fn evict_one(&self) {
        let mut candidates: Vec<EvictionCandidate<'_>> = self
            .open
            .values()
            .filter_map(|connection| EvictionCandidate::new(connection))
            .collect();
        candidates.sort_unstable_by_key(|candidate| (candidate.cost, candidate.last_activity));
        // The check for unread bytes takes a system call, so it is made only until a connection without any is found.
        let evicted = candidates
            .into_iter()
            .find(|candidate| !candidate.connection.has_unread());
        if let Some(evicted) = evicted {
            evicted.connection.request_eviction();
        }
    }
}

impl<'a> EvictionCandidate<'a> {
    /// Returns the connection as a candidate, or `None` if its eviction is pending or it must not be closed.
    fn new(connection: &'a ClientConnection) -> Option<Self> {
        if connection.eviction_pending.get() {
            return None;
        }
        Some(Self {
            cost: connection.eviction_cost()?,
            last_activity: connection.last_activity.get(),
            connection,
        })
    }
}
