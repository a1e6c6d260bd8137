//! Attempts: their start, the start of a streamed response, and their end. `observation` updates the policies with the
//! outcome.

use super::Balancer;
use super::backends::BackendKey;
use super::latency::lost_after;
use super::requests::{Attempt, AttemptState, RequestKey};
use super::retries;
use crate::api::{Action, AttemptEnd, Idempotency, Micros, Outcome, RequestId};

/// Timeout of an attempt that may be retried and whose class is not quick, as a multiple of the class's mean latency.
/// Such a class has a mean above a twentieth of its latency objective, so this timeout is past the objective and only
/// bounds how long a lost attempt delays its retry.
const LOST_OVER_MEAN: f64 = 24.0;

/// The timeout of an attempt.
struct AttemptTimeout {
    /// Time at which the attempt times out.
    deadline: Micros,
    /// Whether an attempt that times out counts as lost between proxy and backend rather than as slow.
    means_lost: bool,
}

impl Balancer {
    /// Starts an attempt on a backend that [`Balancer::select_backend`] returned for the request. No other function
    /// starts an attempt.
    pub(super) fn send(
        &mut self,
        now: Micros,
        request: RequestKey,
        backend: BackendKey,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(request);
        let connection_idle = self.take_connection(now, backend, out);
        self.refill_slow_start(now, backend);
        let timeout = self.attempt_timeout(now, request);
        let write_deadline = self.key_expires_at(request);
        let attempt = Attempt {
            connection_idle,
            timeout_means_lost: timeout.means_lost,
            overdue_at: self.overdue_at(now, request),
            is_trial: self.is_trial(now, request, backend),
            ..Attempt::new(backend, now)
        };
        self.occupy_slot(now, &attempt);
        self.withdraw_slow_start(now, backend);
        self.requests[request].attempts.push(attempt);
        self.backends[backend].references += 1;
        out.push(Action::Send {
            request: self.requests[request].id,
            backend: self.backends[backend].id,
            deadline: timeout.deadline,
            write_deadline,
        });
        self.reindex(now, backend);
    }

    /// Assigns a connection to the next attempt on a backend and returns the connection's estimated idle time, which is
    /// 0 for a new connection.
    ///
    /// If the connection has been idle for longer than the trusted idle time, the idle connections to the backend are
    /// closed first, so that the attempt uses a new one.
    fn take_connection(&mut self, now: Micros, key: BackendKey, out: &mut Vec<Action>) -> Micros {
        let per_connection = self.requests_per_connection();
        let backend = &mut self.backends[key];
        let in_flight = backend.in_flight.count();
        let idle = backend.connections.take(now, in_flight, per_connection);
        if !self.trusted_idle_time.exceeds_trusted_idle(now, idle) {
            return idle;
        }
        backend.connections.close_idle(in_flight, per_connection);
        out.push(Action::CloseIdleConnections(backend.id));
        0
    }

    /// Returns the number of requests that one connection carries at the same time, at least 1.
    pub(super) fn requests_per_connection(&self) -> u32 {
        self.settings.permissions.requests_per_connection.max(1)
    }

    /// Returns the timeout of an attempt that starts now.
    ///
    /// Deviation: an attempt that may be retried times out before the request's deadline. An attempt without a response
    /// long after the usual latency was probably lost (its connection may have failed unnoticed), and waiting until the
    /// deadline would leave no time for a retry.
    fn attempt_timeout(&self, now: Micros, request: RequestKey) -> AttemptTimeout {
        let request = &self.requests[request];
        let class = self.settings.class(request.class);
        let max_attempts = usize::from(self.settings.permissions.max_attempts);
        let is_last = request.attempts.len() + 1 >= max_attempts;
        let is_repeatable = class.idempotency != Idempotency::NonIdempotent;
        if is_last || !is_repeatable || !self.retry_budget.has_token() {
            return AttemptTimeout {
                deadline: request.deadline,
                means_lost: false,
            };
        }
        let is_quick = self.latencies.is_quick(request.class, class);
        let lost_after = if is_quick {
            lost_after(class)
        } else {
            self.latencies.mean(request.class) * LOST_OVER_MEAN
        };
        let lost_at = now.saturating_add(lost_after as Micros);
        AttemptTimeout {
            deadline: request.deadline.min(lost_at),
            means_lost: is_quick,
        }
    }

