//! Tests of a proxy's capacity: its share of a backend, and the scaling and bound if its limits add up to few slots.

use super::*;
use crate::balancer::tests::{assert_close, settings};

/// Returns the capacity of a proxy whose limits add up to `limit_sum`.
fn capacity(limit_sum: f64, proxy_index: u32) -> ProxyCapacity {
    let mut capacity = ProxyCapacity::unbounded();
    capacity.evaluate(0, limit_sum, proxy_index);
    capacity
}

#[test]
fn capacity_is_unbounded_before_its_first_evaluation() {
    let capacity = ProxyCapacity::unbounded();
    assert_eq!(capacity.max_in_flight(), None);
    assert_eq!(capacity.limit_factor(), 1.0);
    assert!(capacity.is_older_than(0, 1_000));
}

#[test]
fn limits_that_add_up_to_at_least_three_are_neither_scaled_nor_bounded() {
    for limit_sum in [3.0, 100.0] {
        let capacity = capacity(limit_sum, 0);
        assert!(!capacity.are_limits_scaled_up());
        assert_eq!(capacity.limit_factor(), 1.0);
        assert_eq!(capacity.max_in_flight(), None);
        assert_eq!(capacity.limit_sum(), limit_sum);
    }
}

#[test]
fn limits_that_add_up_to_less_than_three_are_scaled_to_three() {
    for (limit_sum, limit_factor) in [(1.5, 2.0), (0.75, 4.0), (2.4, 1.25)] {
        let capacity = capacity(limit_sum, 0);
        assert!(capacity.are_limits_scaled_up());
        assert_close(capacity.limit_factor(), limit_factor);
    }
}

#[test]
fn attempts_in_flight_are_bounded_by_a_small_limit_sum_plus_its_square_root() {
    // The golden-ratio position of the proxy, 0 or 0.62, is added before the bound is rounded down.
    for (limit_sum, proxy_index, bound) in [
        (2.25, 0, 3),
        (2.25, 1, 4),
        (1.0, 0, 2),
        (1.0, 1, 2),
        (0.01, 0, 1),
        (0.01, 1, 1),
    ] {
        let capacity = capacity(limit_sum, proxy_index);
        let max_in_flight = capacity.max_in_flight();
        assert_eq!(max_in_flight, Some(bound), "a limit sum of {limit_sum}");
    }
}

#[test]
fn a_limit_sum_of_zero_is_neither_scaled_nor_bounded() {
    let capacity = capacity(0.0, 0);
    assert!(!capacity.are_limits_scaled_up());
    assert_eq!(capacity.max_in_flight(), None);
}

#[test]
fn capacity_is_older_than_an_age_once_that_time_has_passed() {
    let mut capacity = ProxyCapacity::unbounded();
    capacity.evaluate(100, 1.0, 0);
    assert!(!capacity.is_older_than(109, 10));
    assert!(capacity.is_older_than(110, 10));
}

#[test]
fn proxy_fraction_divides_by_the_proxies_per_zone_in_the_own_zone_and_by_all_proxies_elsewhere() {
    for (proxy_count, zone_count, own_zone, other_zone) in [
        (1, 1, 1.0, 1.0),
        (12, 3, 0.25, 1.0 / 12.0),
        (2, 4, 1.0, 0.5),
    ] {
        let mut settings = settings();
        settings.proxy_count = proxy_count;
        settings.zone_count = zone_count;
        assert_close(proxy_fraction(&settings, Zone(0)), own_zone);
        assert_close(proxy_fraction(&settings, Zone(1)), other_zone);
    }
}
