//! Admission: the course of a request from its arrival to its final answer. It is sent where there is available
//! capacity, or queued briefly, or rejected.

use super::Balancer;
use super::limits::MIN_WINDOW;
use super::queue::max_wait;
use super::requests::{OpenRequest, RequestKey};
use super::retries::{self, RetryScope};
use super::timers::Timer;
use crate::api::{Action, ClassIndex, Micros, Request};

/// A rejected client waits for its latency objective before it retries where a proxy has this many slots, for less where
/// it has fewer ...
const FULL_RETRY_AFTER_SLOTS: f64 = 16.0;
/// ... and for this part of the objective at the least.
const MIN_RETRY_AFTER: f64 = 0.125;

impl Balancer {
    /// Takes a new request. A request whose id is open already is ignored.
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
        if self.capacity.is_older_than(now, MIN_WINDOW) {
            self.evaluate_capacity(now);
        }
        self.dispatch(now, key, out);
    }

    /// Sends a request where there is available capacity, or queues it, or ends it. A request over its tenant's quota is
    /// never queued.
    fn dispatch(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if let Some(backend) = self.select_backend(now, key) {
            self.send(now, key, backend, out);
            return;
        }
        let is_over_quota = self.requests[key].over_quota;
        if is_over_quota || self.is_hopeless(now, key) {
            self.end_wait(now, key, out);
        } else {
            self.enqueue(now, key, out);
        }
    }

    /// Ends the wait of a request, or spares it one: it is sent if there is available capacity now, or answered.
    pub(super) fn end_wait(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if !self.is_past_objective(now, key)
            && let Some(backend) = self.select_backend(now, key)
        {
            self.send(now, key, backend, out);
            return;
        }
        self.dequeue(key);
        self.give_up(now, key, out);
    }

    /// Makes another attempt after one that failed, if the rules and the retry budget allow it.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        key: RequestKey,
        is_not_executed: bool,
        out: &mut Vec<Action>,
    ) {
        let request = &self.requests[key];
        if request.is_in_flight() || request.queued_until.is_some() {
            return;
        }
        let needs_token = !is_not_executed;
        let is_allowed = !needs_token || self.retry_budget.has_token();
        if self.is_hopeless(now, key) || !is_allowed {
            self.give_up(now, key, out);
            return;
        }
        if needs_token {
            self.retry_budget.withdraw();
        }
        self.dispatch(now, key, out);
    }

    /// Whether no further attempt may be made, or none that would be in time.
    fn is_hopeless(&self, now: Micros, key: RequestKey) -> bool {
        let scope = self.next_attempt_scope(now, key);
        scope == RetryScope::Nowhere || self.is_past_objective(now, key)
    }

    /// Whether an attempt that starts now would come too late for its response to earn anything.
    fn is_past_objective(&self, now: Micros, key: RequestKey) -> bool {
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

    /// Returns where the next attempt of a request may go.
    pub(super) fn next_attempt_scope(&self, now: Micros, key: RequestKey) -> RetryScope {
        let request = &self.requests[key];
        let idempotency = self.settings.class(request.class).idempotency;
        let permissions = &self.settings.permissions;
        retries::next_attempt_scope(now, request, idempotency, permissions, &self.backends)
    }

    /// Ends a request for which no attempt can be started, unless one is still in flight.
    fn give_up(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        if !self.requests[key].is_in_flight() {
            self.answer(now, key, out);
        }
    }

    /// Gives the balancer's final answer; nothing else here does (rule 1). It is a rejection wherever a retry by the client is harmless: an
    /// idempotent request is always rejected, however its attempts failed.
    fn answer(&mut self, now: Micros, key: RequestKey, out: &mut Vec<Action>) {
        let open = &self.requests[key];
        if open.closed {
            return;
        }
        let request = open.id;
        let idempotency = self.settings.class(open.class).idempotency;
        let action = if retries::is_rejection_harmless(now, open, idempotency) {
            let retry_after = self.retry_after(open.class);
            Action::Reject {
                request,
                retry_after,
            }
        } else {
            Action::Fail { request }
        };
        out.push(action);
        self.close(key);
    }

    /// Returns how long a rejected client should wait before it retries.
    ///
    /// Departure: a proxy with few slots rejects mostly because requests came together there, and the client's retry,
    /// likely at another proxy, can still meet its objective. With many slots to a proxy all proxies are full.
    fn retry_after(&self, class: ClassIndex) -> Micros {
        let limit_sum = self.capacity.limit_sum();
        let part = (limit_sum / FULL_RETRY_AFTER_SLOTS).clamp(MIN_RETRY_AFTER, 1.0);
        let objective = self.settings.class(class).latency_objective;
        let wait = (objective as f64 * part) as Micros;
        match self.settings.permissions.max_retry_after {
            Some(max) => wait.min(max),
            None => wait,
        }
    }

    /// Closes a request that has its final answer, or whose client has left. Its entry stays until its attempts have ended.
    pub(super) fn close(&mut self, key: RequestKey) {
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

    /// Takes a request out of the queue, if it is in there.
    pub(super) fn dequeue(&mut self, key: RequestKey) {
        if self.requests[key].queued_until.take().is_some() {
            self.queue.remove(key);
        }
    }

    /// Sends queued requests while there is available capacity, the one with the greatest weight for its work first.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(key) = self.queue.first_by_priority(|key| self.priority(key)) {
            let Some(backend) = self.select_backend(now, key) else {
                return;
            };
            self.send(now, key, backend, out);
        }
    }

    /// Returns a queued request's priority weight for the work of its class.
    fn priority(&self, key: RequestKey) -> f64 {
        let request = &self.requests[key];
        let class = self.settings.class(request.class);
        class.priority_weight / self.latencies.mean(request.class)
    }
}
