//! Measured changes of a single endpoint.

use crate::endpoint_list::{Endpoint, EndpointState};
use crate::slopes::quantity::Quantity;

/// A membership change of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndpointChange {
    /// The endpoint begins to drain.
    Drain,
    /// The draining endpoint becomes ready again.
    Ready,
    /// The endpoint's process restarts.
    Restart,
    /// The endpoint is removed.
    Remove,
    /// The removed endpoint joins with a new process.
    Join,
}

impl EndpointChange {
    /// Every change, in the order in which they are applied to an endpoint. After the last change the endpoint is ready
    /// again.
    pub(super) const ALL: [Self; 5] = [
        Self::Drain,
        Self::Ready,
        Self::Restart,
        Self::Remove,
        Self::Join,
    ];

    /// Returns the quantity that records the cost of the change.
    pub(super) fn quantity(self) -> Quantity {
        match self {
            Self::Drain => Quantity::EntryDrain,
            Self::Ready => Quantity::EntryReady,
            Self::Restart => Quantity::EntryRestart,
            Self::Remove => Quantity::EntryRemove,
            Self::Join => Quantity::EntryJoin,
        }
    }

    /// Returns the endpoint after the change. `unix_ms` is the Unix time at which a new process starts.
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
