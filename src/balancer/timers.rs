//! What the balancer's timers are for, and how that is kept in a timer's token.

use super::requests::RequestKey;

#[cfg(test)]
mod tests;

/// Bits of a token that tell the purpose; the others hold the request's key.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u32 = (1 << PURPOSE_BITS) - 1;
const QUEUE_TIMEOUT: u32 = 0;
const SUBSCRIBE: u32 = 1;

/// A timer of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A queued request has waited for its time.
    QueueTimeout(RequestKey),
    /// Discovery is to be asked for changes.
    Subscribe,
}

impl Timer {
    /// Returns the token that comes back with the timer.
    pub(crate) fn token(self) -> u32 {
        match self {
            Self::QueueTimeout(request) => (request.index() as u32) << PURPOSE_BITS | QUEUE_TIMEOUT,
            Self::Subscribe => SUBSCRIBE,
        }
    }

    /// Returns the timer of a token, or `None` for a token that was not made here.
    pub(crate) fn from_token(token: u32) -> Option<Self> {
        let index = (token >> PURPOSE_BITS) as usize;
        match token & PURPOSE_MASK {
            QUEUE_TIMEOUT => Some(Self::QueueTimeout(RequestKey::from_index(index))),
            SUBSCRIBE => Some(Self::Subscribe),
            _ => None,
        }
    }
}
