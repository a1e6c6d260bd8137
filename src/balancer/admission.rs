//! Admission: handling of a request from its arrival to its final answer. A request is sent to a backend with available
//! capacity, queued briefly, or rejected.

use super::Balancer;
use super::limits::MIN_WINDOW_DURATION;
use super::queue::max_wait;
use super::requests::{OpenRequest, RequestKey};
use super::retries::{self, RetryScope};
use super::timers::Timer;
use crate::api::{Action, ClassIndex, Micros, Request};

/// Minimum sum of a proxy's limits, in slots, at which `Retry-After` is the class's whole latency objective. With a
/// smaller sum, `Retry-After` is proportionally shorter.
const FULL_RETRY_AFTER_SLOTS: f64 = 16.0;
/// Shortest `Retry-After`, as a fraction of the latency objective.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.125;

impl Balancer {
    /// Handles the arrival of a request. A request whose id is already open is ignored.
    pub(super) fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.requests.find(request.id).is_some() {
            return;
        }
        let last_class = self.settings.classes.len() - 1;
        let class = ClassIndex(request.class.index().min(last_class) as u8);
        let over_quota = self.quotas.charge(now, request.tenant);
        let deadline = now + request.timeout;
        let open = OpenRequest::new(request.id, class, over_quota, now, deadline);
        let key = self.requests.insert(open);
        self.retry_budget.deposit();
        if self.capacity.is_older_than(now, MIN_WINDOW_DURATION) {
            self.evaluate_capacity(now);
        }
        self.dispatch(now, key, out);
    }

    /// Sends a request to a backend with available capacity. If there is none, queues the request, or answers it if its
    /// tenant was over its quota, no further attempt is permitted, or a response would come too late.
    fn dispatch(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if let Some(backend) = self.select_backend(now, key) {
            self.send(now, key, backend, out);
            return;
        }
        let is_over_quota = self.requests[key].over_quota;
        if is_over_quota || !self.can_answer_in_time(now, key) {
            self.send_or_answer(now, key, out);
        } else {
            self.enqueue(now, key, out);
        }
    }

    /// Sends a request that must not wait, or wait any longer, in the queue. The request is answered instead if no
    /// backend has available capacity or the response would come too late, unless an attempt is still in flight.
    pub(super) fn send_or_answer(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if !self.would_respond_too_late(now, key)
            && let Some(backend) = self.select_backend(now, key)
        {
            self.send(now, key, backend, out);
            return;
        }
        self.dequeue(key);
        self.answer_unless_in_flight(now, key, out);
    }

    /// Retries a request after a failed attempt, if the rules and the retry budget permit it, and otherwise answers it.
    /// Does nothing while another attempt is in flight or the request is queued.
    ///
    /// `may_have_executed` states whether the backend may have executed the failed attempt. Only then does a retry take
    /// a token from the budget.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        key: RequestKey,
        may_have_executed: bool,
        out: &mut Vec<Action>,
    ) {
        let request = &self.requests[key];
        if request.is_in_flight() || request.queued_until.is_some() {
            return;
        }
        let is_allowed = !may_have_executed || self.retry_budget.has_token();
        if !self.can_answer_in_time(now, key) || !is_allowed {
            self.answer_unless_in_flight(now, key, out);
            return;
        }
        if may_have_executed {
            self.retry_budget.withdraw();
        }
        self.dispatch(now, key, out);
    }

    /// Reports whether another attempt is permitted and its response could come in time to be useful.
    fn can_answer_in_time(&self, now: Micros, key: RequestKey) -> bool {
        let scope = self.next_attempt_scope(now, key);
        scope != RetryScope::Nowhere && !self.would_respond_too_late(now, key)
    }

    /// Reports whether the response to an attempt that starts now would come too late to count for the priority weight
    /// of its class: after the latency objective if a late response of the class does not count, and after the client's
    /// timeout otherwise. The attempt is assumed to take half the mean latency, so that a request is given up only if
    /// even a quick response would be too late.
    fn would_respond_too_late(&self, now: Micros, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let class = self.settings.class(request.class);
        let last_useful = if class.late_weight_factor > 0.0 {
            request.deadline
        } else {
            let objective_at = request.arrived_at + class.latency_objective;
            request.deadline.min(objective_at)
        };
        let half_mean = (self.latencies.mean(request.class) / 2.0) as Micros;
        now + half_mean >= last_useful
    }

    /// Returns the scope of backends that the next attempt of a request may be sent to.
    pub(super) fn next_attempt_scope(&self, now: Micros, key: RequestKey) -> RetryScope {
        let request = &self.requests[key];
        let idempotency = self.settings.class(request.class).idempotency;
        let permissions = &self.settings.permissions;
        retries::next_attempt_scope(now, request, idempotency, permissions, &self.backends)
    }

    /// Answers a request for which no attempt can be started, unless one is still in flight.
    fn answer_unless_in_flight(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if !self.requests[key].is_in_flight() {
            self.answer(now, key, out);
        }
    }

    /// Gives a request its final answer, if it has none (rule 1, one final answer). No other function of the balancer
    /// gives a final answer.
    ///
    /// The answer is a rejection wherever a retry by the client is harmless (rule 2, idempotency). An idempotent
    /// request is therefore always rejected, however its attempts failed.
    fn answer(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        let open = &self.requests[key];
        if open.closed {
            return;
        }
        let request = open.id;
        let idempotency = self.settings.class(open.class).idempotency;
        let action = if retries::may_client_retry(now, open, idempotency) {
            let retry_after = self.retry_after(open.class);
            Action::Reject {
                request,
                retry_after,
            }
        } else {
            Action::Fail { request }
        };
        out.push(action);
        self.close_request(key);
    }

    /// Returns the time for which a rejected client should wait before it retries.
    ///
    /// Deviation: the time is shorter at a proxy with few slots. Such a proxy rejects mostly because several requests
    /// arrived at once, and the client's retry, likely at another proxy, can still meet its latency objective. A proxy
    /// with many slots rejects only when all proxies are full.
    fn retry_after(&self, class: ClassIndex) -> Micros {
        let limit_sum = self.capacity.limit_sum();
        let fraction = (limit_sum / FULL_RETRY_AFTER_SLOTS).clamp(MIN_RETRY_AFTER_FRACTION, 1.0);
        let objective = self.settings.class(class).latency_objective;
        let wait = (objective as f64 * fraction) as Micros;
        match self.settings.permissions.max_retry_after {
            Some(max) => wait.min(max),
            None => wait,
        }
    }

    /// Closes a request that has its final answer or whose client has disconnected. While an attempt is in flight, the
    /// request stays in the table; it is removed when this is called again after the last attempt has ended.
    pub(super) fn close_request(&mut self, key: RequestKey) {
        self.dequeue(key);
        let request = &mut self.requests[key];
        request.closed = true;
        if request.is_in_flight() {
            return;
        }
        for attempt in &request.attempts {
            self.backends.release(attempt.backend);
        }
        self.requests.remove(key);
    }

    /// Queues a request until a backend has available capacity, for at most the maximum wait. The limits of all machine
    /// types then count as nearly reached, so that they may grow.
    fn enqueue(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        let wait = max_wait(now, self.requests[key].deadline);
        for limit in &mut self.machine_type_limits {
            limit.mark_near_limit();
        }
        self.requests[key].queued_until = Some(now + wait);
        self.queue.push(key);
        out.push(Action::SetTimer {
            after: wait,
            token: Timer::QueueTimeout(key).token(),
        });
    }

    /// Removes a request from the queue, if it is queued.
    pub(super) fn dequeue(&mut self, key: RequestKey) {
        if self.requests[key].queued_until.take().is_some() {
            self.queue.remove(key);
        }
    }

    /// Sends queued requests while backends have available capacity, in order of priority.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(key) = self.queue.first_by_priority(|key| self.priority(key)) {
            let Some(backend) = self.select_backend(now, key) else {
                return;
            };
            self.send(now, key, backend, out);
        }
    }

    /// Returns the priority of a queued request: the priority weight of its class per mean latency of the class.
    fn priority(&self, key: RequestKey) -> f64 {
        let request = &self.requests[key];
        let class = self.settings.class(request.class);
        class.priority_weight / self.latencies.mean(request.class)
    }
}
