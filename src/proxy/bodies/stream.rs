//! The length and the errors of streamed bodies.

use super::wait_allowance::REQUEST_BODY_PACE;
use crate::proxy::size_limits::MAX_FORWARDED_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::task::Poll;

/// The result of polling a body for its next frame.
pub(super) type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The sender ended the body before its last byte.
    #[error("body ended before its last byte")]
    Incomplete(#[source] Option<hyper::Error>),
    /// The body is larger than [`MAX_FORWARDED_BODY_BYTES`].
    #[error("body exceeds {max} bytes", max = MAX_FORWARDED_BODY_BYTES)]
    TooLarge,
    /// The body arrived too slowly.
    #[error(
        "body arrived at less than {rate} bytes per second after its grace period",
        rate = REQUEST_BODY_PACE.bytes_per_second
    )]
    TimedOut,
}

impl BodyError {
    /// Returns whether the body arrived too slowly.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut)
    }
}

/// The length of a streamed body and the number of its bytes that have been forwarded.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamLength {
    /// Length in bytes; `None` if the sender does not announce it.
    total: Option<u64>,
    forwarded: u64,
}

impl StreamLength {
    pub(super) fn new(total: Option<u64>) -> Self {
        Self {
            total,
            forwarded: 0,
        }
    }

    /// Adds to the number of forwarded bytes.
    pub(super) fn forward(&mut self, bytes: usize) {
        self.forwarded += bytes as u64;
    }

    pub(super) fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the number of bytes that have not been forwarded yet; `None` for a body of unknown length.
    pub(super) fn remaining(&self) -> Option<u64> {
        self.total.map(|total| total.saturating_sub(self.forwarded))
    }

    /// Returns whether the length is known and all bytes have been forwarded.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining() == Some(0)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.remaining()
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
