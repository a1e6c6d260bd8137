//! The changes of a single endpoint that are measured.

use crate::slopes::endpoints::{Endpoint, EndpointState};
use crate::slopes::quantity::Quantity;

/// A change of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndpointChange {
    /// It begins to drain.
    Drain,
    /// It takes requests again.
    Ready,
    /// It has a new process.
    Restart,
    /// It is removed.
    Remove,
    /// It joins.
    Join,
}

impl EndpointChange {
    /// In the order of a backend's life; after all of them the endpoint is listed again.
    pub(super) const ALL: [Self; 5] = [
        Self::Drain,
        Self::Ready,
        Self::Restart,
        Self::Remove,
        Self::Join,
    ];

    /// Returns the quantity that is its cost.
    pub(super) fn quantity(self) -> Quantity {
        match self {
            Self::Drain => Quantity::EntryDrain,
            Self::Ready => Quantity::EntryReady,
            Self::Restart => Quantity::EntryRestart,
            Self::Remove => Quantity::EntryRemove,
            Self::Join => Quantity::EntryJoin,
        }
    }

    /// Returns the endpoint after the change, which happens at this Unix time.
    pub(super) fn apply(self, endpoint: &Endpoint, unix_ms: u64) -> Endpoint {
        match self {
            Self::Drain => endpoint.in_state(EndpointState::Draining),
            Self::Ready => endpoint.in_state(EndpointState::Active),
            Self::Remove => endpoint.in_state(EndpointState::Removed),
            Self::Restart | Self::Join => {
                let restarted = endpoint.restarted_at(unix_ms);
                restarted.in_state(EndpointState::Active)
            }
        }
    }
}
