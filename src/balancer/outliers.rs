//! Outlier detection: a backend whose requests fail is ejected, and readmitted when an attempt on it ends without a
//! failure. Once the time of its ejection is over, it gets a single trial request for that (half open).

use super::time::SECOND;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Weight of one more outcome, a failure or not, in a backend's failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Failure rate at which a backend is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Greatest failure rate of a backend that was just readmitted.
const READMISSION_FAILURE_RATE: f64 = 0.6 * EJECTION_FAILURE_RATE;
/// Failure rate below which earlier ejections are forgotten.
const RECOVERED_FAILURE_RATE: f64 = 0.1;
/// Time of a first ejection; each consecutive one takes twice as long.
const BASE_EJECTION_TIME: Micros = SECOND;
/// Most times that the time of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Part of the ready backends that may be ejected at once.
const MAX_EJECTED_FRACTION: f64 = 0.6;

/// Whether one more backend may be ejected.
pub(crate) fn may_eject_another(ejected: usize, ready: usize) -> bool {
    ejected < (ready as f64 * MAX_EJECTED_FRACTION) as usize
}

/// The end of an attempt, as outlier detection sees it.
#[derive(Clone, Copy)]
pub(crate) struct HealthSample {
    /// Whether the backend failed.
    pub(crate) failed: bool,
    /// Weight of this outcome beside that of an ordinary one.
    pub(crate) weight: f64,
    /// Whether the attempt was a trial request.
    pub(crate) is_trial: bool,
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthChange {
    /// The backend is ejected for this long.
    Ejected {
        /// Time of the ejection.
        duration: Micros,
    },
    /// A trial request failed: the backend is ejected anew, for longer. Not logged.
    EjectedAgain,
    /// An attempt ended without a failure while the backend was ejected: it takes requests again. A trial request is one
    /// such attempt; others were in flight when the backend was ejected.
    Readmitted,
}

/// Whether a backend may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthState {
    /// It takes requests.
    Healthy,
    /// It gets no request until then.
    Ejected(Micros),
    /// Its ejection is over: it gets a single trial request (half open).
    HalfOpen,
}

/// What outlier detection keeps of one backend.
#[derive(Default)]
pub(crate) struct Health {
    /// Share of failures among the latest outcomes.
    failure_rate: f64,
    ejected_until: Option<Micros>,
    consecutive_ejections: u32,
    trial_in_flight: bool,
}

impl Health {
    /// Forgets the outcomes of the backend's previous process.
    pub(crate) fn reset(&mut self) {
        self.failure_rate = 0.0;
        self.ejected_until = None;
        self.consecutive_ejections = 0;
    }

    /// Returns whether the backend may be sent a request.
    pub(crate) fn state(&self, now: Micros) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Ejected(until),
            Some(_) => HealthState::HalfOpen,
        }
    }

    /// Whether the backend is ejected and not readmitted yet; so it is while it is half open, too.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether a trial request is in flight.
    pub(crate) fn is_trial_in_flight(&self) -> bool {
        self.trial_in_flight
    }

    /// Notes that an attempt starts.
    pub(crate) fn start_attempt(&mut self, is_trial: bool) {
        self.trial_in_flight |= is_trial;
    }

    /// Notes that an attempt has ended.
    pub(crate) fn end_attempt(&mut self, is_trial: bool) {
        if is_trial {
            self.trial_in_flight = false;
        }
    }

    /// Takes an outcome into account. `jitter`, a factor around 1, spreads the ends of ejections.
    ///
    /// Departure: a backend whose requests fail is ejected, unless too many others are.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        sample: HealthSample,
        may_eject: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
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
            return Some(HealthChange::Ejected { duration });
        }
        None
    }

    fn record_while_ejected(
        &mut self,
        now: Micros,
        sample: HealthSample,
        jitter: f64,
    ) -> Option<HealthChange> {
        if !sample.failed {
            self.ejected_until = None;
            self.failure_rate = self.failure_rate.min(READMISSION_FAILURE_RATE);
            return Some(HealthChange::Readmitted);
        }
        if !sample.is_trial {
            return None;
        }
        self.eject(now, jitter);
        Some(HealthChange::EjectedAgain)
    }

    fn eject(&mut self, now: Micros, jitter: f64) -> Micros {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let time = (BASE_EJECTION_TIME << doublings) as f64 * jitter;
        let duration = time as Micros;
        self.ejected_until = Some(now + duration);
        self.consecutive_ejections += 1;
        duration
    }
}
