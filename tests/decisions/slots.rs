//! Distribution of each backend's slots over many proxies.

use crate::common::*;
use crate::support::*;
use std::collections::BTreeSet;
use tillerproxy::api::*;

/// Guards against a proxy that serves no request because it holds no slot on any backend.
#[test]
fn a_proxy_without_a_slot_still_sends_a_request() {
    for proxy_index in 0..40 {
        let settings = Settings {
            proxy_index,
            proxy_count: 40,
            ..single_zone_settings()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(1));
        assert_eq!(
            sent_to(&proxy.submit(request(1, 0))),
            Some(BackendId(0)),
            "expected proxy {proxy_index} to send the request"
        );
    }
}

/// Returns the number of requests that `proxy_count` proxies together admit at once to 50 backends.
fn admitted_by_all(proxy_count: u32) -> usize {
    let admitted_by_one = |proxy_index| {
        let settings = Settings {
            proxy_index,
            proxy_count,
            ..single_zone_settings()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(50));
        proxy.submit_all(0..200, 0);
        proxy.in_flight().len()
    };
    (0..proxy_count).map(admitted_by_one).sum()
}

#[test]
fn the_number_of_requests_that_all_proxies_admit_does_not_grow_with_the_number_of_proxies() {
    let few = admitted_by_all(2);
    let many = admitted_by_all(20);
    assert!(
        few.abs_diff(many) * 4 < few,
        "2 proxies admit {few}, 20 admit {many}, expected a difference below a quarter"
    );
    // A proxy with fewer than three slots admits the square root of their number in addition, so that requests that
    // arrive together are admitted.
    let slots: f64 = 50.0 * 1.5 / 40.0;
    let allowed = 40.0 * (slots + slots.sqrt() + 1.0);
    let admitted = admitted_by_all(40);
    assert!(
        admitted as f64 <= allowed,
        "40 proxies admit {admitted}, expected at most {allowed:.1}"
    );
}

/// Reports whether the proxy with this index, one of 100, has attempts in flight at two or more backends after it has
/// received four requests at once.
fn sends_to_two_backends(proxy_index: u32) -> bool {
    let settings = Settings {
        proxy_index,
        proxy_count: 100,
        ..single_zone_settings()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(60));
    proxy.submit_all(0..4, 0);
    let in_flight = proxy.in_flight();
    let backends: BTreeSet<BackendId> = in_flight.iter().map(|attempt| attempt.backend).collect();
    assert_eq!(
        backends.len(),
        in_flight.len(),
        "expected each attempt at a different backend"
    );
    backends.len() >= 2
}

/// Guards against a proxy whose limits add up to less than one slot and that rejects the second of two requests at the
/// same time.
#[test]
fn most_proxies_with_limits_below_one_slot_in_total_have_attempts_in_flight_at_two_backends() {
    let proxies = (0..40)
        .filter(|&index| sends_to_two_backends(index))
        .count();
    assert!(
        proxies > 20,
        "expected more than 20 of 40 proxies to send to two backends: {proxies}"
    );
}

/// Guards against random slot offsets, with which some proxies held no slot on any backend.
#[test]
fn slots_are_distributed_evenly_over_proxies_and_over_backends() {
    let mut by_backend = vec![0; 60];
    let mut by_proxy = Vec::new();
    for proxy_index in 0..200 {
        let settings = Settings {
            proxy_index,
            proxy_count: 60,
            ..single_zone_settings()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(60));
        proxy.submit_all(0..3, 0);
        let in_flight = proxy.in_flight();
        by_proxy.push(in_flight.len());
        for attempt in in_flight {
            by_backend[attempt.backend.index()] += 1;
        }
    }
    assert!(
        by_proxy.iter().all(|&attempts| attempts >= 2),
        "expected at least 2 attempts of each proxy: {by_proxy:?}"
    );
    let least = by_backend.iter().min().expect("there are 60 backends");
    let most = by_backend.iter().max().expect("there are 60 backends");
    assert!(
        most - least <= 8,
        "expected numbers of attempts that differ by at most 8: {by_backend:?}"
    );
}
