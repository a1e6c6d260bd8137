//! Updates the state that the policies keep when an attempt ends.

use super::Balancer;
use super::backends::BackendKey;
use super::limits::MAX_SAMPLE;
use super::outcome::{Classification, Effect, LimitEvidence, classify};
use super::outliers::{OutlierChange, OutlierSample, may_eject_another};
use super::requests::Attempt;
use crate::api::{Action, AttemptEnd, BackendId, ClassIndex, LogEvent, Micros};

/// Minimum of the random factor on the duration of an ejection. The factor is distributed uniformly from this minimum
/// to 1.25.
const MIN_EJECTION_JITTER: f64 = 0.75;

/// State of a backend and of the latency estimate of a class before the end of an attempt updates them.
struct PriorState {
    /// Whether the base latency of the class on the backend's machine type is known.
    is_base_known: bool,
    /// Latency threshold of the class on the backend's machine type, microseconds.
    threshold: f64,
    /// Whether the backend has served another attempt since this one was sent.
    backend_has_served: bool,
}

impl Balancer {
    /// Updates the state of every policy with the end of an attempt. An attempt with a streamed response ends here when
    /// the response starts.
    ///
    /// The steps run in this order:
    ///
    /// 1. Read the prior state: the sample is compared with the threshold that held before it, and this attempt's own
    ///    response must not count as another attempt that the backend has served.
    /// 2. Classify the outcome.
    /// 3. Free the slot: the attempt no longer counts as in flight. If it was never sent, it says nothing else about
    ///    the backend, and the steps below are skipped.
    /// 4. Release the connection. This depends on the remaining attempts in flight, so it follows step 3.
    /// 5. Record the response, or the rejection.
    /// 6. If the attempt may have been lost on a connection that had been idle for long, reduce the trusted idle time
    ///    and skip the steps below: the loss is attributed to the connection and not to the backend.
    /// 7. Record the sample as recent latency.
    /// 8. Record the outcome for outlier detection.
    /// 9. Update the limits with the sample and then with the load report, unless the outcome is no evidence for
    ///    limits.
    pub(super) fn observe(
        &mut self,
        now: Micros,
        class: ClassIndex,
        attempt: &Attempt,
        end: &AttemptEnd<'_>,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.backend;
        let prior = self.prior_state(class, attempt);
        let classification = classify(end.outcome, attempt, prior.backend_has_served);
        self.free_slot(attempt);
        if classification.effect == Effect::Ignored {
            return;
        }
        self.release_connection(now, key);
        let latency = end.elapsed as f64;
        match classification.effect {
            Effect::Responded => {
                self.record_response(now, class, attempt, latency, prior.threshold);
            }
            Effect::Rejected => self.record_rejection(now, class, key),
            Effect::Ignored | Effect::Slow | Effect::Failed { .. } => {}
        }
        if classification.may_be_lost
            && self
                .trusted_idle_time
                .record_lost_request(now, attempt.connection_idle)
        {
            return;
        }
        let sample = classification.effect.sample(latency, prior.threshold);
        let sample = sample.min(MAX_SAMPLE);
        self.backends[key].recent_latency.record(now, sample);
        self.record_outlier_sample(now, attempt, classification, out);
        if classification.limit_evidence == LimitEvidence::None {
            return;
        }
        self.update_limits(now, key, sample, classification.limit_evidence, &prior);
        self.apply_load_report(now, key, end.load_report);
    }

    fn prior_state(&self, class: ClassIndex, attempt: &Attempt) -> PriorState {
        let backend = &self.backends[attempt.backend];
        let objective = self.settings.class(class).latency_objective;
        let estimate = self.latencies.estimate(class, backend.machine_type);
        PriorState {
            is_base_known: estimate.is_base_known(),
            threshold: estimate.threshold(objective),
            backend_has_served: backend.in_flight.has_served_since(attempt.sent_at),
        }
    }

    /// Frees the slot of an attempt, unless it occupies none because its upload is stalled.
    pub(super) fn free_slot(&mut self, attempt: &Attempt) {
        if attempt.upload_stalled {
            return;
        }
        let backend = &mut self.backends[attempt.backend];
        backend.in_flight.end(attempt.overdue_at);
        backend.outlier_detector.end_attempt(attempt.is_trial);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the connection of an attempt that has ended has been idle since `now`.
    fn release_connection(&mut self, now: Micros, key: BackendKey) {
        let per_connection = self.requests_per_connection();
        let backend = &mut self.backends[key];
        let in_flight = backend.in_flight.count();
        backend.connections.release(now, in_flight, per_connection);
    }

    /// Records a response that arrived after `latency` microseconds.
    ///
    /// A response within the latency threshold returns a token to the backend's slow-start budget (rule 4, slow start),
    /// if the attempt was sent to the process that is warming up and the base latency is known.
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

    /// Records a rejection. The backend counts as without capacity for a time equal to the mean latency of the class.
    fn record_rejection(&mut self, now: Micros, class: ClassIndex, key: BackendKey) {
        let backend = &mut self.backends[key];
        let estimate = self.latencies.estimate(class, backend.machine_type);
        backend.rejecting_until = now + estimate.mean() as Micros;
    }

    /// Updates outlier detection with an outcome, and logs an ejection or readmission.
    ///
    /// Each call draws one random number, even if the outcome ejects no backend.
    fn record_outlier_sample(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        classification: Classification,
        out: &mut Vec<Action>,
    ) {
        let may_eject = may_eject_another(self.index.ejected_count(), self.index.ready_count());
        let jitter = MIN_EJECTION_JITTER + self.rng.f64() / 2.0;
        let sample = OutlierSample {
            failed: classification.effect.is_failure(),
            weight: classification.effect.failure_weight(),
            is_trial: attempt.is_trial,
        };
        let backend = &mut self.backends[attempt.backend];
        let change = backend
            .outlier_detector
            .record(now, sample, may_eject, jitter);
        let event = change.and_then(|change| log_event(backend.id, change));
        out.extend(event.map(Action::Log));
    }

    /// Updates the limit of the backend with a sample, and that of its machine type if the sample is evidence for both.
    ///
    /// While the base latency is unknown, the limit of the machine type is updated only if this proxy's limits are
    /// scaled up because their sum is small.
    fn update_limits(
        &mut self,
        now: Micros,
        key: BackendKey,
        sample: f64,
        evidence: LimitEvidence,
        prior: &PriorState,
    ) {
        let updates_machine_type = evidence == LimitEvidence::BackendAndMachineType
            && (prior.is_base_known || self.capacity.are_limits_scaled_up());
        if updates_machine_type {
            let machine_type = self.backends[key].machine_type;
            self.update_machine_type_limit(now, machine_type, sample);
        }
        self.update_backend_limit(now, key, sample);
    }
}

/// Returns the log event of an ejection or readmission, or `None` for a repeated ejection, which is not logged.
fn log_event(backend: BackendId, change: OutlierChange) -> Option<LogEvent> {
    match change {
        OutlierChange::Ejected { duration } => Some(LogEvent::Ejected { backend, duration }),
        OutlierChange::EjectedAgain => None,
        OutlierChange::Readmitted => Some(LogEvent::Readmitted { backend }),
    }
}
