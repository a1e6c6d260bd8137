//! Tests of outlier detection: ejections and their durations, trial requests and readmission.

use super::*;

const FAILURE: OutlierSample = OutlierSample {
    failed: true,
    weight: 1.0,
    is_trial: false,
};
const SUCCESS: OutlierSample = OutlierSample {
    failed: false,
    ..FAILURE
};
const FAILED_TRIAL: OutlierSample = OutlierSample {
    is_trial: true,
    ..FAILURE
};
const SUCCESSFUL_TRIAL: OutlierSample = OutlierSample {
    is_trial: true,
    ..SUCCESS
};
const NO_JITTER: f64 = 1.0;

/// Records a sample of a backend that may be ejected.
fn record(
    detector: &mut OutlierDetector,
    now: Micros,
    sample: OutlierSample,
) -> Option<OutlierChange> {
    detector.record(now, sample, true, NO_JITTER)
}

fn ejected_for(seconds: u64) -> Option<OutlierChange> {
    let duration = seconds * SECOND;
    Some(OutlierChange::Ejected { duration })
}

/// Records failures at one time until the backend is ejected. Returns the number of failures.
fn fail_until_ejected(detector: &mut OutlierDetector, now: Micros, weight: f64) -> u32 {
    let failure = OutlierSample { weight, ..FAILURE };
    let mut failures = 0;
    while !detector.is_ejected() {
        failures += 1;
        assert!(failures < 100, "100 failures must eject the backend");
        record(detector, now, failure);
    }
    failures
}

#[test]
fn a_backend_is_ejected_when_its_failure_rate_reaches_the_threshold() {
    // After n failures in a row the rate is 1 - 0.75^n: 0.44 after two, 0.58 after three.
    let mut detector = OutlierDetector::default();
    assert_eq!(record(&mut detector, 0, FAILURE), None);
    assert_eq!(record(&mut detector, 0, FAILURE), None);
    assert_eq!(detector.state(0), OutlierState::Healthy);
    assert_eq!(record(&mut detector, 0, FAILURE), ejected_for(1));
    assert_eq!(detector.state(0), OutlierState::Ejected(SECOND));
}

#[test]
fn the_weight_of_a_failure_scales_its_effect_on_the_failure_rate() {
    // After n failures of weight w the rate is 1 - (1 - w/4)^n: 0.5 after one of weight 2, 0.49 after five of weight
    // 1/2.
    assert_eq!(
        fail_until_ejected(&mut OutlierDetector::default(), 0, 2.0),
        1
    );
    assert_eq!(
        fail_until_ejected(&mut OutlierDetector::default(), 0, 0.5),
        6
    );
}

#[test]
fn a_success_does_not_eject_a_backend_with_a_high_failure_rate() {
    let mut detector = OutlierDetector::default();
    for _ in 0..10 {
        detector.record(0, FAILURE, false, NO_JITTER);
    }
    assert_eq!(record(&mut detector, 0, SUCCESS), None);
    assert_eq!(detector.state(0), OutlierState::Healthy);
}

#[test]
fn a_backend_is_not_ejected_while_too_many_others_are() {
    let mut detector = OutlierDetector::default();
    for _ in 0..100 {
        assert_eq!(detector.record(0, FAILURE, false, NO_JITTER), None);
    }
    assert_eq!(detector.state(0), OutlierState::Healthy);
}

#[test]
fn up_to_three_fifths_of_the_ready_backends_may_be_ejected() {
    for (ready, most) in [(0, 0), (1, 0), (2, 1), (3, 1), (4, 2), (5, 3), (10, 6)] {
        for ejected in 0..=ready {
            assert_eq!(
                may_eject_another(ejected, ready),
                ejected < most,
                "{ejected} of {ready} are ejected"
            );
        }
    }
}

#[test]
fn jitter_scales_the_duration_of_an_ejection() {
    for (jitter, duration) in [(0.75, 3 * SECOND / 4), (1.25, 5 * SECOND / 4)] {
        let refused_connection = OutlierSample {
            weight: 2.0,
            ..FAILURE
        };
        let change = OutlierDetector::default().record(0, refused_connection, true, jitter);
        assert_eq!(change, Some(OutlierChange::Ejected { duration }));
    }
}

