//! Bytes from backends that belong to no request, such as a second response to the same one.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests behind a response before it carries another request, where second responses were
/// seen lately. They come some milliseconds behind the first; with a request in flight, one would be taken for
/// its response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// How long a second response counts as seen lately.
const MEMORY: Duration = Duration::from_secs(60);

/// When bytes last came that belong to no request, on any connection.
#[derive(Default)]
pub(super) struct StrayBytes(Cell<Option<Instant>>);

impl StrayBytes {
    /// Records that some came now.
    pub(super) fn record(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Returns how long a connection rests behind a response. Departure: it rests only where second responses
    /// were seen lately; elsewhere the delay would cost capacity for nothing.
    pub(super) fn reuse_delay(&self) -> Duration {
        let seen_lately = self.0.get().is_some_and(|at| at.elapsed() < MEMORY);
        if seen_lately {
            REUSE_DELAY
        } else {
            Duration::ZERO
        }
    }
}
