//! Whether the proxy would notice that the client of a request disconnects.
//!
//! The kernel reports the end of a connection only after all bytes before it have been read. A client whose bytes are not
//! read for lack of memory may have left, so nothing may be sent for it after a short time.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The longest time from the last read to the start of an attempt. An attempt that starts 0.1 s after its client has left
/// is too late.
const MAX_UNSEEN_TIME: Duration = Duration::from_millis(60);

/// Whether the end of a client's connection would be noticed.
#[derive(Debug, Default)]
pub struct ClientPresence {
    /// The time since which bytes of the client may be unread; `None` while all are read as they arrive.
    unseen_since: Cell<Option<Instant>>,
}

impl ClientPresence {
    /// Records whether all bytes of the client are read as they arrive.
    pub fn set_seen(&self, is_seen: bool) {
        let since = self.unseen_since.get();
        self.unseen_since.set(if is_seen {
            None
        } else {
            since.or_else(|| Some(Instant::now()))
        });
    }

    /// Returns whether an attempt may start: the client cannot have left long ago without notice.
    #[must_use]
    pub fn permits_attempt(&self) -> bool {
        self.unseen_since
            .get()
            .is_none_or(|since| since.elapsed() < MAX_UNSEEN_TIME)
    }
}
