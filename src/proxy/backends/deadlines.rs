//! The deadlines of an attempt.

use crate::proxy::bodies::UploadProgress;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The longest time before the deadline of a request's last attempt at which its response is streamed as far as it has
/// arrived. A process that is held up for less still streams it.
const MAX_STREAM_MARGIN: Duration = Duration::from_millis(25);
/// An attempt's time is divided by this for the time before its deadline at which its response is streamed. Until then a
/// response that breaks has sent nothing to its client.
const STREAM_MARGIN_DIVISOR: u32 = 4;

/// The deadlines of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The time at which the attempt times out.
    pub deadline: Instant,
    /// The time at which the attempt is abandoned unless its request is completely written; `None` if only `deadline`
    /// applies.
    pub write_deadline: Option<Instant>,
    /// Whether the request ends with the attempt, because no other attempt could follow after `deadline`.
    pub is_last: bool,
}

/// The timeout of an attempt whose request is being sent. The body of the request may postpone it.
pub(super) struct ExchangeTimeout<'a> {
    pub(super) deadlines: AttemptDeadlines,
    /// The time that remained until the deadline when the request was sent.
    pub(super) remaining: Duration,
    /// The progress of the request's body; `None` if the body is buffered.
    pub(super) upload: Option<&'a UploadProgress>,
}

impl ExchangeTimeout<'_> {
    /// Returns the time at which the attempt times out as far as is known now: at its deadline, or `remaining` after the
    /// client may have sent the last byte of a streamed body, if that is later.
    fn due(&self) -> Instant {
        let deadline = self.deadlines.deadline;
        self.upload.map_or(deadline, |upload| {
            deadline.max(upload.last_byte_not_before() + self.remaining)
        })
    }

    /// Returns the time from which a response of unknown length that has begun to arrive must not be buffered any longer:
    /// it may be a long one, whose first bytes must be in time. Returns `None` for other attempts than the last, because
    /// another attempt may return the whole response.
    pub(super) fn stream_by(&self) -> Option<Instant> {
        let margin = MAX_STREAM_MARGIN.min(self.remaining / STREAM_MARGIN_DIVISOR);
        self.deadlines.is_last.then(|| self.due() - margin)
    }

    /// Waits until the attempt times out.
    pub(super) async fn wait(&self) {
        loop {
            let due = self.due();
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
    }
}
