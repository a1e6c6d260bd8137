//! Bytes from backends that belong to no request, such as a second response to the same one.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection is not used again after a response, while stray bytes are recent. A second response comes
/// some milliseconds after the first; with another request in flight, it would be taken for that request's response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// How long stray bytes on any connection count as recent.
const RECENT_STRAY_BYTES: Duration = Duration::from_secs(60);

/// When bytes last came that belong to no request, on any connection.
#[derive(Default)]
pub(super) struct StrayBytes(Cell<Option<Instant>>);

impl StrayBytes {
    /// Records that stray bytes came now.
    pub(super) fn record(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Returns how long a connection is not used again after a response. Departure: there is a delay only while stray
    /// bytes are recent; elsewhere it would cost capacity for nothing.
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
