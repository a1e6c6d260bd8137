//! Attempts: their start, the start of their response, their end, and what each policy is told of it.

use super::Balancer;
use super::backends::BackendKey;
use super::latency::lost_after;
use super::limits::MAX_SAMPLE;
use super::outcome::{Classification, Effect, LimitEvidence, classify};
use super::outliers::{HealthChange, HealthSample, may_eject_another};
use super::requests::{Attempt, AttemptState, OpenRequest, RequestKey};
use super::slow_start::WarmCapacity;
use super::time::MICROS_PER_SECOND;
use crate::api::{
    Action, AttemptEnd, BackendId, ClassIndex, Idempotency, LogEvent, MachineType, Micros, Outcome,
    RequestId,
};

/// An attempt of a class that is not quick counts as lost after this multiple of the class's mean latency.
const LOST_OVER_MEAN: f64 = 24.0;
/// The least factor that jitter scales the time of an ejection by; the greatest is as far above 1.
const MIN_EJECTION_JITTER: f64 = 0.75;

/// When an attempt times out.
struct AttemptTimeout {
    deadline: Micros,
    /// The attempt was lost if it comes to that.
    means_lost: bool,
}

impl Balancer {
    /// Starts an attempt; nothing else does. [`Balancer::select_backend`] has made sure that the backend may have it.
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

    /// Takes the connection of the next attempt on a backend and returns how long it has been idle; 0 for a new one.
    fn take_connection(&mut self, now: Micros, key: BackendKey, out: &mut Vec<Action>) -> Micros {
        let per_connection = self.requests_per_connection();
        let backend = &mut self.backends[key];
        let in_flight = backend.in_flight.count();
        let idle = backend.connections.take(now, in_flight, per_connection);
        if !self.idle_trust.is_suspect(now, idle) {
            return idle;
        }
        backend.connections.close_idle(in_flight, per_connection);
        out.push(Action::CloseIdleConnections(backend.id));
        0
    }

    fn requests_per_connection(&self) -> u32 {
        self.settings.permissions.requests_per_connection.max(1)
    }

    /// Returns when an attempt that starts now times out.
    ///
    /// Departure: an attempt that may be repeated and has no response long after its time was lost (its connection may
    /// have failed unnoticed); if it lasted to the deadline, no time would be left for a retry.
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

    /// Returns when an attempt that starts now is overdue.
    fn overdue_at(&self, now: Micros, request: RequestKey) -> Micros {
        let index = self.requests[request].class;
        let class = self.settings.class(index);
        let after = if self.latencies.is_quick(index, class) {
            self.latencies.overdue_after(index, class)
        } else {
            class.timeout
        };
        now + after
    }

    /// Whether an attempt shows if its backend, which was ejected or does not respond, has recovered.
    fn is_trial(&self, now: Micros, request: RequestKey, backend: BackendKey) -> bool {
        let index = self.requests[request].class;
        let class = self.settings.class(index);
        let overdue_after = self.latencies.overdue_after(index, class);
        let backend = &self.backends[backend];
        let is_unresponsive = backend.in_flight.is_unresponsive(now, overdue_after);
        backend.health.is_ejected() || is_unresponsive
    }

    /// Books an attempt that starts now.
    fn occupy_slot(&mut self, now: Micros, attempt: &Attempt) {
        let slots = self.slots(attempt.backend, self.capacity.limit_factor());
        let safety = &self.settings.safety;
        let backend = &mut self.backends[attempt.backend];
        if let Some(budget) = &mut backend.slow_start {
            budget.withdraw();
        }
        backend.slow_start = backend
            .slow_start
            .filter(|budget| !budget.is_over(now, safety));
        backend.health.start_attempt(attempt.is_trial);
        backend.in_flight.start(now, attempt.overdue_at);
        let in_flight = backend.in_flight.count();
        backend.limit.note_in_flight(in_flight, slots);
        self.in_flight += 1;
    }

