//! Idle connections by themselves: how long one is trusted, and which one an attempt takes.

use super::*;

const IDLE_TIMEOUT: Micros = 5 * SECOND;
const NOW: Micros = 1_000 * SECOND;

/// Asserts that connections are trusted that were idle for up to exactly this time.
fn assert_trusted_idle(trust: &IdleTrust, now: Micros, idle: Micros) {
    assert!(!trust.is_suspect(now, idle), "{idle} us are trusted");
    assert!(trust.is_suspect(now, idle + 1), "more than {idle} us");
}

#[test]
fn connections_are_trusted_for_their_idle_timeout_at_first() {
    let trust = IdleTrust::new(IDLE_TIMEOUT, NOW);
    assert_trusted_idle(&trust, NOW, IDLE_TIMEOUT);
}

#[test]
fn a_lost_request_cuts_the_trusted_time_to_half_the_idle_time() {
    let mut trust = IdleTrust::new(IDLE_TIMEOUT, NOW);
    assert!(trust.record_lost_request(NOW, 2 * SECOND));
    assert_trusted_idle(&trust, NOW, SECOND);
}

#[test]
fn a_connection_that_was_idle_briefly_is_neither_blamed_nor_suspect() {
    let mut trust = IdleTrust::new(IDLE_TIMEOUT, NOW);
    for idle in [0, SECOND / 4, SECOND / 2] {
        assert!(!trust.record_lost_request(NOW, idle));
    }
    assert_trusted_idle(&trust, NOW, IDLE_TIMEOUT);
    assert!(trust.record_lost_request(NOW, SECOND / 2 + 1));
    assert_trusted_idle(&trust, NOW, SECOND / 2);
}

#[test]
fn a_further_loss_never_lengthens_the_trusted_time() {
    let mut trust = IdleTrust::new(IDLE_TIMEOUT, NOW);
    trust.record_lost_request(NOW, 2 * SECOND);
    assert!(trust.record_lost_request(NOW, 10 * SECOND));
    assert_trusted_idle(&trust, NOW, SECOND);
}

#[test]
fn the_trusted_time_doubles_each_minute() {
    let mut trust = IdleTrust::new(IDLE_TIMEOUT, NOW);
    trust.record_lost_request(NOW, 2 * SECOND);
    assert_trusted_idle(&trust, NOW + 60 * SECOND, 2 * SECOND);
    assert_trusted_idle(&trust, NOW + 120 * SECOND, 4 * SECOND);
}

#[test]
fn a_new_connection_has_not_been_idle() {
    let mut connections = ConnectionUse::default();
    assert_eq!(connections.take(10, 0, 1), 0);
    assert_eq!(connections.take(20, 1, 1), 0);
}

#[test]
fn a_connection_is_idle_from_the_end_of_its_last_attempt() {
    let mut connections = ConnectionUse::default();
    connections.take(10, 0, 1);
    connections.release(40, 0, 1);
    assert_eq!(connections.take(100, 0, 1), 60);
}

#[test]
fn the_last_connections_are_idle_longest() {
    let mut connections = ConnectionUse::default();
    connections.take(10, 0, 1);
    connections.take(10, 1, 1);
    connections.release(30, 1, 1);
    connections.release(40, 0, 1);
    assert_eq!(connections.take(100, 0, 1), 60);
    assert_eq!(connections.take(100, 1, 1), 70);
}

#[test]
fn a_connection_that_carries_other_attempts_is_not_idle() {
    let mut connections = ConnectionUse::default();
    connections.take(10, 0, 2);
    connections.release(40, 0, 2);
    assert_eq!(connections.take(100, 0, 2), 60);
    assert_eq!(connections.take(150, 1, 2), 0, "the same connection");
    assert_eq!(connections.take(150, 2, 2), 0, "a new one");
}

#[test]
fn closed_connections_are_forgotten_except_the_next_one() {
    let mut connections = ConnectionUse::default();
    for in_flight in 0..3 {
        connections.take(10, in_flight, 1);
    }
    for in_flight in [2, 1, 0] {
        connections.release(20, in_flight, 1);
    }
    connections.close_idle(0, 1);
    assert_eq!(connections.take(100, 0, 1), 80);
    assert_eq!(connections.take(100, 1, 1), 0, "a new one");
    assert_eq!(connections.take(100, 2, 1), 0, "a new one");
}

#[test]
fn after_a_restart_all_connections_are_new() {
    let mut connections = ConnectionUse::default();
    connections.take(10, 0, 1);
    connections.release(20, 0, 1);
    connections.clear();
    assert_eq!(connections.take(100, 0, 1), 0);
}
