//! Outlier detection: a backend whose requests fail is ejected, and readmitted when an attempt on it ends without a
//! failure. After the ejection time the backend is half open: it receives a single trial request.

use super::time::SECOND;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Weight of a new outcome, a failure or a success, in a backend's failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Minimum failure rate at which a backend is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Maximum failure rate of a backend that was just readmitted. It is low enough for one more ordinary failure not to
/// eject the backend again.
const READMISSION_FAILURE_RATE: f64 = 0.6 * EJECTION_FAILURE_RATE;
/// Failure rate below which earlier ejections no longer count as consecutive.
const RECOVERED_FAILURE_RATE: f64 = 0.1;
/// Duration of a first ejection; each consecutive one lasts twice as long.
const BASE_EJECTION_DURATION: Micros = SECOND;
/// Maximum number of times that the duration doubles: the longest ejections last 16 times as long as a first one.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Maximum fraction of the ready backends that may be ejected at the same time.
const MAX_EJECTED_FRACTION: f64 = 0.6;

/// Reports whether one more backend may be ejected, given the numbers of ejected and of ready backends.
pub(crate) fn may_eject_another(ejected: usize, ready: usize) -> bool {
    ejected < (ready as f64 * MAX_EJECTED_FRACTION) as usize
}

/// Outcome of an attempt as input of outlier detection.
#[derive(Clone, Copy)]
pub(crate) struct OutlierSample {
    /// Whether the backend failed.
    pub(crate) failed: bool,
    /// Weight of this outcome relative to that of an ordinary outcome.
    pub(crate) weight: f64,
    /// Whether the attempt was a trial request.
    pub(crate) is_trial: bool,
}

/// Change of a backend's ejection that an outcome caused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OutlierChange {
    /// The backend was ejected.
    Ejected {
        /// Duration of the ejection.
        duration: Micros,
    },
    /// A trial request failed and the backend was ejected again, for a longer time. This change is not logged.
    EjectedAgain,
    /// The backend was readmitted because an attempt on it ended without a failure: a trial request, or an attempt that
    /// was in flight when the backend was ejected.
    Readmitted,
}

/// State of a backend in outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OutlierState {
    /// The backend may receive requests.
    Healthy,
    /// The backend receives no request until this time.
    Ejected(Micros),
    /// The ejection time is over and the backend may receive a single trial request.
    HalfOpen,
}

/// Detects whether one backend is an outlier, from its failure rate, and keeps the state of its ejection.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Exponentially weighted share of failures among the latest outcomes.
    failure_rate: f64,
    /// End of the ejection time; `None` if the backend is not ejected. Stays set until the backend is readmitted.
    ejected_until: Option<Micros>,
    /// Ejections since the failure rate was last below [`RECOVERED_FAILURE_RATE`].
    consecutive_ejections: u32,
    /// Whether a trial request is in flight.
    trial_in_flight: bool,
}

impl OutlierDetector {
    /// Clears the failures and ejections of the backend's previous process.
    pub(crate) fn reset(&mut self) {
        self.failure_rate = 0.0;
        self.ejected_until = None;
        self.consecutive_ejections = 0;
    }

    /// Returns whether the backend is healthy, ejected or half open.
    pub(crate) fn state(&self, now: Micros) -> OutlierState {
        match self.ejected_until {
            None => OutlierState::Healthy,
            Some(until) if now < until => OutlierState::Ejected(until),
            Some(_) => OutlierState::HalfOpen,
        }
    }

    /// Reports whether the backend is ejected and not readmitted yet. That includes the half-open state.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Reports whether a trial request is in flight.
    pub(crate) fn is_trial_in_flight(&self) -> bool {
        self.trial_in_flight
    }

    /// Records the start of an attempt.
    pub(crate) fn start_attempt(&mut self, is_trial: bool) {
        self.trial_in_flight |= is_trial;
    }

    /// Records the end of an attempt.
    pub(crate) fn end_attempt(&mut self, is_trial: bool) {
        if is_trial {
            self.trial_in_flight = false;
        }
    }

    /// Records an outcome and returns the change of the backend's ejection, or `None` if nothing changed. `may_eject`
    /// is false if too many other backends are ejected. `jitter` is a factor around 1 on the duration of an ejection,
    /// so that ejections do not all end together.
    ///
    /// Deviation: a backend whose requests fail is ejected, unless too many others are.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        sample: OutlierSample,
        may_eject: bool,
        jitter: f64,
    ) -> Option<OutlierChange> {
        let target = f64::from(u8::from(sample.failed));
        self.failure_rate += (target - self.failure_rate) * OUTCOME_WEIGHT * sample.weight;
        if self.failure_rate < RECOVERED_FAILURE_RATE {
            self.consecutive_ejections = 0;
        }
        if self.is_ejected() {
            return self.record_while_ejected(now, sample, jitter);
        }
        let is_outlier = self.failure_rate >= EJECTION_FAILURE_RATE;
        if sample.failed && is_outlier && may_eject {
            let duration = self.eject(now, jitter);
            return Some(OutlierChange::Ejected { duration });
        }
        None
    }

    /// Readmits the backend after a success, and ejects it again after a failed trial request. Returns `None` after any
    /// other failure, which changes nothing.
    fn record_while_ejected(
        &mut self,
        now: Micros,
        sample: OutlierSample,
        jitter: f64,
    ) -> Option<OutlierChange> {
        if !sample.failed {
            self.ejected_until = None;
            self.failure_rate = self.failure_rate.min(READMISSION_FAILURE_RATE);
            return Some(OutlierChange::Readmitted);
        }
        if !sample.is_trial {
            return None;
        }
        self.eject(now, jitter);
        Some(OutlierChange::EjectedAgain)
    }

    /// Ejects the backend and returns the duration of the ejection.
    fn eject(&mut self, now: Micros, jitter: f64) -> Micros {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = ((BASE_EJECTION_DURATION << doublings) as f64 * jitter) as Micros;
        self.ejected_until = Some(now + duration);
        self.consecutive_ejections += 1;
        duration
    }
}
