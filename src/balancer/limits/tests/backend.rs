//! Tests of the limit of one backend.

use super::*;

/// Share of a backend that only this proxy uses.
const WHOLE_BACKEND: f64 = 1.0;

/// Returns the limit of a backend that has just been listed.
fn new_backend_limit(now: Micros) -> BackendLimit {
    let mut limit = BackendLimit::default();
    limit.reset(now);
    limit
}

/// Adds a sample to the limit of a backend that only this proxy uses.
fn record(limit: &mut BackendLimit, now: Micros, sample: f64, machine_type_limit: f64) {
    limit.record(now, sample, machine_type_limit, WHOLE_BACKEND);
}

/// Completes a window that started at `start` with six samples. Returns the time at which it ends.
fn complete_window(
    limit: &mut BackendLimit,
    start: Micros,
    sample: f64,
    machine_type_limit: f64,
) -> Micros {
    complete_window_of_share(limit, start, sample, machine_type_limit, WHOLE_BACKEND)
}

/// Completes a window like [`complete_window`]. The backend is shared with other proxies.
fn complete_window_of_share(
    limit: &mut BackendLimit,
    start: Micros,
    sample: f64,
    machine_type_limit: f64,
    proxy_fraction: f64,
) -> Micros {
    let end = start + MIN_WINDOW_DURATION;
    for _ in 0..5 {
        limit.record(start, sample, machine_type_limit, proxy_fraction);
    }
    limit.record(end, sample, machine_type_limit, proxy_fraction);
    end
}

/// Records that three quarters of the slots are taken, so that the limit counts as nearly reached.
fn nearly_reach(limit: &mut BackendLimit) {
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
fn a_slow_window_lowers_the_limit_by_30_percent() {
    let mut limit = new_backend_limit(NOW);
    complete_window(&mut limit, NOW, SLOW, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
    assert_close(limit.value(10.0), 7.0);
    assert_close(limit.value(2.0), 7.0);
}

#[test]
fn a_window_mean_of_one_does_not_lower_the_limit_and_a_higher_mean_does() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, 1.0, 10.0);
    assert_eq!(limit.source(), LimitSource::MachineType);
    complete_window(&mut limit, end, 1.001, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
}

#[test]
fn a_window_is_not_evaluated_before_its_minimum_duration() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..100 {
        record(&mut limit, NOW + MIN_WINDOW_DURATION - 1, SLOW, 10.0);
    }
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, NOW + MIN_WINDOW_DURATION, SLOW, 10.0);
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
fn a_window_without_enough_samples_is_discarded_after_10_seconds() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..4 {
        record(&mut limit, NOW, SLOW, 10.0);
    }
    let restart = NOW + 10 * SECOND;
    record(&mut limit, restart, SLOW, 10.0);
    for _ in 0..5 {
        record(&mut limit, restart + MIN_WINDOW_DURATION, SLOW, 10.0);
    }
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, restart + MIN_WINDOW_DURATION, SLOW, 10.0);
    assert_eq!(limit.source(), LimitSource::Windows);
}

#[test]
fn a_quick_window_raises_a_backends_own_limit_only_if_it_was_nearly_reached() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 7.0);
    limit.record_in_flight(5, 8);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 7.0);
    nearly_reach(&mut limit);
    let end = complete_window(&mut limit, end, QUICK, 10.0);
    // An increase by 15 % of 7 is greater than 1.
    assert_close(limit.value(10.0), 8.05);
    complete_window(&mut limit, end, QUICK, 10.0);
    assert_close(limit.value(10.0), 8.05);
}

#[test]
fn a_small_limit_increases_by_the_proxys_share_of_one_slot() {
    for (fraction, raised) in [(1.0, 2.4), (0.5, 1.9)] {
        let mut limit = new_backend_limit(NOW);
        let end = complete_window_of_share(&mut limit, NOW, SLOW, 2.0, fraction);
        assert_close(limit.value(2.0), 1.4);
        nearly_reach(&mut limit);
        complete_window_of_share(&mut limit, end, QUICK, 2.0, fraction);
        assert_close(limit.value(2.0), raised);
    }
}

