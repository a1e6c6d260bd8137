//! The time before which the client of an open request cannot have sent the last byte of its body.
//!
//! That a poll of a body is pending shows only what was known during the poll. Nothing reads the body while its backend
//! takes no more bytes, and the client may send the rest meanwhile, so the kernel is asked for unread bytes.

use super::ClientConnection;
use crate::proxy::bodies::REQUEST_BODY_PACE;
use crate::proxy::time_limits::REQUEST_TIMEOUT;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The largest number of bytes that the kernels of a client and of the proxy together are taken to buffer. A client
/// cannot have sent its last byte while more than that has not been read.
const MAX_KERNEL_BUFFER_BYTES: u64 = 16 << 20;
/// Interval at which a client that is not read is checked for a pause.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl ClientConnection {
    /// Returns the last time at which the client of request `number` is known not to have sent the last byte of the body:
    /// now, if all that it has sent has been read and the body is incomplete. Returns `None` if the request is not the
    /// current one.
    #[must_use]
    pub fn body_incomplete_at(&self, number: u64) -> Option<Instant> {
        if number != self.requests.get() {
            return None;
        }
        self.record_drained();
        Some(self.body_incomplete_at.get())
    }

    /// Returns whether the client cannot have sent the last byte of the body of the current request yet. Unless much of
    /// the body is missing, this takes a system call.
    #[must_use]
    pub fn is_body_incomplete(&self) -> bool {
        self.is_receiving_body() && (self.has_long_rest() || !self.has_unread())
    }

    /// Records that the body of the current request is incomplete, if it is known without a system call.
    pub(super) fn record_long_rest(&self) {
        if self.is_receiving_body() && self.has_long_rest() {
            self.body_incomplete_at.set(Instant::now());
        }
    }

    /// Records that the body of the current request is incomplete, if all that the client has sent has been read.
    pub(super) fn record_drained(&self) {
        if self.waits_for_body() {
            self.body_incomplete_at.set(Instant::now());
        }
    }

    /// Waits until the client has paused in the middle of the body for longer than it may. A body that is not polled,
    /// because its backend takes no more bytes, does not notice the pause.
    pub async fn body_stopped(&self) {
        let started_at = if self.requests.get() == 1 {
            self.connected_at
        } else {
            self.head_started_at.get()
        };
        let grace_ends_at = started_at + REQUEST_TIMEOUT;
        loop {
            let pause_ends_at = self.last_activity.get() + REQUEST_BODY_PACE.max_pause;
            let stops_at = grace_ends_at.max(pause_ends_at);
            if stops_at > Instant::now() {
                sleep_until(stops_at).await;
            } else if self.waits_for_body() {
                return;
            } else {
                sleep(STOP_CHECK_INTERVAL).await;
            }
        }
    }

    /// Returns whether all that the client has sent has been read and the body of the current request is incomplete.
    fn waits_for_body(&self) -> bool {
        self.is_receiving_body() && !self.has_unread()
    }

    /// Returns whether a part of the body of the current request has not been read yet.
    fn is_receiving_body(&self) -> bool {
        let framing = self.framing.borrow();
        framing.heads() == self.requests.get() && framing.is_in_body()
    }

    /// Returns whether more of the body has not been read yet than kernels buffer.
    fn has_long_rest(&self) -> bool {
        let rest = self.framing.borrow().remaining_body_bytes();
        rest.is_some_and(|bytes| bytes > MAX_KERNEL_BUFFER_BYTES)
    }
}
