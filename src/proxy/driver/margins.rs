//! Time margins: how long before a client's timeout its request must be answered.

use crate::api::Micros;

/// Time between the timeout that the balancer is given and the client's: the response must be written and transmitted in
/// it.
const BALANCER_MARGIN: Micros = 20_000;
/// Time before the client's timeout at which a request fails that the balancer has not answered.
const FINAL_ANSWER_MARGIN: Micros = 10_000;
/// Time before the end of the process by which all requests are answered.
const SHUTDOWN_MARGIN: Micros = 100_000;

/// Returns the timeout that the balancer is given for a request with this remaining time: at least half of it.
pub(super) fn balancer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(BALANCER_MARGIN.min(remaining / 2))
}

/// Returns the time after which a request with this remaining time fails: at least three quarters of it.
pub(super) fn final_answer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(FINAL_ANSWER_MARGIN.min(remaining / 4))
}

/// Returns the latest time at which a request is answered in a process that ends at `process_ends_at`.
pub(super) fn answer_deadline_before_process_end(process_ends_at: Micros) -> Micros {
    process_ends_at.saturating_sub(SHUTDOWN_MARGIN)
}

#[cfg(test)]
mod tests;
