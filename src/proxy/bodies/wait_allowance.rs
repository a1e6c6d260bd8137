//! The time for which the receiver of a body still waits for its sender.

use crate::balancer::time::SECOND;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum pace of the sender of a body. A body whose sender is slower is cut off.
#[derive(Clone, Copy, Debug)]
pub struct MinimumPace {
    /// The minimum average rate.
    pub bytes_per_second: u64,
    /// The longest pause that received bytes entitle the sender to, however many there are.
    pub max_pause: Duration,
}

/// The minimum pace of a client that sends the body of a request.
pub const REQUEST_BODY_PACE: MinimumPace = MinimumPace {
    bytes_per_second: 32 * 1024,
    max_pause: Duration::from_millis(1_500),
};

/// The minimum pace of a backend that sends the body of a response. A backend that is overloaded sends several times
/// more slowly than usual, one that hangs may go on after many seconds, and its response is not sent again.
pub const RESPONSE_BODY_PACE: MinimumPace = MinimumPace {
    bytes_per_second: 2 * 1024,
    max_pause: Duration::from_secs(30),
};

/// The time for which the receiver of a body still waits for its sender. It begins as a grace period. Waiting uses it
/// up, and received bytes restore it at the minimum rate, up to the longest pause.
///
/// So a sender that keeps the [`MinimumPace`] may take as long as its body needs, and one that stops is cut off soon,
/// whatever it has sent before. Time in which the receiver does not wait, because it cannot take more bytes, does not
/// count.
#[derive(Clone, Copy, Debug)]
pub struct WaitAllowance {
    pace: MinimumPace,
    remaining: Duration,
    /// The time at which the current wait began; `None` while the receiver does not wait.
    waiting_since: Option<Instant>,
}

impl WaitAllowance {
    /// Creates the allowance of a body whose sender has `grace` until the first byte.
    #[must_use]
    pub fn new(pace: MinimumPace, grace: Duration) -> Self {
        Self {
            pace,
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
        let restored = (bytes as u64).saturating_mul(SECOND) / self.pace.bytes_per_second;
        let extended = self.remaining + Duration::from_micros(restored);
        self.remaining = extended.min(self.pace.max_pause).max(self.remaining);
    }
}

#[cfg(test)]
mod tests;
