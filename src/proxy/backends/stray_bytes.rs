//! Stray bytes: bytes from backends that belong to no request, such as a second response to the same request.
//!
//! HTTP/1.1 assigns responses to requests by their order on the connection alone. A second response that arrives while
//! the next request is in flight is therefore taken for its response, and each later response on the connection for
//! the response to the request after its own. So a connection is used again only after a delay in which a second
//! response would have arrived.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The shortest delay from a response until its connection is used again. A second response arrives some milliseconds
/// after the first.
const MIN_REUSE_DELAY: Duration = Duration::from_millis(10);
/// The longest delay from a response to bytes that are taken for a second response. Later ones are a message about the
/// idle connection, such as a 408 response before its close.
pub(super) const MAX_SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// The reuse delay is this multiple of the longest recent delay of a second response.
const REUSE_DELAY_FACTOR: u32 = 2;
/// Time for which a second response determines the reuse delay.
const RECENT: Duration = Duration::from_secs(60);

/// The arrival of a second response.
#[derive(Clone, Copy)]
struct SecondResponse {
    arrived_at: Instant,
    /// Time since the end of the first response.
    delay: Duration,
}

/// The recent stray bytes on all connections, and the reuse delay that follows from them.
#[derive(Default)]
pub(super) struct StrayBytes {
    /// The recent second response with the longest delay.
    slowest: Cell<Option<SecondResponse>>,
}

impl StrayBytes {
    /// Records that stray bytes have arrived now, `delay` after the end of the last response on their connection.
    pub(super) fn record(&self, delay: Duration) {
        let is_slowest = self.slowest().is_none_or(|slowest| slowest.delay <= delay);
        if is_slowest && delay <= MAX_SECOND_RESPONSE_DELAY {
            self.slowest.set(Some(SecondResponse {
                arrived_at: Instant::now(),
                delay,
            }));
        }
    }

    /// Returns the delay from a response until its connection is used again.
    pub(super) fn reuse_delay(&self) -> Duration {
        let slowest = self
            .slowest()
            .map_or(Duration::ZERO, |slowest| slowest.delay);
        (REUSE_DELAY_FACTOR * slowest).max(MIN_REUSE_DELAY)
    }

    /// Returns the recent second response with the longest delay.
    fn slowest(&self) -> Option<SecondResponse> {
        self.slowest
            .get()
            .filter(|slowest| slowest.arrived_at.elapsed() < RECENT)
    }
}
