//! The peak rate.

use super::*;
use crate::balancer::tests::assert_close;
use crate::balancer::time::SECOND;

/// Counts so many events in a span, all at its start but the last one, which ends it.
fn record_span(rate: &mut PeakRate, start: Micros, end: Micros, events: u32) {
    for _ in 1..events {
        rate.record(start);
    }
    rate.record(end);
}

#[test]
fn a_rate_is_not_known_before_the_shortest_span() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND - 1, 100);
    assert_eq!(rate.per_second(), 0.0);
}

#[test]
fn a_rate_is_the_events_of_a_span_over_its_seconds() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    assert_close(rate.per_second(), 10.0);
    let mut rate = PeakRate::new(SECOND);
    record_span(&mut rate, SECOND, 11 * SECOND, 40);
    assert_close(rate.per_second(), 4.0);
}

#[test]
fn a_peak_fades_by_a_twentieth_with_each_lower_span() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    record_span(&mut rate, 4 * SECOND, 8 * SECOND, 4);
    assert_close(rate.per_second(), 9.5);
    record_span(&mut rate, 8 * SECOND, 12 * SECOND, 4);
    assert_close(rate.per_second(), 9.025);
}

#[test]
fn a_higher_rate_is_the_new_peak_at_once() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    record_span(&mut rate, 4 * SECOND, 8 * SECOND, 80);
    assert_close(rate.per_second(), 20.0);
}
