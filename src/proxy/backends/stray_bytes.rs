//! Stray bytes: bytes from backends that belong to no request, such as a second response to the same request.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Delay from a response until its connection is used again, if stray bytes have arrived recently. A second response
/// arrives some milliseconds after the first. If another request was sent in between, the second response would be
/// taken for its response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Time after the arrival of stray bytes during which [`REUSE_DELAY`] applies.
const RECENT_STRAY_BYTES: Duration = Duration::from_secs(60);

/// The time of the last stray bytes on any connection.
#[derive(Default)]
pub(super) struct StrayBytes(Cell<Option<Instant>>);

impl StrayBytes {
    /// Records the arrival of stray bytes.
    pub(super) fn record(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Returns the delay from a response until its connection is used again. Deviation: there is a delay only if stray
    /// bytes have arrived recently, because a delay costs capacity.
    pub(super) fn reuse_delay(&self) -> Duration {
        let are_recent = self
            .0
            .get()
            .is_some_and(|last| last.elapsed() < RECENT_STRAY_BYTES);
        if are_recent {
            REUSE_DELAY
        } else {
            Duration::ZERO
        }
    }
}
