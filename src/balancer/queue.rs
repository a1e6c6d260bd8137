//! The queue: requests without a backend that has available capacity wait briefly.

use super::requests::RequestKey;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// A request waits for this part of its remaining time.
const WAIT_DIVISOR: Micros = 10;

/// Returns how long a request waits whose client gives it up at `deadline`.
pub(crate) fn max_wait(now: Micros, deadline: Micros) -> Micros {
    deadline.saturating_sub(now) / WAIT_DIVISOR
}

/// The requests that wait, in the order of their arrival.
#[derive(Default)]
pub(crate) struct WaitQueue {
    requests: Vec<RequestKey>,
}

impl WaitQueue {
    /// Adds a request.
    pub(crate) fn push(&mut self, request: RequestKey) {
        self.requests.push(request);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        self.requests.retain(|&queued| queued != request);
    }

    /// Returns the request of the greatest priority; of equal ones, the first that came.
    pub(crate) fn first_by_priority(
        &self,
        priority: impl Fn(RequestKey) -> f64,
    ) -> Option<RequestKey> {
        self.requests.iter().copied().reduce(|best, next| {
            if priority(next) > priority(best) {
                next
            } else {
                best
            }
        })
    }
}
