//! Tests of idle connections: their trusted idle time, and the connection that an attempt uses.

use super::*;

const IDLE_TIMEOUT: Micros = 5 * SECOND;
const NOW: Micros = 1_000 * SECOND;

/// Asserts that the trusted idle time is exactly `idle`.
fn assert_trusted_idle(trusted: &TrustedIdleTime, now: Micros, idle: Micros) {
    assert!(
        !trusted.exceeds_trusted_idle(now, idle),
        "{idle} us must be trusted"
    );
    assert!(
        trusted.exceeds_trusted_idle(now, idle + 1),
        "more than {idle} us must not be trusted"
    );
}

#[test]
fn the_initial_trusted_idle_time_is_the_idle_timeout() {
    let trusted = TrustedIdleTime::new(IDLE_TIMEOUT, NOW);
    assert_trusted_idle(&trusted, NOW, IDLE_TIMEOUT);
}

#[test]
fn a_lost_request_reduces_the_trusted_idle_time_to_half_of_the_connections_idle_time() {
    let mut trusted = TrustedIdleTime::new(IDLE_TIMEOUT, NOW);
    assert!(trusted.record_lost_request(NOW, 2 * SECOND));
    assert_trusted_idle(&trusted, NOW, SECOND);
}

#[test]
fn a_loss_is_not_attributed_to_a_connection_that_was_idle_for_at_most_500_ms() {
    let mut trusted = TrustedIdleTime::new(IDLE_TIMEOUT, NOW);
    for idle in [0, SECOND / 4, SECOND / 2] {
        assert!(!trusted.record_lost_request(NOW, idle));
    }
    assert_trusted_idle(&trusted, NOW, IDLE_TIMEOUT);
    assert!(trusted.record_lost_request(NOW, SECOND / 2 + 1));
    assert_trusted_idle(&trusted, NOW, SECOND / 2);
}

#[test]
fn a_loss_after_a_longer_idle_time_does_not_raise_the_trusted_idle_time() {
    let mut trusted = TrustedIdleTime::new(IDLE_TIMEOUT, NOW);
    trusted.record_lost_request(NOW, 2 * SECOND);
    assert!(trusted.record_lost_request(NOW, 10 * SECOND));
    assert_trusted_idle(&trusted, NOW, SECOND);
}

#[test]
fn the_trusted_idle_time_doubles_each_minute() {
    let mut trusted = TrustedIdleTime::new(IDLE_TIMEOUT, NOW);
    trusted.record_lost_request(NOW, 2 * SECOND);
    assert_trusted_idle(&trusted, NOW + 60 * SECOND, 2 * SECOND);
    assert_trusted_idle(&trusted, NOW + 120 * SECOND, 4 * SECOND);
}

#[test]
fn the_idle_time_of_a_new_connection_is_zero() {
    let mut connections = ConnectionIdleTimes::default();
    assert_eq!(connections.take(10, 0, 1), 0);
    assert_eq!(connections.take(20, 1, 1), 0);
}

#[test]
fn the_idle_time_is_measured_from_the_end_of_the_last_attempt() {
    let mut connections = ConnectionIdleTimes::default();
    connections.take(10, 0, 1);
    connections.release(40, 0, 1);
    assert_eq!(connections.take(100, 0, 1), 60);
}

#[test]
fn attempts_in_flight_use_the_connections_with_the_lowest_numbers() {
    let mut connections = ConnectionIdleTimes::default();
    connections.take(10, 0, 1);
    connections.take(10, 1, 1);
    connections.release(30, 1, 1);
    connections.release(40, 0, 1);
    assert_eq!(connections.take(100, 0, 1), 60);
    assert_eq!(connections.take(100, 1, 1), 70);
}

#[test]
fn a_connection_that_carries_other_attempts_is_not_idle() {
    let mut connections = ConnectionIdleTimes::default();
    connections.take(10, 0, 2);
    connections.release(40, 0, 2);
    assert_eq!(connections.take(100, 0, 2), 60);
    assert_eq!(connections.take(150, 1, 2), 0, "the same connection");
    assert_eq!(connections.take(150, 2, 2), 0, "a new connection");
}

#[test]
fn close_idle_removes_all_idle_connections_except_the_next_one() {
    let mut connections = ConnectionIdleTimes::default();
    for in_flight in 0..3 {
        connections.take(10, in_flight, 1);
    }
    for in_flight in [2, 1, 0] {
        connections.release(20, in_flight, 1);
    }
    connections.close_idle(0, 1);
    assert_eq!(connections.take(100, 0, 1), 80);
    assert_eq!(connections.take(100, 1, 1), 0, "a new connection");
    assert_eq!(connections.take(100, 2, 1), 0, "a new connection");
}

#[test]
fn all_connections_are_new_after_clear() {
    let mut connections = ConnectionIdleTimes::default();
    connections.take(10, 0, 1);
    connections.release(20, 0, 1);
    connections.clear();
    assert_eq!(connections.take(100, 0, 1), 0);
}
