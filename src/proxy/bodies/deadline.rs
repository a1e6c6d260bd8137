//! How long a body may take.

use std::time::Duration;
use tokio::time::Instant;

/// Whoever sends a body or an answer slower than this many bytes a second, beyond the time that any may take,
/// is cut off.
const MIN_BYTES_PER_SECOND: u64 = 32 * 1024;

/// How long a body may take.
#[derive(Clone, Copy, Debug)]
pub struct BodyDeadline {
    /// When one without bytes is late.
    pub grace_ends: Instant,
}

impl BodyDeadline {
    /// When one is late of which so many bytes have come.
    #[must_use]
    pub fn after(&self, bytes: u64) -> Instant {
        self.grace_ends
            + Duration::from_micros(bytes.saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND)
    }
}
