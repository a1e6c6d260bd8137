//! Time margins between the answer to a request and its client's timeout or the end of the process.

use crate::api::Micros;

/// A margin that is a fraction of the remaining time, within limits.
struct Margin {
    /// The remaining time is divided by this.
    divisor: Micros,
    min: Micros,
    max: Micros,
    /// The part of the remaining time that the margin never exceeds, even if that is less than `min`: one divided by
    /// this.
    max_part: Micros,
}

/// Time between the timeout that the balancer is given and the client's timeout, in which the response must be written
/// and transmitted.
const BALANCER_MARGIN: Margin = Margin {
    divisor: 5,
    min: 5_000,
    max: 20_000,
    max_part: 2,
};
/// Time before the client's timeout at which an unanswered request fails.
const FINAL_ANSWER_MARGIN: Margin = Margin {
    divisor: 10,
    min: 2_500,
    max: 10_000,
    max_part: 4,
};
/// Time between an answer and the end of the process, or the time at which the process may be killed.
const SHUTDOWN_MARGIN: Micros = 100_000;

impl Margin {
    fn of(&self, remaining: Micros) -> Micros {
        let fraction = remaining / self.divisor;
        let largest = remaining / self.max_part;
        fraction.clamp(self.min, self.max).min(largest)
    }
}

/// Returns the timeout that the balancer is given for a request whose client waits for `remaining`: at least half of
/// `remaining`.
pub(super) fn balancer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(BALANCER_MARGIN.of(remaining))
}

/// Returns the time after which an unanswered request fails if its client waits for `remaining`: at least three
/// quarters of `remaining`.
pub(super) fn final_answer_timeout(remaining: Micros) -> Micros {
    remaining.saturating_sub(FINAL_ANSWER_MARGIN.of(remaining))
}

/// Returns the time by which a request must be answered during a shutdown that requires it by `limit`.
pub(super) fn answer_deadline_in_shutdown(limit: Micros) -> Micros {
    limit.saturating_sub(SHUTDOWN_MARGIN)
}

#[cfg(test)]
mod tests;
