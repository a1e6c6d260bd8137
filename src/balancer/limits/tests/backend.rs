//! The limit of one backend.

use super::*;

/// This proxy's part of a backend that it has for itself.
const WHOLE: f64 = 1.0;

/// Returns the limit of a backend that has just been listed.
fn new_backend_limit(now: Micros) -> BackendLimit {
    let mut limit = BackendLimit::default();
    limit.reset(now);
    limit
}

/// Adds a sample to the limit of a backend that this proxy has for itself.
fn record(limit: &mut BackendLimit, now: Micros, sample: f64, machine_type_limit: f64) {
    limit.record(now, sample, machine_type_limit, WHOLE);
}

/// Completes a window that began at `start` with six samples; returns the time of its end.
fn complete_window(
    limit: &mut BackendLimit,
    start: Micros,
    sample: f64,
    machine_type_limit: f64,
) -> Micros {
    complete_window_of_part(limit, start, sample, machine_type_limit, WHOLE)
}

/// As [`complete_window`], where this proxy has a part of the backend.
fn complete_window_of_part(
    limit: &mut BackendLimit,
    start: Micros,
    sample: f64,
    machine_type_limit: f64,
    proxy_fraction: f64,
) -> Micros {
    let end = start + MIN_WINDOW;
    for _ in 0..5 {
        limit.record(start, sample, machine_type_limit, proxy_fraction);
    }
    limit.record(end, sample, machine_type_limit, proxy_fraction);
    end
}

/// Notes that three quarters of the slots are taken.
fn come_near(limit: &mut BackendLimit) {
    limit.record_in_flight(6, 8);
}

#[test]
fn a_backend_without_samples_has_the_limit_of_its_machine_type() {
    let limit = new_backend_limit(NOW);
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_eq!(limit.value(2.5), 2.5);
    assert_eq!(limit.value(0.1), 0.1);
}

#[test]
fn a_slow_window_lowers_the_limit_by_three_tenths() {
    let mut limit = new_backend_limit(NOW);
    complete_window(&mut limit, NOW, SLOW, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
    assert_close(limit.value(10.0), 7.0);
    assert_close(limit.value(2.0), 7.0);
}

#[test]
fn a_window_with_a_mean_of_one_does_not_lower_the_limit() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, 1.0, 10.0);
    assert_eq!(limit.source(), LimitSource::MachineType);
    complete_window(&mut limit, end, 1.001, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
}

#[test]
fn a_window_is_not_evaluated_before_its_shortest_time() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..100 {
        record(&mut limit, NOW + MIN_WINDOW - 1, SLOW, 10.0);
    }
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, NOW + MIN_WINDOW, SLOW, 10.0);
    assert_close(limit.value(10.0), 7.0);
}

#[test]
fn a_window_stays_open_until_it_has_six_samples() {
    let mut limit = new_backend_limit(NOW);
    for second in 1..=5 {
        record(&mut limit, NOW + second * SECOND, SLOW, 10.0);
        assert_eq!(limit.source(), LimitSource::MachineType);
    }
    record(&mut limit, NOW + 6 * SECOND, SLOW, 10.0);
    assert_close(limit.value(10.0), 7.0);
}

#[test]
fn a_window_without_enough_samples_starts_anew_after_forty_times_its_shortest_time() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..4 {
        record(&mut limit, NOW, SLOW, 10.0);
    }
    let restart = NOW + 10 * SECOND;
    record(&mut limit, restart, SLOW, 10.0);
    for _ in 0..5 {
        record(&mut limit, restart + MIN_WINDOW, SLOW, 10.0);
    }
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, restart + MIN_WINDOW, SLOW, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
}

#[test]
fn a_quick_window_raises_a_limit_of_its_own_only_if_it_was_nearly_reached() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 7.0);
    limit.record_in_flight(5, 8);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 7.0);
    come_near(&mut limit);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    // 15 % of 7 are more than one.
    assert_close(limit.value(10.0), 8.05);
    complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 8.05);
}

#[test]
fn a_small_limit_rises_by_one_slot_of_this_proxys_part() {
    for (fraction, raised) in [(1.0, 2.4), (0.5, 1.9)] {
        let mut limit = new_backend_limit(NOW);
        let end = complete_window_of_part(&mut limit, NOW, SLOW, 2.0, fraction);
        assert_close(limit.value(2.0), 1.4);
        come_near(&mut limit);
        complete_window_of_part(&mut limit, end, QUICK, 2.0, fraction);
        assert_close(limit.value(2.0), raised);
    }
}

