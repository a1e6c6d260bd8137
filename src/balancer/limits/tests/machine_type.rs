//! Tests of the limit of a machine type.

use super::*;

/// Adds six equal samples at one time. Asserts that the first five do not complete the window and reports whether the
/// sixth does.
fn record_six(limit: &mut MachineTypeLimit, now: Micros, sample: f64) -> bool {
    for _ in 0..5 {
        assert!(!limit.record(now, sample), "a window has six samples");
    }
    limit.record(now, sample)
}

/// Returns a limit that decreased from 1.5 to 1.05 at `NOW`.
fn decreased_limit() -> MachineTypeLimit {
    let mut limit = MachineTypeLimit::new(NOW);
    assert!(record_six(&mut limit, NOW, SLOW));
    limit
}

#[test]
fn the_initial_limit_is_one_and_a_half() {
    assert_eq!(MachineTypeLimit::new(NOW).limit(), 1.5);
}

#[test]
fn the_limit_doubles_without_a_minimum_window_until_its_first_decrease() {
    let mut limit = MachineTypeLimit::new(NOW);
    for expected in [3.0, 6.0, 12.0] {
        limit.mark_near_limit();
        assert!(record_six(&mut limit, NOW, QUICK));
        assert_close(limit.limit(), expected);
    }
    assert!(record_six(&mut limit, NOW, SLOW));
    assert_close(limit.limit(), 8.4);
    limit.mark_near_limit();
    assert!(
        !record_six(&mut limit, NOW, QUICK),
        "the window is shorter than the minimum"
    );
    assert!(limit.record(NOW + MIN_WINDOW_DURATION, QUICK));
    assert_close(limit.limit(), 9.66);
}

#[test]
fn quick_windows_do_not_raise_a_limit_that_was_not_nearly_reached() {
    let mut doubling = MachineTypeLimit::new(NOW);
    assert!(record_six(&mut doubling, NOW, QUICK));
    assert_eq!(doubling.limit(), 1.5);
    let mut decreased = decreased_limit();
    assert!(record_six(&mut decreased, NOW + MIN_WINDOW_DURATION, QUICK));
    assert_close(decreased.limit(), 1.05);
}

#[test]
fn a_limit_nearly_reached_in_one_window_is_not_raised_by_the_next_window() {
    let mut limit = MachineTypeLimit::new(NOW);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, QUICK);
    record_six(&mut limit, NOW, QUICK);
    assert_eq!(limit.limit(), 3.0);
}

#[test]
fn a_window_mean_of_one_raises_the_limit_and_a_higher_mean_lowers_it() {
    let mut limit = MachineTypeLimit::new(NOW);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, 1.0);
    assert_eq!(limit.limit(), 3.0);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, 1.001);
    assert_close(limit.limit(), 2.1);
}

#[test]
fn the_limit_stays_between_1_and_64() {
    let mut low = MachineTypeLimit::new(NOW);
    for window in 0..10 {
        record_six(&mut low, NOW + window * MIN_WINDOW_DURATION, SLOW);
    }
    assert_eq!(low.limit(), 1.0);
    let mut high = MachineTypeLimit::new(NOW);
    for _ in 0..10 {
        high.mark_near_limit();
        record_six(&mut high, NOW, QUICK);
    }
    assert_eq!(high.limit(), 64.0);
}

#[test]
fn a_load_report_moves_the_mean_service_time_by_a_sixteenth_of_the_difference() {
    let mut limit = MachineTypeLimit::new(NOW);
    assert_close(limit.record_service_time(100.0), 100.0);
    assert_close(limit.record_service_time(260.0), 100.0);
    assert_close(limit.record_service_time(110.0), 110.0);
}

#[test]
fn a_reported_service_time_counts_as_at_most_three_times_the_mean() {
    let mut limit = MachineTypeLimit::new(NOW);
    limit.record_service_time(160.0);
    limit.record_service_time(1e9);
    assert_close(limit.record_service_time(180.0), 180.0);
}
