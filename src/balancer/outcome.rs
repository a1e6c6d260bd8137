//! Classification of outcomes: what the end of an attempt says of its backend.
//!
//! The policies (latency, limits, outlier detection, slow start, idle connections) read no [`Outcome`]; they get
//! what [`classify`] makes of it.

use super::requests::Attempt;
use crate::api::Outcome;

#[cfg(test)]
mod tests;

/// A failure, or a slow response, counts as at least this multiple of the latency threshold.
const MIN_FAILURE_SAMPLE: f64 = 2.0;
/// Weight of a refused connection in a backend's failure rate: a backend that takes no connection is down.
const REFUSED_CONNECTION_WEIGHT: f64 = 2.0;
/// Weight of a broken connection: anything on the way may have broken it.
const BROKEN_CONNECTION_WEIGHT: f64 = 0.5;
const ORDINARY_WEIGHT: f64 = 1.0;

/// What the end of an attempt says of its backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Nothing: the attempt was not sent.
    Ignored,
    /// The backend responded; its latency counts.
    Responded,
    /// The backend rejected the request without running it.
    Rejected,
    /// The attempt took too long, but the backend answered others meanwhile: the request was heavy.
    Slow,
    /// The backend failed; the weight is that of the failure in its failure rate.
    Failed {
        /// Weight beside an ordinary outcome.
        weight: f64,
    },
}

impl Effect {
    /// Whether the backend failed.
    pub(crate) fn is_failure(self) -> bool {
        matches!(self, Self::Failed { .. })
    }

    /// Returns the weight of the outcome in a failure rate.
    pub(crate) fn weight(self) -> f64 {
        match self {
            Self::Failed { weight } => weight,
            _ => ORDINARY_WEIGHT,
        }
    }

    /// Returns the sample for limits: the latency as a multiple of the latency threshold.
    ///
    /// Departure: whatever is no response is a slow sample however quick it was, so that quick errors can't raise a limit.
    pub(crate) fn sample(self, latency: f64, threshold: f64) -> f64 {
        let sample = latency / threshold;
        match self {
            Self::Responded => sample,
            _ => sample.max(MIN_FAILURE_SAMPLE),
        }
    }
}

/// Which limits a sample says something of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitEvidence {
    /// None: the attempt was lost or its response damaged on the way, and a few such must not shrink the limits of all.
    None,
    /// That of the backend alone: its fault says nothing of how loaded other backends of its machine type are.
    Backend,
    /// That of the backend and that of its machine type.
    BackendAndMachineType,
}

/// The end of an attempt, classified.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Classification {
    /// What it says of the backend.
    pub(crate) effect: Effect,
    /// No response came: the attempt timed out while the backend answered nothing else, or its connection broke. An idle
    /// connection may be to blame.
    pub(crate) is_lost: bool,
    /// Which limits learn from it.
    pub(crate) limit_evidence: LimitEvidence,
}

/// Classifies the end of an attempt. `backend_answered` tells whether the backend has served any attempt since this
/// one was sent.
pub(crate) fn classify(
    outcome: Outcome,
    attempt: &Attempt,
    backend_answered: bool,
) -> Classification {
    let effect = effect_of(outcome, backend_answered);
    let may_be_lost = matches!(outcome, Outcome::Timeout | Outcome::Reset);
    Classification {
        effect,
        is_lost: may_be_lost && effect.is_failure(),
        limit_evidence: limit_evidence_of(outcome, attempt),
    }
}

fn effect_of(outcome: Outcome, backend_answered: bool) -> Effect {
    match outcome {
        Outcome::NotSent => Effect::Ignored,
        Outcome::Ok => Effect::Responded,
        Outcome::Rejected => Effect::Rejected,
        Outcome::Timeout | Outcome::Cancelled if backend_answered => Effect::Slow,
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

/// Departure: a response that was damaged, lost or cut off on the way is no sample.
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
