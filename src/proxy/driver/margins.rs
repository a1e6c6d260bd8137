//! How long before a client's timeout a request has to be decided.

use crate::api::Micros;

/// The balancer is given this much less time than the client waits: the response has to be written,
/// and to travel.
const BALANCER_MARGIN: Micros = 20_000;
/// A request that the balancer left open fails this long before the client's timeout.
const FINAL_ANSWER_MARGIN: Micros = 10_000;
/// All requests are answered this long before the process ends.
const SHUTDOWN_MARGIN: Micros = 100_000;

/// Returns the time that the balancer has for a request with this remaining time: half of it at
/// least.
pub(super) fn balancer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(BALANCER_MARGIN.min(remaining / 2))
}

/// Returns the time after which a request with this remaining time fails: three quarters of it at
/// least.
pub(super) fn final_answer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(FINAL_ANSWER_MARGIN.min(remaining / 4))
}

/// Returns when requests are answered at the latest in a process that ends at `process_end`.
pub(super) fn last_answer_before(process_end: Micros) -> Micros {
    process_end.saturating_sub(SHUTDOWN_MARGIN)
}

#[cfg(test)]
mod tests;
