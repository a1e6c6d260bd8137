//! Eviction: the selection of a client connection to close so that another client can be accepted.
//!
//! A connection is *active* if it is new or has received a part of a head, and was accepted, read or written within the
//! last `ACTIVE_WINDOW`. A request may still be arriving on it, so active connections are evicted after all others. A
//! connection with a part of a body is evicted only if the body is stalled ([`BodyProgress`](crate::proxy::bodies::BodyProgress)).

use super::{ClientConnection, ConnectionState};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the accept, or the last read or write, for which a connection can be active, as the module documentation
/// defines it.
pub(super) const ACTIVE_WINDOW: Duration = Duration::from_millis(500);

/// Time after the last response of a lingering connection in which it is not evicted, so that the response reaches its
/// client even if the client is still sending.
const MIN_LINGER_TIME: Duration = Duration::from_millis(100);

/// The cost of evicting a connection, in the order of eviction. The later a variant, the more likely is it that the
/// eviction loses a request. A connection with a complete request has no eviction cost, because it must not be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionCost {
    /// The last response has been written, and the connection is lingering.
    Lingering,
    /// No byte has been received, and the connection is no longer active.
    Unused,
    /// All requests have their responses.
    Idle,
    /// A part of a head has been received, and the connection is no longer active.
    PartialHead,
    /// A part of a body has been received, which has made no progress recently.
    PartialBody,
    /// The connection is active, as the module documentation defines it.
    Active,
}

impl ClientConnection {
    /// Returns whether the connection may be closed so that another client can be accepted. It must have neither a
    /// complete request nor unread bytes that may be one.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.eviction_cost()
            .is_some_and(|cost| cost == EvictionCost::Lingering || !self.has_unread())
    }

    /// Returns the time since which the connection could have been evicted at its present cost, but for the time limits
    /// of this module.
    fn inactive_since(&self) -> Instant {
        match self.state() {
            ConnectionState::ReadingBody => self.body_progress.get().last_at(),
            _ => self.last_activity.get(),
        }
    }

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
            ConnectionState::ReadingBody => {
                let is_stalled = self.body_progress.get().is_stalled();
                is_stalled.then_some(EvictionCost::PartialBody)
            }
            ConnectionState::Lingering => {
                let since = self.lingering_since.get()?;
                (since.elapsed() >= MIN_LINGER_TIME).then_some(EvictionCost::Lingering)
            }
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
    inactive_since: Instant,
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

    /// Returns whether a request on any connection has no complete response yet, or a response may not have reached its
    /// client yet.
    #[must_use]
    pub fn has_response_in_progress(&self) -> bool {
        self.open
            .values()
            .any(|connection| connection.has_response_in_progress())
    }

    /// Requests the eviction of the connection with the lowest eviction cost, and among several with the same cost, of
    /// the one that has been without activity for longest. A connection with a complete request is never evicted.
    /// Returns whether there was a connection to evict.
    ///
    /// The task of the connection is notified and closes the connection, unless a request has arrived in the meantime.
    pub fn evict_one(&self) -> bool {
        let mut candidates: Vec<EvictionCandidate<'_>> = self
            .open
            .values()
            .filter_map(|connection| EvictionCandidate::new(connection))
            .collect();
        candidates.sort_unstable_by_key(|candidate| (candidate.cost, candidate.inactive_since));
        // The check for unread bytes takes a system call, so it is made only until a connection without any is found.
        let evicted = candidates
            .into_iter()
            .find(|candidate| candidate.connection.is_evictable());
        if let Some(evicted) = &evicted {
            evicted.connection.request_eviction();
        }
        evicted.is_some()
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
            inactive_since: connection.inactive_since(),
            connection,
        })
    }
}