#[test]
fn quick_windows_do_not_raise_the_limit_of_the_machine_type() {
    let mut limit = new_backend_limit(NOW);
    come_near(&mut limit);
    complete_window(&mut limit, NOW, QUICK, 10.0);
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_eq!(limit.value(10.0), 10.0);
}

#[test]
fn quick_windows_do_not_raise_the_limit_of_a_load_report() {
    let mut limit = new_backend_limit(NOW);
    limit.record_service_time(NOW, 80.0, 100.0, 0.5);
    come_near(&mut limit);
    complete_window_of_part(&mut limit, NOW, QUICK, 0.5, 0.25);
    assert_eq!(limit.source(), LimitSource::LoadReport);
    assert_close(limit.value(0.5), 0.625);
}

#[test]
fn a_limit_of_its_own_stays_within_bounds() {
    let mut low = new_backend_limit(NOW);
    complete_window(&mut low, NOW, SLOW, 1.2);
    assert_close(low.value(1.2), 1.0);
    let mut high = new_backend_limit(NOW);
    let mut end = complete_window(&mut high, NOW, SLOW, 64.0);
    for _ in 0..5 {
        come_near(&mut high);
        end = complete_window(&mut high, end, QUICK, 64.0);
    }
    assert_close(high.value(64.0), 64.0);
}

#[test]
fn the_bounds_are_those_of_this_proxys_part() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..6 {
        limit.record(NOW + MIN_WINDOW, SLOW, 0.3, 0.25);
    }
    assert_close(limit.value(0.3), 0.25);
}

#[test]
fn a_load_report_scales_a_machine_type_limit_below_one_within_bounds() {
    for (reported_ms, mean_ms, expected) in [
        (200.0, 100.0, 0.25),
        (80.0, 100.0, 0.625),
        (10.0, 100.0, 0.75),
        (9_000.0, 100.0, 0.05),
    ] {
        let mut limit = new_backend_limit(NOW);
        limit.record_service_time(NOW, reported_ms, mean_ms, 0.5);
        assert_eq!(limit.source(), LimitSource::LoadReport);
        assert_close(limit.value(0.5), expected);
    }
}

#[test]
fn a_load_report_does_not_change_other_limits() {
    let mut shared = new_backend_limit(NOW);
    shared.record_service_time(NOW, 200.0, 100.0, 1.0);
    assert_eq!(shared.source(), LimitSource::MachineType);
    let mut own = new_backend_limit(NOW);
    complete_window(&mut own, NOW, SLOW, 0.9);
    own.record_service_time(NOW + MIN_WINDOW, 200.0, 100.0, 0.9);
    assert_eq!(own.source(), LimitSource::Windows);
}

#[test]
fn a_limit_of_its_own_is_kept_while_there_are_slots_or_recent_windows() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    assert!(!limit.follow_machine_type(end + 60 * SECOND, 1, 10.0));
    assert!(!limit.follow_machine_type(end + 2 * SECOND, 0, 10.0));
    assert_eq!(limit.source(), LimitSource::Windows);
    assert!(limit.follow_machine_type(end + 2 * SECOND + 1, 0, 10.0));
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_eq!(limit.value(10.0), 10.0);
}

#[test]
fn a_backend_follows_its_machine_type_by_a_load_report_of_the_last_five_seconds() {
    let mut limit = new_backend_limit(NOW);
    limit.record_service_time(NOW, 200.0, 100.0, 0.5);
    assert!(limit.follow_machine_type(NOW + 5 * SECOND - 1, 0, 0.8));
    assert_eq!(limit.source(), LimitSource::LoadReport);
    assert_close(limit.value(0.8), 0.4);
    assert!(limit.follow_machine_type(NOW + 5 * SECOND, 0, 0.8));
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_close(limit.value(0.8), 0.8);
}

#[test]
fn a_reset_returns_to_the_limit_of_the_machine_type() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    for _ in 0..5 {
        record(&mut limit, end, SLOW, 10.0);
    }
    limit.reset(end);
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, end + MIN_WINDOW, SLOW, 10.0);
    assert_eq!(limit.source(), LimitSource::MachineType, "a new window");
}