#[test]
fn consecutive_ejections_double_in_duration_up_to_16_seconds() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0, 1.0);
    let mut now = SECOND;
    for seconds in [2, 4, 8, 16, 16, 16] {
        assert_eq!(detector.state(now), OutlierState::HalfOpen);
        let change = record(&mut detector, now, FAILED_TRIAL);
        assert_eq!(change, Some(OutlierChange::EjectedAgain));
        let until = now + seconds * SECOND;
        assert_eq!(detector.state(now), OutlierState::Ejected(until));
        now = until;
    }
}

#[test]
fn an_ejected_backend_is_half_open_after_its_ejection_time() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0, 1.0);
    assert_eq!(detector.state(SECOND - 1), OutlierState::Ejected(SECOND));
    assert_eq!(detector.state(SECOND), OutlierState::HalfOpen);
    assert!(detector.is_ejected(), "ejected until it is readmitted");
}

#[test]
fn a_trial_request_is_in_flight_until_it_ends() {
    let mut detector = OutlierDetector::default();
    detector.start_attempt(false);
    assert!(!detector.is_trial_in_flight());
    detector.start_attempt(true);
    detector.start_attempt(false);
    detector.end_attempt(false);
    assert!(detector.is_trial_in_flight());
    detector.end_attempt(true);
    assert!(!detector.is_trial_in_flight());
}

#[test]
fn a_failed_attempt_other_than_a_trial_does_not_prolong_an_ejection() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0, 1.0);
    assert_eq!(record(&mut detector, SECOND / 2, FAILURE), None);
    assert_eq!(detector.state(SECOND / 2), OutlierState::Ejected(SECOND));
}

#[test]
fn a_success_readmits_an_ejected_backend() {
    for success in [SUCCESSFUL_TRIAL, SUCCESS] {
        let mut detector = OutlierDetector::default();
        fail_until_ejected(&mut detector, 0, 1.0);
        let change = record(&mut detector, SECOND, success);
        assert_eq!(change, Some(OutlierChange::Readmitted));
        assert_eq!(detector.state(SECOND), OutlierState::Healthy);
        assert!(!detector.is_ejected());
    }
}

#[test]
fn a_readmitted_backend_is_not_ejected_for_its_next_failure() {
    let mut detector = OutlierDetector::default();
    for _ in 0..20 {
        record(&mut detector, 0, FAILURE);
    }
    record(&mut detector, SECOND, SUCCESSFUL_TRIAL);
    // After the readmission the rate is 0.3, then 0.48 after one failure and 0.61 after two.
    assert_eq!(record(&mut detector, SECOND, FAILURE), None);
    assert_eq!(record(&mut detector, SECOND, FAILURE), ejected_for(2));
}

#[test]
fn a_low_failure_rate_resets_the_ejection_duration() {
    // After the readmission the rate is 0.3, then 0.13 after three successes and 0.09 after four.
    for (successes, seconds) in [(3, 2), (4, 1)] {
        let mut detector = OutlierDetector::default();
        for _ in 0..20 {
            record(&mut detector, 0, FAILURE);
        }
        record(&mut detector, SECOND, SUCCESSFUL_TRIAL);
        for _ in 0..successes {
            assert_eq!(record(&mut detector, SECOND, SUCCESS), None);
        }
        fail_until_ejected(&mut detector, SECOND, 1.0);
        let until = SECOND + seconds * SECOND;
        assert_eq!(
            detector.state(SECOND),
            OutlierState::Ejected(until),
            "after {successes} successes"
        );
    }
}

#[test]
fn a_reset_clears_ejections_and_failures() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0, 1.0);
    detector.reset();
    assert_eq!(detector.state(0), OutlierState::Healthy);
    assert_eq!(fail_until_ejected(&mut detector, 0, 1.0), 3);
    assert_eq!(detector.state(0), OutlierState::Ejected(SECOND));
}
