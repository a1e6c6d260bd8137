//! Bytes from backends that belong to no request, such as a second answer to the same one.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection waits behind an answer before it carries a further request, where second answers
/// were seen of late. They come some milliseconds behind the first; once a request is out, one would be taken
/// for its own.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// How long a second answer counts as seen of late.
const MEMORY: Duration = Duration::from_secs(60);

/// When bytes last came that belong to no request, on any connection.
#[derive(Default)]
pub(super) struct StrayBytes(Cell<Option<Instant>>);

impl StrayBytes {
    /// Some came now.
    pub(super) fn record(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// How long a connection has to wait behind an answer. Departure: it has to where second answers were
    /// seen of late; elsewhere the wait would cost service for nothing.
    pub(super) fn reuse_delay(&self) -> Duration {
        let lately = self.0.get().is_some_and(|at| at.elapsed() < MEMORY);
        if lately { REUSE_DELAY } else { Duration::ZERO }
    }
}
