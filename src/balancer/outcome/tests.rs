//! Tests of the classification of outcomes, for every outcome.

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
    effect_if_served: Effect,
    /// Limits that the sample updates if a timeout does not mean that the attempt was lost.
    limit_evidence: LimitEvidence,
    /// Limits that the sample updates if a timeout means that the attempt was lost.
    evidence_if_timeout_means_lost: LimitEvidence,
}

/// Returns a row of [`TABLE`] whose effect and limit evidence depend neither on other attempts nor on what a timeout
/// means.
const fn row(outcome: Outcome, effect: Effect, limit_evidence: LimitEvidence) -> Row {
    Row {
        outcome,
        effect,
        effect_if_served: effect,
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
        effect_if_served: Effect::Slow,
        evidence_if_timeout_means_lost: NO_LIMIT,
        ..row(Outcome::Timeout, FAILED, BOTH_LIMITS)
    },
    row(Outcome::ConnectFailed, REFUSED_CONNECTION, BACKEND),
    row(Outcome::Reset, BROKEN_CONNECTION, NO_LIMIT),
    Row {
        effect_if_served: Effect::Slow,
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
fn the_effect_of_an_outcome_depends_on_whether_the_backend_served_another_attempt() {
    for row in TABLE {
        for timeout_means_lost in [false, true] {
            let attempt = attempt(timeout_means_lost);
            let effect_if = |has_served| classify(row.outcome, &attempt, has_served).effect;
            assert_eq!(effect_if(false), row.effect, "{:?}", row.outcome);
            assert_eq!(
                effect_if(true),
                row.effect_if_served,
                "{:?}, another attempt was served",
                row.outcome
            );
        }
    }
}

#[test]
fn the_limits_that_an_outcome_updates_depend_on_whether_a_timeout_means_a_loss() {
    for row in TABLE {
        for has_served in [false, true] {
            let evidence_if = |timeout_means_lost| {
                let attempt = attempt(timeout_means_lost);
                classify(row.outcome, &attempt, has_served).limit_evidence
            };
            assert_eq!(evidence_if(false), row.limit_evidence, "{:?}", row.outcome);
            assert_eq!(
                evidence_if(true),
                row.evidence_if_timeout_means_lost,
                "{:?}, a timeout means that the attempt was lost",
                row.outcome
            );
        }
    }
}

#[test]
fn a_reset_or_a_timeout_counts_as_lost_unless_another_attempt_was_served_before_the_timeout() {
    for row in TABLE {
        let may_be_lost_if =
            |has_served| classify(row.outcome, &attempt(false), has_served).may_be_lost;
        let is_reset = row.outcome == Outcome::Reset;
        let is_timeout = row.outcome == Outcome::Timeout;
        assert_eq!(
            may_be_lost_if(false),
            is_reset || is_timeout,
            "{:?}",
            row.outcome
        );
        assert_eq!(may_be_lost_if(true), is_reset, "{:?}", row.outcome);
    }
}

#[test]
fn only_the_effect_failed_counts_as_a_failure_and_all_other_effects_have_weight_one() {
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