    /// Takes note that a streamed response began.
    ///
    /// Departure: the backend's work is done then and its latency is known. How long a client takes to read the response
    /// must neither hold the slot nor count as load.
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

    /// Takes the end of an attempt.
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
        let is_not_executed = end.outcome.is_not_executed();
        attempt.state = if is_not_executed {
            AttemptState::NotExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        let attempt = *attempt;
        let class = request.class;
        request.body_consumed |= end.body_consumed;
        if !attempt.response_started {
            self.observe(now, class, &attempt, &end, out);
        } else if end.outcome == Outcome::Ok {
            self.follow_load_report(now, attempt.backend, end.load_report);
        }
        self.reindex(now, attempt.backend);
        if end.request_answered || self.requests[key].answered {
            self.close(key);
        } else {
            self.retry(now, key, is_not_executed, out);
        }
        self.serve_queue(now, out);
    }

    /// Tells each policy what the end of an attempt says of its backend. An attempt whose response is streamed ends here
    /// when the response begins.
    ///
    /// Limits come last: they compare the sample with the threshold that held before it, and learn nothing where an idle
    /// connection is to blame.
    fn observe(
        &mut self,
        now: Micros,
        class: ClassIndex,
        attempt: &Attempt,
        end: &AttemptEnd<'_>,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.backend;
        let machine_type = self.backends[key].machine_type;
        let is_base_known = self.latencies.estimate(class, machine_type).is_base_known();
        let backend_answered = self.backends[key]
            .in_flight
            .has_answered_since(attempt.sent_at);
        let classification = classify(end.outcome, attempt, backend_answered);
        self.free_slot(attempt);
        if classification.effect == Effect::Ignored {
            return;
        }
        self.release_connection(now, key);
        let latency = end.elapsed as f64;
        let threshold = self.latency_threshold(class, machine_type);
        let sample = classification.effect.sample(latency, threshold);
        let sample = sample.min(MAX_SAMPLE);
        match classification.effect {
            Effect::Responded => self.record_response(now, class, attempt, latency, threshold),
            Effect::Rejected => self.record_rejection(now, class, key),
            Effect::Ignored | Effect::Slow | Effect::Failed { .. } => {}
        }
        if classification.is_lost && self.idle_trust.blame(now, attempt.connection_idle) {
            return;
        }
        self.backends[key].recent_latency.record(now, sample);
        self.record_health(now, attempt, classification, out);
        let learns_machine_type = is_base_known || self.capacity.has_few_slots();
        self.update_limits(now, key, sample, classification, learns_machine_type);
        if classification.limit_evidence != LimitEvidence::None {
            self.follow_load_report(now, key, end.load_report);
        }
    }

