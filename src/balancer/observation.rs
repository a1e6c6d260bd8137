//! What the end of an attempt tells each policy of its backend.

use super::Balancer;
use super::backends::BackendKey;
use super::limits::MAX_SAMPLE;
use super::outcome::{Classification, Effect, LimitEvidence, classify};
use super::outliers::{HealthChange, HealthSample, may_eject_another};
use super::requests::Attempt;
use crate::api::{Action, AttemptEnd, BackendId, ClassIndex, LogEvent, MachineType, Micros};

/// The least factor that jitter scales the time of an ejection by; the greatest is as far above 1.
const MIN_EJECTION_JITTER: f64 = 0.75;

impl Balancer {
    /// Tells each policy what the end of an attempt says of its backend. An attempt whose response is streamed ends here
    /// when the response begins.
    ///
    /// Limits come last: they compare the sample with the threshold that held before it, and learn nothing where an idle
    /// connection is to blame.
    pub(super) fn observe(
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
        if classification.is_lost
            && self
                .idle_trust
                .record_lost_request(now, attempt.connection_idle)
        {
            return;
        }
        self.backends[key].recent_latency.record(now, sample);
        self.record_health(now, attempt, classification, out);
        let learns_machine_type = is_base_known || self.capacity.has_scaled_limits();
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
}

fn log_event(backend: BackendId, change: HealthChange) -> Option<LogEvent> {
    match change {
        HealthChange::Ejected { duration } => Some(LogEvent::Ejected { backend, duration }),
        HealthChange::EjectedAgain => None,
        HealthChange::Readmitted => Some(LogEvent::Readmitted { backend }),
    }
}
