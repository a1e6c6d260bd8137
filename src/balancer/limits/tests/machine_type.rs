//! The limit of a machine type.

use super::*;

/// Adds six samples at one time; returns whether the limit was evaluated with the last one, and not before.
fn record_six(limit: &mut MachineTypeLimit, now: Micros, sample: f64) -> bool {
    for _ in 0..5 {
        assert!(!limit.record(now, sample), "a window has six samples");
    }
    limit.record(now, sample)
}

/// Returns a limit after its first decrease, from 1.5, at `NOW`.
fn decreased_limit() -> MachineTypeLimit {
    let mut limit = MachineTypeLimit::new(NOW);
    assert!(record_six(&mut limit, NOW, SLOW));
    limit
}

#[test]
fn the_first_limit_is_one_and_a_half() {
    assert_eq!(MachineTypeLimit::new(NOW).limit(), 1.5);
}

#[test]
fn the_limit_doubles_until_its_first_decrease_without_waiting_for_the_window() {
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
        "the window is too short"
    );
    assert!(limit.record(NOW + MIN_WINDOW, QUICK));
    assert_close(limit.limit(), 9.66);
}

#[test]
fn a_limit_that_was_not_nearly_reached_does_not_rise() {
    let mut doubling = MachineTypeLimit::new(NOW);
    assert!(record_six(&mut doubling, NOW, QUICK));
    assert_eq!(doubling.limit(), 1.5);
    let mut decreased = decreased_limit();
    assert!(record_six(&mut decreased, NOW + MIN_WINDOW, QUICK));
    assert_close(decreased.limit(), 1.05);
}

#[test]
fn coming_near_the_limit_counts_for_one_window_only() {
    let mut limit = MachineTypeLimit::new(NOW);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, QUICK);
    record_six(&mut limit, NOW, QUICK);
    assert_eq!(limit.limit(), 3.0);
}

#[test]
fn a_window_with_a_mean_of_one_raises_the_limit_and_a_slower_one_lowers_it() {
    let mut limit = MachineTypeLimit::new(NOW);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, 1.0);
    assert_eq!(limit.limit(), 3.0);
    limit.mark_near_limit();
    record_six(&mut limit, NOW, 1.001);
    assert_close(limit.limit(), 2.1);
}

#[test]
fn the_limit_stays_within_bounds() {
    let mut low = MachineTypeLimit::new(NOW);
    for window in 0..10 {
        record_six(&mut low, NOW + window * MIN_WINDOW, SLOW);
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
fn the_mean_service_time_moves_by_a_sixteenth_of_each_report() {
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
