//! Attempts and timers of a virtual proxy, ordered by the time at which they are due.

use crate::units::MICROS_PER_MILLISECOND;
use tillerproxy::api::{AttemptEnd, BackendId, Micros, Outcome, RequestId};

/// An attempt in flight, ordered by the time at which it ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Attempt {
    pub(super) ends_at: Micros,
    pub(super) request: RequestId,
    /// Number of earlier attempts of the same request.
    pub(super) number: u16,
    pub(super) backend: BackendId,
    pub(super) sent_at: Micros,
    pub(super) end_reason: EndReason,
}

/// Reason why an attempt ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum EndReason {
    /// The attempt's deadline passes before the backend answers.
    DeadlineExceeded,
    /// The backend answers before the attempt's deadline.
    Answered,
}

/// A timer set by the balancer, ordered by the time at which it fires.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Timer {
    pub(super) due_at: Micros,
    pub(super) token: u32,
}

impl Attempt {
    /// Returns the duration of the attempt.
    fn elapsed(&self) -> Micros {
        self.ends_at - self.sent_at
    }

    /// Returns the duration of the attempt in milliseconds.
    pub(super) fn elapsed_ms(&self) -> f32 {
        self.elapsed() as f32 / MICROS_PER_MILLISECOND as f32
    }

    /// Returns the event that tells the balancer of the end of the attempt. If the backend answers, the event carries
    /// its load report.
    pub(super) fn end_event<'a>(&self, load_report: &'a [f32]) -> AttemptEnd<'a> {
        let is_answered = self.end_reason == EndReason::Answered;
        AttemptEnd {
            request: self.request,
            backend: self.backend,
            attempt: self.number,
            outcome: if is_answered {
                Outcome::Ok
            } else {
                Outcome::Timeout
            },
            request_answered: is_answered,
            elapsed: self.elapsed(),
            load_report: if is_answered { load_report } else { &[] },
            body_consumed: false,
        }
    }
}
