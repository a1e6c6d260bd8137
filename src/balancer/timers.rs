//! The balancer's timers and their encoding as tokens.

use super::requests::RequestKey;

#[cfg(test)]
mod tests;

/// Number of low bits of a token that hold the purpose of the timer. The other bits hold the request's key.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u32 = (1 << PURPOSE_BITS) - 1;
const QUEUE_TIMEOUT: u32 = 0;
const SUBSCRIBE: u32 = 1;

/// A timer that the balancer sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A queued request has waited for its maximum time.
    QueueTimeout(RequestKey),
    /// A call to discovery is due.
    Subscribe,
}

impl Timer {
    /// Returns the token that the timer event returns.
    pub(crate) fn token(self) -> u32 {
        match self {
            Self::QueueTimeout(request) => (request.index() as u32) << PURPOSE_BITS | QUEUE_TIMEOUT,
            Self::Subscribe => SUBSCRIBE,
        }
    }

    /// Returns the timer of a token; `None` if the token has an unknown purpose.
    pub(crate) fn from_token(token: u32) -> Option<Self> {
        let index = (token >> PURPOSE_BITS) as usize;
        match token & PURPOSE_MASK {
            QUEUE_TIMEOUT => Some(Self::QueueTimeout(RequestKey::from_index(index))),
            SUBSCRIBE => Some(Self::Subscribe),
            _ => None,
        }
    }
}