    /// Books that an attempt is no longer in flight.
    fn free_slot(&mut self, attempt: &Attempt) {
        let backend = &mut self.backends[attempt.backend];
        backend.in_flight.end(attempt.overdue_at);
        backend.health.end_attempt(attempt.is_trial);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn release_connection(&mut self, now: Micros, key: BackendKey) {
        let per_connection = self.requests_per_connection();
        let backend = &mut self.backends[key];
        let in_flight = backend.in_flight.count();
        backend.connections.release(now, in_flight, per_connection);
    }

    /// Returns the latency threshold of a class on a machine type, microseconds.
    fn latency_threshold(&self, class: ClassIndex, machine_type: MachineType) -> f64 {
        let objective = self.settings.class(class).latency_objective;
        let estimate = self.latencies.estimate(class, machine_type);
        estimate.threshold(objective)
    }

    /// Takes a response that came after `latency`, microseconds.
    fn record_response(
        &mut self,
        now: Micros,
        class: ClassIndex,
        attempt: &Attempt,
        latency: f64,
        threshold: f64,
    ) {
        let backend = &mut self.backends[attempt.backend];
        let estimate = self.latencies.estimate_mut(class, backend.machine_type);
        estimate.record(now, latency);
        self.throughput.record(now);
        backend.in_flight.record_response(now, attempt.sent_at);
        let is_in_time = estimate.is_base_known() && latency <= threshold;
        if let Some(budget) = &mut backend.slow_start
            && is_in_time
            && budget.started_at() <= attempt.sent_at
        {
            budget.deposit();
        }
    }

    /// Takes a rejection: the backend has no capacity for about the time of one request.
    fn record_rejection(&mut self, now: Micros, class: ClassIndex, key: BackendKey) {
        let backend = &mut self.backends[key];
        let estimate = self.latencies.estimate(class, backend.machine_type);
        backend.rejecting_until = now + estimate.mean() as Micros;
    }

    /// Tells outlier detection of an outcome.
    fn record_health(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        classification: Classification,
        out: &mut Vec<Action>,
    ) {
        let may_eject = may_eject_another(self.index.ejected_count(), self.index.ready_count());
        let jitter = MIN_EJECTION_JITTER + self.rng.f64() / 2.0;
        let sample = HealthSample {
            failed: classification.effect.is_failure(),
            weight: classification.effect.weight(),
            is_trial: attempt.is_trial,
        };
        let backend = &mut self.backends[attempt.backend];
        let change = backend.health.record(now, sample, may_eject, jitter);
        let event = change.and_then(|change| log_event(backend.id, change));
        out.extend(event.map(Action::Log));
    }

    /// Tells the limits of a sample.
    fn update_limits(
        &mut self,
        now: Micros,
        key: BackendKey,
        sample: f64,
        classification: Classification,
        learns_machine_type: bool,
    ) {
        let evidence = classification.limit_evidence;
        if evidence == LimitEvidence::None {
            return;
        }
        if evidence == LimitEvidence::BackendAndMachineType && learns_machine_type {
            let machine_type = self.backends[key].machine_type;
            self.update_machine_type_limit(now, machine_type, sample);
        }
        self.update_backend_limit(now, key, sample);
    }

    /// Brings the budget of a backend that warms up to now.
    pub(super) fn refill_slow_start(&mut self, now: Micros, key: BackendKey) {
        let Some(mut budget) = self.backends[key].slow_start else {
            return;
        };
        let capacity = self.warm_capacity(key);
        budget.refill(now, &self.settings.safety, &capacity);
        self.backends[key].slow_start = Some(budget);
    }

    /// Returns what the budget of a backend that warms up follows from. Its full capacity is taken to be that of a warm
    /// backend: what this proxy got served in its best seconds, for all proxies, over all backends.
    fn warm_capacity(&self, key: BackendKey) -> WarmCapacity {
        let proxies = f64::from(self.settings.proxy_count);
        let ready = self.index.ready_count().max(1) as f64;
        let measured = self.throughput.per_second() * proxies / ready;
        let one_at_a_time = MICROS_PER_SECOND / self.latencies.mean(ClassIndex(0));
        WarmCapacity {
            requests_per_s: measured.max(one_at_a_time),
            proxy_fraction: self.proxy_fraction(key),
            slots_per_limit: self.slots_per_limit(key),
        }
    }

    /// Departure: of a limit under a slot some proxies hold one; the others can't spend their part.
    fn slots_per_limit(&self, key: BackendKey) -> f64 {
        let limit_factor = self.capacity.limit_factor();
        let limit = self.limit(key) * limit_factor;
        if limit < 1.0 {
            self.slots(key, limit_factor) as f64 / limit
        } else {
            1.0
        }
    }

    /// Returns when backends may forget the idempotency key of a request.
    fn key_expires_at(&self, key: RequestKey) -> Option<Micros> {
        let request: &OpenRequest = &self.requests[key];
        let idempotency = self.settings.class(request.class).idempotency;
        super::retries::key_expires_at(request, idempotency)
    }
}

fn log_event(backend: BackendId, change: HealthChange) -> Option<LogEvent> {
    match change {
        HealthChange::Ejected { duration } => Some(LogEvent::Ejected { backend, duration }),
        HealthChange::EjectionProlonged => None,
        HealthChange::Readmitted => Some(LogEvent::Readmitted { backend }),
    }
}
