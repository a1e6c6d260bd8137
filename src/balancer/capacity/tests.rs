//! The capacity of one proxy by itself: its part of a backend, and its bound where it has few slots.

use super::*;
use crate::balancer::tests::{assert_close, settings};

/// Returns the capacity of a proxy whose limits add up to this.
fn capacity(slots: f64, proxy_index: u32) -> ProxyCapacity {
    let mut capacity = ProxyCapacity::unbounded();
    capacity.evaluate(0, slots, proxy_index);
    capacity
}

#[test]
fn a_capacity_has_no_bound_before_it_is_evaluated() {
    let capacity = ProxyCapacity::unbounded();
    assert_eq!(capacity.max_in_flight(), None);
    assert_eq!(capacity.limit_factor(), 1.0);
    assert!(capacity.is_older_than(0, 1_000));
}

#[test]
fn a_proxy_with_slots_for_three_backends_has_no_bound() {
    for limit_sum in [3.0, 100.0] {
        let capacity = capacity(limit_sum, 0);
        assert!(!capacity.is_below_min_slots());
        assert_eq!(capacity.limit_factor(), 1.0);
        assert_eq!(capacity.max_in_flight(), None);
        assert_eq!(capacity.limit_sum(), limit_sum);
    }
}

#[test]
fn few_slots_are_spread_over_three_backends() {
    for (limit_sum, limit_factor) in [(1.5, 2.0), (0.75, 4.0), (2.4, 1.25)] {
        let capacity = capacity(limit_sum, 0);
        assert!(capacity.is_below_min_slots());
        assert_close(capacity.limit_factor(), limit_factor);
    }
}

#[test]
fn few_slots_and_their_square_root_bound_what_is_in_flight() {
    // The position of the proxy, 0 and 0.62, decides on how the sum is rounded.
    for (slots, proxy_index, bound) in [
        (2.25, 0, 3),
        (2.25, 1, 4),
        (1.0, 0, 2),
        (1.0, 1, 2),
        (0.01, 0, 1),
        (0.01, 1, 1),
    ] {
        let capacity = capacity(slots, proxy_index);
        assert_eq!(capacity.max_in_flight(), Some(bound), "{slots} slots");
    }
}

#[test]
fn a_proxy_without_slots_has_no_bound() {
    let capacity = capacity(0.0, 0);
    assert!(!capacity.is_below_min_slots());
    assert_eq!(capacity.max_in_flight(), None);
}

#[test]
fn a_capacity_gets_old() {
    let mut capacity = ProxyCapacity::unbounded();
    capacity.evaluate(100, 1.0, 0);
    assert!(!capacity.is_older_than(109, 10));
    assert!(capacity.is_older_than(110, 10));
}

#[test]
fn a_proxy_has_its_part_of_the_backends_that_proxies_of_their_zone_or_all_use() {
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
