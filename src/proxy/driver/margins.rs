//! Time margins between the answer to a request and its client's timeout or the end of the process.

use crate::api::Micros;

/// Time between the timeout that the balancer is given and the client's timeout, in which the response must be written
/// and transmitted.
const BALANCER_MARGIN: Micros = 20_000;
/// Time before the client's timeout at which an unanswered request fails.
const FINAL_ANSWER_MARGIN: Micros = 10_000;
/// Time between an answer and the end of the process, or the time at which the process may be killed.
const SHUTDOWN_MARGIN: Micros = 100_000;

/// Returns the timeout that the balancer is given for a request whose client waits for `remaining`: at least half of
/// `remaining`.
pub(super) fn balancer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(BALANCER_MARGIN.min(remaining / 2))
}

/// Returns the time after which an unanswered request fails if its client waits for `remaining`: at least three
/// quarters of `remaining`.
pub(super) fn final_answer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(FINAL_ANSWER_MARGIN.min(remaining / 4))
}

/// Returns the time by which a request must be answered during a shutdown that requires it by `limit`.
pub(super) fn answer_deadline_in_shutdown(limit: Micros) -> Micros {
    limit.saturating_sub(SHUTDOWN_MARGIN)
}

#[cfg(test)]
mod tests;