#[test]
fn a_quick_window_does_not_raise_the_limit_of_a_backend_without_a_limit_of_its_own() {
    let mut limit = new_backend_limit(NOW);
    nearly_reach(&mut limit);
    complete_window(&mut limit, NOW, QUICK, 10.0);
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_eq!(limit.value(10.0), 10.0);
}

#[test]
fn a_quick_window_does_not_raise_a_limit_from_a_load_report() {
    let mut limit = new_backend_limit(NOW);
    limit.record_service_time(NOW, 80.0, 100.0, 0.5);
    nearly_reach(&mut limit);
    complete_window_of_share(&mut limit, NOW, QUICK, 0.5, 0.25);
    assert_eq!(limit.source(), LimitSource::LoadReport);
    assert_close(limit.value(0.5), 0.625);
}

#[test]
fn a_backends_own_limit_stays_between_1_and_64() {
    let mut low = new_backend_limit(NOW);
    complete_window(&mut low, NOW, SLOW, 1.2);
    assert_close(low.value(1.2), 1.0);
    let mut high = new_backend_limit(NOW);
    let mut end = complete_window(&mut high, NOW, SLOW, 64.0);
    for _ in 0..5 {
        nearly_reach(&mut high);
        end = complete_window(&mut high, end, QUICK, 64.0);
    }
    assert_close(high.value(64.0), 64.0);
}

#[test]
fn bounds_of_a_limit_are_scaled_by_the_proxys_share() {
    let mut limit = new_backend_limit(NOW);
    for _ in 0..6 {
        limit.record(NOW + MIN_WINDOW_DURATION, SLOW, 0.3, 0.25);
    }
    assert_close(limit.value(0.3), 0.25);
}

#[test]
fn a_load_report_scales_a_machine_type_limit_below_one_by_0_1_to_1_5() {
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
fn a_load_report_changes_neither_a_machine_type_limit_of_one_nor_a_backends_own_limit() {
    let mut shared = new_backend_limit(NOW);
    shared.record_service_time(NOW, 200.0, 100.0, 1.0);
    assert_eq!(shared.source(), LimitSource::MachineType);
    let mut own = new_backend_limit(NOW);
    complete_window(&mut own, NOW, SLOW, 0.9);
    own.record_service_time(NOW + MIN_WINDOW_DURATION, 200.0, 100.0, 0.9);
    assert_eq!(own.source(), LimitSource::Windows);
}

#[test]
fn a_backends_own_limit_is_kept_with_a_slot_or_for_2_seconds_after_its_last_window() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    assert!(!limit.use_machine_type_limit(end + 60 * SECOND, 1, 10.0));
    assert!(!limit.use_machine_type_limit(end + 2 * SECOND, 0, 10.0));
    assert_eq!(limit.source(), LimitSource::Windows);
    assert!(limit.use_machine_type_limit(end + 2 * SECOND + 1, 0, 10.0));
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_eq!(limit.value(10.0), 10.0);
}

#[test]
fn a_load_report_scales_a_restored_machine_type_limit_for_5_seconds() {
    let mut limit = new_backend_limit(NOW);
    limit.record_service_time(NOW, 200.0, 100.0, 0.5);
    assert!(limit.use_machine_type_limit(NOW + 5 * SECOND - 1, 0, 0.8));
    assert_eq!(limit.source(), LimitSource::LoadReport);
    assert_close(limit.value(0.8), 0.4);
    assert!(limit.use_machine_type_limit(NOW + 5 * SECOND, 0, 0.8));
    assert_eq!(limit.source(), LimitSource::MachineType);
    assert_close(limit.value(0.8), 0.8);
}

#[test]
fn a_reset_restores_the_machine_type_limit_and_starts_a_new_window() {
    let mut limit = new_backend_limit(NOW);
    let end = complete_window(&mut limit, NOW, SLOW, 10.0);
    for _ in 0..5 {
        record(&mut limit, end, SLOW, 10.0);
    }
    limit.reset(end);
    assert_eq!(limit.source(), LimitSource::MachineType);
    record(&mut limit, end + MIN_WINDOW_DURATION, SLOW, 10.0);
    assert_eq!(
        limit.source(),
        LimitSource::MachineType,
        "the new window has one sample"
    );
}
