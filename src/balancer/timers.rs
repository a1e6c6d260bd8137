//! The balancer's timers and their encoding as tokens.

use super::requests::RequestKey;

#[cfg(test)]
mod tests;

/// Number of low bits of a token that hold the timer's purpose, which is its variant of [`Timer`]. The other bits hold
/// the index of the request's table key.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u32 = (1 << PURPOSE_BITS) - 1;
/// Value of the purpose bits in the token of a [`Timer::QueueTimeout`].
const QUEUE_TIMEOUT: u32 = 0;
/// Value of the purpose bits in the token of a [`Timer::Subscribe`].
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
    /// Returns the token that identifies the timer in its action and its event.
    pub(crate) fn token(self) -> u32 {
        match self {
            Self::QueueTimeout(request) => (request.index() as u32) << PURPOSE_BITS | QUEUE_TIMEOUT,
            Self::Subscribe => SUBSCRIBE,
        }
    }

    /// Returns the timer that a token identifies; `None` if the purpose in the token is unknown.
    pub(crate) fn from_token(token: u32) -> Option<Self> {
        let index = (token >> PURPOSE_BITS) as usize;
        match token & PURPOSE_MASK {
            QUEUE_TIMEOUT => Some(Self::QueueTimeout(RequestKey::from_index(index))),
            SUBSCRIBE => Some(Self::Subscribe),
            _ => None,
        }
    }
}
