//! Unit tests of the classification, for every outcome.

use super::*;
use crate::balancer::backends::{BackendState, BackendTable};

const FAILED: Effect = Effect::Failed { weight: 1.0 };
const REFUSED_CONNECTION: Effect = Effect::Failed { weight: 2.0 };
const BROKEN_CONNECTION: Effect = Effect::Failed { weight: 0.5 };

const NO_LIMIT: LimitEvidence = LimitEvidence::None;
const BACKEND: LimitEvidence = LimitEvidence::Backend;
const BOTH_LIMITS: LimitEvidence = LimitEvidence::BackendAndMachineType;

/// Expected classification of one outcome.
struct Row {
    outcome: Outcome,
    /// Effect if the backend has served no other attempt since this one was sent.
    effect: Effect,
    /// Effect if the backend has served another attempt since this one was sent.
    effect_if_answered: Effect,
    /// Limits that the sample updates if a timeout does not mean that the attempt was lost.
    limit_evidence: LimitEvidence,
    /// Limits that the sample updates if a timeout means that the attempt was lost.
    evidence_if_timeout_means_lost: LimitEvidence,
}

/// Returns a row whose effect and evidence are the same in all cases.
const fn row(outcome: Outcome, effect: Effect, limit_evidence: LimitEvidence) -> Row {
    Row {
        outcome,
        effect,
        effect_if_answered: effect,
        limit_evidence,
        evidence_if_timeout_means_lost: limit_evidence,
    }
}

const TABLE: [Row; 9] = [
    row(Outcome::Ok, Effect::Responded, BOTH_LIMITS),
    row(Outcome::Error, FAILED, BACKEND),
    row(Outcome::CorruptResponse, FAILED, NO_LIMIT),
    row(Outcome::Rejected, Effect::Rejected, BOTH_LIMITS),
    Row {
        effect_if_answered: Effect::Slow,
        evidence_if_timeout_means_lost: NO_LIMIT,
        ..row(Outcome::Timeout, FAILED, BOTH_LIMITS)
    },
    row(Outcome::ConnectFailed, REFUSED_CONNECTION, BACKEND),
    row(Outcome::Reset, BROKEN_CONNECTION, NO_LIMIT),
    Row {
        effect_if_answered: Effect::Slow,
        ..row(Outcome::Cancelled, FAILED, BOTH_LIMITS)
    },
    row(Outcome::NotSent, Effect::Ignored, NO_LIMIT),
];

fn attempt(timeout_means_lost: bool) -> Attempt {
    let backend = BackendTable::default().insert(BackendState::default());
    Attempt {
        timeout_means_lost,
        ..Attempt::new(backend, 0)
    }
}

#[test]
fn the_effect_of_every_outcome_is_as_in_the_table() {
    for row in TABLE {
        for timeout_means_lost in [false, true] {
            let attempt = attempt(timeout_means_lost);
            let effect_where = |answered| classify(row.outcome, &attempt, answered).effect;
            assert_eq!(effect_where(false), row.effect, "{:?}", row.outcome);
            assert_eq!(
                effect_where(true),
                row.effect_if_answered,
                "{:?}, answered meanwhile",
                row.outcome
            );
        }
    }
}

#[test]
fn the_limit_evidence_of_every_outcome_is_as_in_the_table() {
    for row in TABLE {
        for answered in [false, true] {
            let evidence_where = |timeout_means_lost| {
                let attempt = attempt(timeout_means_lost);
                classify(row.outcome, &attempt, answered).limit_evidence
            };
            assert_eq!(
                evidence_where(false),
                row.limit_evidence,
                "{:?}",
                row.outcome
            );
            assert_eq!(
                evidence_where(true),
                row.evidence_if_timeout_means_lost,
                "{:?}, a timeout means that it was lost",
                row.outcome
            );
        }
    }
}

#[test]
fn a_reset_and_a_timeout_of_a_backend_that_served_nothing_meanwhile_count_as_lost() {
    for row in TABLE {
        let is_lost_where = |answered| classify(row.outcome, &attempt(false), answered).is_lost;
        let is_reset = row.outcome == Outcome::Reset;
        let is_timeout = row.outcome == Outcome::Timeout;
        assert_eq!(
            is_lost_where(false),
            is_reset || is_timeout,
            "{:?}",
            row.outcome
        );
        assert_eq!(is_lost_where(true), is_reset, "{:?}", row.outcome);
    }
}

#[test]
fn only_failures_are_failures_and_other_effects_have_weight_one() {
    for effect in [FAILED, REFUSED_CONNECTION, BROKEN_CONNECTION] {
        assert!(effect.is_failure(), "{effect:?}");
    }
    assert_eq!(REFUSED_CONNECTION.failure_weight(), 2.0);
    assert_eq!(BROKEN_CONNECTION.failure_weight(), 0.5);
    for effect in [
        Effect::Ignored,
        Effect::Responded,
        Effect::Rejected,
        Effect::Slow,
    ] {
        assert!(!effect.is_failure(), "{effect:?}");
        assert_eq!(effect.failure_weight(), 1.0, "{effect:?}");
    }
}

#[test]
fn a_sample_is_latency_over_threshold_and_at_least_two_without_a_response() {
    let threshold = 100.0;
    assert_eq!(Effect::Responded.sample(50.0, threshold), 0.5);
    assert_eq!(Effect::Responded.sample(300.0, threshold), 3.0);
    for effect in [Effect::Rejected, Effect::Slow, FAILED, REFUSED_CONNECTION] {
        assert_eq!(effect.sample(50.0, threshold), 2.0, "{effect:?}");
        assert_eq!(effect.sample(300.0, threshold), 3.0, "{effect:?}");
    }
}
