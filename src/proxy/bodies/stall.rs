//! Detects that the sender of a body makes no progress.

use std::time::Duration;
use tokio::time::Instant;

/// Time without progress after which the sender of a body is stalled.
pub const BODY_STALL_TIME: Duration = Duration::from_millis(200);
/// Number of bytes that are progress, so that a byte now and then does not count. A sender that keeps the minimum rate
/// of a body sends as many within [`BODY_STALL_TIME`].
pub const BODY_PROGRESS_BYTES: usize = 6 * 1024;

/// The progress of a body: the last time at which the sender had sent `BODY_PROGRESS_BYTES` more.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    last_at: Instant,
    /// Number of bytes received since then.
    bytes: usize,
}

impl BodyProgress {
    /// Returns the progress of a body that begins now.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            last_at: Instant::now(),
            bytes: 0,
        }
    }

    /// Returns the progress after `received` more bytes.
    #[must_use]
    pub fn after_receiving(self, received: usize) -> Self {
        let bytes = self.bytes + received;
        if bytes >= BODY_PROGRESS_BYTES {
            Self::begin()
        } else {
            Self { bytes, ..self }
        }
    }

    /// Returns the time of the last progress.
    #[must_use]
    pub fn last_at(&self) -> Instant {
        self.last_at
    }

    /// Returns the time from which the sender is stalled, unless it makes progress before.
    #[must_use]
    pub fn stalls_at(&self) -> Instant {
        self.last_at + BODY_STALL_TIME
    }

    /// Returns whether the sender is stalled.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.stalls_at() <= Instant::now()
    }
}
