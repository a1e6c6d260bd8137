//! The deadline by which the next bytes of a body must arrive.

use crate::balancer::time::SECOND;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum average rate of a body after its grace period. A slower body is cut off.
pub(super) const MIN_BYTES_PER_SECOND: u64 = 32 * 1024;

/// The deadline of a body: the end of a grace period, extended by the time that the received bytes take at
/// 32 KiB per second.
#[derive(Clone, Copy, Debug)]
pub struct BodyDeadline {
    /// The end of the grace period, which is the deadline until the first byte of the body is received.
    pub grace_ends_at: Instant,
}

impl BodyDeadline {
    /// Returns the deadline of a body of which `bytes` bytes have been received.
    #[must_use]
    pub fn after_receiving(&self, bytes: u64) -> Instant {
        let transfer_micros = bytes.saturating_mul(SECOND) / MIN_BYTES_PER_SECOND;
        self.grace_ends_at + Duration::from_micros(transfer_micros)
    }
}