    /// Returns the time after which an attempt that starts now is overdue. An attempt of a class that is not quick is
    /// overdue after the class's timeout.
    pub(super) fn overdue_at(&self, now: Micros, request: RequestKey) -> Micros {
        let index = self.requests[request].class;
        let class = self.settings.class(index);
        let after = if self.latencies.is_quick(index, class) {
            self.latencies.overdue_after(index, class)
        } else {
            class.timeout
        };
        now + after
    }

    /// Reports whether an attempt is a trial request: its outcome shows whether an ejected or unresponsive backend has
    /// recovered.
    fn is_trial(&self, now: Micros, request: RequestKey, backend: BackendKey) -> bool {
        let index = self.requests[request].class;
        let class = self.settings.class(index);
        let overdue_after = self.latencies.overdue_after(index, class);
        let backend = &self.backends[backend];
        let is_unresponsive = backend.in_flight.is_unresponsive(now, overdue_after);
        backend.outlier_detector.is_ejected() || is_unresponsive
    }

    /// Takes a token from the budget of a slow start (rule 4, slow start), and ends a slow start that is over.
    fn withdraw_slow_start(&mut self, now: Micros, key: BackendKey) {
        let safety = &self.settings.safety;
        let backend = &mut self.backends[key];
        if let Some(budget) = &mut backend.slow_start {
            budget.withdraw();
        }
        backend.slow_start = backend
            .slow_start
            .filter(|budget| !budget.is_over(now, safety));
    }

    /// Updates the state of a backend for an attempt that occupies one of the backend's slots from now on.
    pub(super) fn occupy_slot(&mut self, now: Micros, attempt: &Attempt) {
        let slots = self.slots(attempt.backend, self.capacity.limit_factor());
        let backend = &mut self.backends[attempt.backend];
        backend.outlier_detector.start_attempt(attempt.is_trial);
        backend.in_flight.start(now, attempt.overdue_at);
        let in_flight = backend.in_flight.count();
        backend.limit.record_in_flight(in_flight, slots);
        self.in_flight += 1;
    }

    /// Handles the start of a streamed response.
    ///
    /// Deviation: the slot is freed and the latency recorded when the response starts, not when it ends. The backend
    /// has done its work by that time, and the time that the client takes to read the response must neither occupy the
    /// slot nor count as latency.
    pub(super) fn on_response_started(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        elapsed: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.requests.find(id) else {
            return;
        };
        let request = &mut self.requests[key];
        let Some(attempt) = request.attempts.get_mut(usize::from(number)) else {
            return;
        };
        if attempt.state != AttemptState::InFlight || attempt.response_started {
            return;
        }
        attempt.response_started = true;
        request.streaming = true;
        let attempt = request.attempts[usize::from(number)];
        let class = request.class;
        let end = AttemptEnd {
            request: id,
            backend: self.backends[attempt.backend].id,
            attempt: number,
            outcome: Outcome::Ok,
            request_answered: true,
            elapsed,
            load_report: &[],
            body_consumed: false,
        };
        self.observe(now, class, &attempt, &end, out);
        self.reindex(now, attempt.backend);
        self.serve_queue(now, out);
    }

    /// Handles the end of an attempt: updates the policies, and closes or retries the request. The end of an attempt
    /// that is unknown or has already ended is ignored.
    ///
    /// If the response was streamed, the policies were updated when it started, and only the load report is applied.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        end: AttemptEnd<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.requests.find(end.request) else {
            return;
        };
        let request = &mut self.requests[key];
        let Some(attempt) = request.attempts.get_mut(usize::from(end.attempt)) else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let may_have_executed = !end.outcome.proves_not_executed();
        attempt.state = if may_have_executed {
            AttemptState::MayHaveExecuted
        } else {
            AttemptState::NotExecuted
        };
        let attempt = *attempt;
        let class = request.class;
        request.body_consumed |= end.body_consumed;
        if !attempt.response_started {
            self.observe(now, class, &attempt, &end, out);
        } else if end.outcome == Outcome::Ok {
            self.apply_load_report(now, attempt.backend, end.load_report);
        }
        self.reindex(now, attempt.backend);
        if end.request_answered || self.requests[key].closed {
            self.close_request(key);
        } else {
            self.retry(now, key, may_have_executed, out);
        }
        self.serve_queue(now, out);
    }

    /// Returns the time from which backends may forget the idempotency key of a request (rule 2, idempotency); `None`
    /// if the request has no key or was certainly not executed.
    fn key_expires_at(&self, key: RequestKey) -> Option<Micros> {
        let request = &self.requests[key];
        let idempotency = self.settings.class(request.class).idempotency;
        retries::key_expires_at(request, idempotency)
    }
}
