//! Attempts and timers of a virtual proxy, ordered by their time.

use crate::units::MICROS_PER_MILLISECOND;
use tillerproxy::api::{AttemptEnd, BackendId, Micros, Outcome, RequestId};

/// An attempt in flight, ordered by its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Attempt {
    pub(super) ends_at: Micros,
    pub(super) request: RequestId,
    pub(super) number: u16,
    pub(super) backend: BackendId,
    pub(super) sent_at: Micros,
    pub(super) end: End,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum End {
    /// Its deadline passes.
    DeadlineExceeded,
    /// The backend answers.
    Answered,
}

/// A timer that the balancer has set, ordered by its time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Timer {
    pub(super) due_at: Micros,
    pub(super) token: u32,
}

impl Attempt {
    fn elapsed(&self) -> Micros {
        self.ends_at - self.sent_at
    }

    /// Returns the time from the attempt to its end, milliseconds.
    pub(super) fn elapsed_ms(&self) -> f32 {
        self.elapsed() as f32 / MICROS_PER_MILLISECOND as f32
    }

    /// Returns the event of its end, with the load report of its backend.
    pub(super) fn end_event<'a>(&self, load_report: &'a [f32]) -> AttemptEnd<'a> {
        let is_answered = self.end == End::Answered;
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
