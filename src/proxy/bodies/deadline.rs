//! How long a body may take.

use crate::proxy::clock::MICROS_PER_SECOND;
use std::time::Duration;
use tokio::time::Instant;

/// A sender that is slower than this, beyond the time that any body may take, is cut off.
const MIN_BYTES_PER_SECOND: u64 = 32 * 1024;

/// How long a body may take: a grace, and longer the more bytes of it have come.
#[derive(Clone, Copy, Debug)]
pub struct BodyDeadline {
    /// When a body is late of which nothing has come.
    pub grace_ends: Instant,
}

impl BodyDeadline {
    /// Returns when a body is late of which this many bytes have come.
    #[must_use]
    pub fn after(&self, bytes: u64) -> Instant {
        let transfer_micros = bytes.saturating_mul(MICROS_PER_SECOND) / MIN_BYTES_PER_SECOND;
        self.grace_ends + Duration::from_micros(transfer_micros)
    }
}
