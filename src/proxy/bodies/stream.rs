//! What the bodies that are streamed share: how much of them is still to come, and how they fail.

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::task::Poll;

/// What a poll of a body returns.
pub(super) type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Its sender ended it before its last byte.
    #[error("the body is incomplete")]
    Incomplete(#[source] Option<hyper::Error>),
    /// It is larger than any body that is forwarded.
    #[error("the body is too large")]
    TooLarge,
    /// It came too slowly.
    #[error("the body is late")]
    TimedOut,
}

impl BodyError {
    /// Returns whether the body came too slowly.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut)
    }
}

/// The length of a streamed body, and how many bytes of it were forwarded.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamLength {
    /// `None` where the sender does not announce it.
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

    /// Counts forwarded bytes.
    pub(super) fn forward(&mut self, bytes: usize) {
        self.forwarded += bytes as u64;
    }

    pub(super) fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the number of bytes that are still to come, where the length is known.
    pub(super) fn remaining(&self) -> Option<u64> {
        self.total.map(|total| total.saturating_sub(self.forwarded))
    }

    /// Returns whether a body of known length is complete.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining() == Some(0)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.remaining()
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
