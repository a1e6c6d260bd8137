//! The time for which the receiver of a body still waits for its sender.

use super::deadline::MIN_BYTES_PER_SECOND;
use crate::balancer::time::SECOND;
use std::time::Duration;
use tokio::time::Instant;

/// The longest pause that received bytes entitle a sender to, however many there are.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// The time for which the receiver of a body still waits for its sender. It begins as a grace period. Waiting uses it
/// up, and received bytes restore it at 32 KiB per second, up to `MAX_PAUSE`.
///
/// So a sender that keeps the minimum rate may take as long as its body needs, and one that stops is cut off soon,
/// whatever it has sent before. Time in which the receiver does not wait, because it cannot take more bytes, does not
/// count.
#[derive(Clone, Copy, Debug)]
pub struct WaitAllowance {
    remaining: Duration,
    /// The time at which the current wait began; `None` while the receiver does not wait.
    waiting_since: Option<Instant>,
}

impl WaitAllowance {
    /// Creates the allowance of a body whose sender has `grace` until the first byte.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self {
            remaining: grace,
            waiting_since: None,
        }
    }

    /// Begins a wait, unless one has begun already, and returns the time at which it ends without success.
    pub fn begin_wait(&mut self) -> Instant {
        *self.waiting_since.get_or_insert_with(Instant::now) + self.remaining
    }

    /// Ends the wait, because `bytes` bytes were received.
    pub fn receive(&mut self, bytes: usize) {
        if let Some(since) = self.waiting_since.take() {
            self.remaining = self.remaining.saturating_sub(since.elapsed());
        }
        let restored = (bytes as u64).saturating_mul(SECOND) / MIN_BYTES_PER_SECOND;
        let extended = self.remaining + Duration::from_micros(restored);
        self.remaining = extended.min(MAX_PAUSE).max(self.remaining);
    }
}

#[cfg(test)]
mod tests;
