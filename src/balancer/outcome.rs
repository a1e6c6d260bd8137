//! Classification of outcomes: the effect of the end of an attempt on the state of its backend.
//!
//! The policies (latency, limits, outlier detection, slow start, idle connections) do not read an [`Outcome`]; they
//! receive the [`Classification`] that [`classify`] returns.

use super::requests::Attempt;
use crate::api::Outcome;

#[cfg(test)]
mod tests;

/// Minimum sample of an outcome other than a response, as a multiple of the latency threshold.
const MIN_FAILURE_SAMPLE: f64 = 2.0;
/// Weight of a refused connection in a backend's failure rate: a backend that accepts no connection is down.
const REFUSED_CONNECTION_WEIGHT: f64 = 2.0;
/// Weight of a broken connection in the failure rate: something between the proxy and the backend may have broken it.
const BROKEN_CONNECTION_WEIGHT: f64 = 0.5;
/// Weight in the failure rate of every outcome other than a refused or broken connection.
const ORDINARY_WEIGHT: f64 = 1.0;

/// The effect of the end of an attempt on the state of its backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    /// The attempt was not sent and has no effect.
    Ignored,
    /// The backend responded; the latency is recorded.
    Responded,
    /// The backend rejected the request without executing it.
    Rejected,
    /// The attempt took too long, but the backend served another attempt meanwhile: the request itself is slow.
    Slow,
    /// The backend failed.
    Failed {
        /// Weight of the failure in the backend's failure rate; 1 for an ordinary outcome.
        weight: f64,
    },
}

impl Effect {
    /// Reports whether the backend failed.
    pub(crate) fn is_failure(self) -> bool {
        matches!(self, Self::Failed { .. })
    }

    /// Returns the weight of the outcome in the backend's failure rate.
    pub(crate) fn failure_weight(self) -> f64 {
        match self {
            Self::Failed { weight } => weight,
            _ => ORDINARY_WEIGHT,
        }
    }

    /// Returns the sample for limits and recent latency: the latency as a multiple of the latency threshold.
    ///
    /// Deviation from plain AIMD: every outcome other than a response is a slow sample, however early it came, so that
    /// quick errors cannot raise a limit.
    pub(crate) fn sample(self, latency: f64, threshold: f64) -> f64 {
        let sample = latency / threshold;
        match self {
            Self::Responded => sample,
            _ => sample.max(MIN_FAILURE_SAMPLE),
        }
    }
}

/// The limits that a sample is evidence for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitEvidence {
    /// Neither limit: the attempt was not sent, or it was lost or its response damaged between the proxy and the
    /// backend. A few such attempts must not reduce the limits of all backends.
    None,
    /// The limit of the backend only. A fault of the backend is no evidence for the load of others of its machine type.
    Backend,
    /// The limits of the backend and of its machine type.
    BackendAndMachineType,
}

/// The classified end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Classification {
    /// Effect on the state of the backend.
    pub(crate) effect: Effect,
    /// Whether the attempt may have been lost on its connection: it timed out while the backend served no other
    /// attempt, or its connection broke. If the connection had been idle, that may be the cause.
    pub(crate) may_be_lost: bool,
    /// Limits that the sample updates.
    pub(crate) limit_evidence: LimitEvidence,
}

/// Classifies the end of an attempt. `backend_has_served` states whether the backend has served another attempt since
/// this one was sent.
pub(crate) fn classify(
    outcome: Outcome,
    attempt: &Attempt,
    backend_has_served: bool,
) -> Classification {
    let effect = effect_of(outcome, backend_has_served);
    let has_no_response = matches!(outcome, Outcome::Timeout | Outcome::Reset);
    Classification {
        effect,
        may_be_lost: has_no_response && effect.is_failure(),
        limit_evidence: limit_evidence_of(outcome, attempt),
    }
}

/// Returns the effect of an outcome on the state of the backend.
fn effect_of(outcome: Outcome, backend_has_served: bool) -> Effect {
    match outcome {
        Outcome::NotSent => Effect::Ignored,
        Outcome::Ok => Effect::Responded,
        Outcome::Rejected => Effect::Rejected,
        Outcome::Timeout | Outcome::Cancelled if backend_has_served => Effect::Slow,
        Outcome::Timeout | Outcome::Cancelled | Outcome::Error | Outcome::CorruptResponse => {
            Effect::Failed {
                weight: ORDINARY_WEIGHT,
            }
        }
        Outcome::ConnectFailed => Effect::Failed {
            weight: REFUSED_CONNECTION_WEIGHT,
        },
        Outcome::Reset => Effect::Failed {
            weight: BROKEN_CONNECTION_WEIGHT,
        },
    }
}

/// Returns the limits that an outcome is evidence for.
///
/// Deviation from plain AIMD: a response that was damaged, lost or cut off between the backend and the proxy is no
/// sample.
fn limit_evidence_of(outcome: Outcome, attempt: &Attempt) -> LimitEvidence {
    match outcome {
        Outcome::CorruptResponse | Outcome::Reset | Outcome::NotSent => LimitEvidence::None,
        Outcome::Timeout if attempt.timeout_means_lost => LimitEvidence::None,
        Outcome::Error | Outcome::ConnectFailed => LimitEvidence::Backend,
        Outcome::Ok | Outcome::Rejected | Outcome::Timeout | Outcome::Cancelled => {
            LimitEvidence::BackendAndMachineType
        }
    }
}
