//! Tests of the peak rate.

use super::*;
use crate::balancer::tests::assert_close;
use crate::balancer::time::SECOND;

/// Records `events` events in a span: the last one at its end, all others at its start.
fn record_span(rate: &mut PeakRate, start: Micros, end: Micros, events: u32) {
    for _ in 1..events {
        rate.record(start);
    }
    rate.record(end);
}

#[test]
fn the_peak_is_zero_before_the_end_of_the_first_span() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND - 1, 100);
    assert_eq!(rate.per_second(), 0.0);
}

#[test]
fn the_rate_of_a_span_is_its_events_divided_by_its_seconds() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    assert_close(rate.per_second(), 10.0);
    let mut rate = PeakRate::new(SECOND);
    record_span(&mut rate, SECOND, 11 * SECOND, 40);
    assert_close(rate.per_second(), 4.0);
}

#[test]
fn the_peak_decays_by_5_percent_with_each_slower_span() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    record_span(&mut rate, 4 * SECOND, 8 * SECOND, 4);
    assert_close(rate.per_second(), 9.5);
    record_span(&mut rate, 8 * SECOND, 12 * SECOND, 4);
    assert_close(rate.per_second(), 9.025);
}

#[test]
fn a_span_with_a_higher_rate_sets_the_peak() {
    let mut rate = PeakRate::new(0);
    record_span(&mut rate, 0, 4 * SECOND, 40);
    record_span(&mut rate, 4 * SECOND, 8 * SECOND, 80);
    assert_close(rate.per_second(), 20.0);
}
