//! Tests of the attempts in flight at one backend: overdue and overtaken attempts, and unresponsive backends.

use super::*;

const TIMEOUT: Micros = 50;

/// Returns the state of a backend with one attempt for each of `times`, sent at 0 and overdue at that time.
fn with_attempts_overdue_at(times: &[Micros]) -> InFlight {
    let mut in_flight = InFlight::new(0);
    for &overdue_at in times {
        in_flight.start(0, overdue_at);
    }
    in_flight
}

#[test]
fn attempts_are_counted_until_they_end_and_the_count_does_not_drop_below_zero() {
    let mut in_flight = with_attempts_overdue_at(&[100, 200]);
    assert_eq!(in_flight.count(), 2);
    in_flight.end(100);
    assert_eq!(in_flight.count(), 1);
    in_flight.end(200);
    in_flight.end(200);
    assert_eq!(in_flight.count(), 0);
}

#[test]
fn not_overdue_count_includes_attempts_up_to_their_overdue_time() {
    let in_flight = with_attempts_overdue_at(&[100, 200, 300]);
    for (now, not_overdue) in [(100, 3), (101, 2), (200, 2), (300, 1), (301, 0)] {
        assert_eq!(in_flight.not_overdue_count(now), not_overdue, "at {now}");
    }
}

#[test]
fn an_attempt_is_overtaken_when_one_sent_after_its_overdue_time_is_served() {
    let mut in_flight = with_attempts_overdue_at(&[100, 200, 300]);
    assert_eq!(in_flight.overtaken_count(), 0);
    in_flight.record_response(400, 100);
    assert_eq!(
        in_flight.overtaken_count(),
        0,
        "sent at the overdue time of the first one"
    );
    in_flight.record_response(400, 201);
    assert_eq!(in_flight.overtaken_count(), 2);
    in_flight.record_response(500, 50);
    assert_eq!(
        in_flight.overtaken_count(),
        2,
        "a response to an earlier attempt changes nothing"
    );
    in_flight.end(100);
    assert_eq!(in_flight.overtaken_count(), 1);
}

#[test]
fn a_backend_is_unresponsive_if_it_serves_no_attempt_for_longer_than_the_timeout() {
    let mut in_flight = InFlight::new(0);
    in_flight.start(100, 1_000);
    in_flight.start(120, 1_000);
    assert!(!in_flight.is_unresponsive(150, TIMEOUT));
    assert!(in_flight.is_unresponsive(151, TIMEOUT));
    in_flight.record_response(160, 100);
    assert!(!in_flight.is_unresponsive(210, TIMEOUT));
    assert!(in_flight.is_unresponsive(211, TIMEOUT));
}

#[test]
fn an_idle_backend_is_not_unresponsive() {
    let mut in_flight = InFlight::new(0);
    assert!(!in_flight.is_unresponsive(1_000, TIMEOUT));
    in_flight.start(1_000, 2_000);
    assert!(
        !in_flight.is_unresponsive(1_050, TIMEOUT),
        "the time before its first attempt does not count"
    );
    in_flight.end(2_000);
    assert!(!in_flight.is_unresponsive(9_000, TIMEOUT));
}

#[test]
fn has_served_since_is_true_only_for_times_before_the_last_response() {
    let mut in_flight = InFlight::new(0);
    in_flight.start(100, 1_000);
    in_flight.start(110, 1_000);
    assert!(!in_flight.has_served_since(100));
    in_flight.record_response(300, 100);
    assert!(in_flight.has_served_since(110));
    assert!(in_flight.has_served_since(299));
    assert!(!in_flight.has_served_since(300));
}
