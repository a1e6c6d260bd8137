//! The queue: requests wait briefly while no backend has available capacity.

use super::requests::RequestKey;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Divisor of a request's remaining time that gives its maximum wait in the queue.
const WAIT_DIVISOR: Micros = 10;

/// Returns the maximum wait of a request whose client times out at `deadline`.
pub(crate) fn max_wait(now: Micros, deadline: Micros) -> Micros {
    deadline.saturating_sub(now) / WAIT_DIVISOR
}

/// The queued requests, in order of arrival.
#[derive(Default)]
pub(crate) struct WaitQueue {
    requests: Vec<RequestKey>,
}

impl WaitQueue {
    /// Appends a request.
    pub(crate) fn push(&mut self, request: RequestKey) {
        self.requests.push(request);
    }

    /// Removes a request; does nothing if it is not queued.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        self.requests.retain(|&queued| queued != request);
    }

    /// Returns the request with the highest priority, or `None` if the queue is empty. Among equal priorities, the
    /// request that arrived first is returned.
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
