//! How the slots of each backend are spread over many proxies.

use crate::common::*;
use crate::support::*;
use std::collections::BTreeSet;
use tillerproxy::api::*;

/// Guards against a proxy that holds no slot of any backend and serves nothing.
#[test]
fn a_proxy_without_any_slot_still_serves() {
    for proxy_index in 0..40 {
        let settings = Settings {
            proxy_index,
            proxy_count: 40,
            ..single_zone()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(1));
        assert_eq!(sent_to(&proxy.submit(request(1, 0))), Some(BackendId(0)));
    }
}

/// Returns how many requests so many proxies together admit at once to 50 backends.
fn admitted_by_all(proxy_count: u32) -> usize {
    let admitted_by_one = |proxy_index| {
        let settings = Settings {
            proxy_index,
            proxy_count,
            ..single_zone()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(50));
        proxy.submit_all(0..200, 0);
        proxy.in_flight().len()
    };
    (0..proxy_count).map(admitted_by_one).sum()
}

#[test]
fn what_all_proxies_admit_does_not_grow_with_their_number() {
    let few = admitted_by_all(2);
    let many = admitted_by_all(20);
    assert!(
        few.abs_diff(many) * 4 < few,
        "2 proxies admit {few}, 20 admit {many}"
    );
    // With under three slots to a proxy the square root of them comes on top, so that requests that come together fit.
    let slots: f64 = 50.0 * 1.5 / 40.0;
    assert!(admitted_by_all(40) as f64 <= 40.0 * (slots + slots.sqrt() + 1.0));
}

/// Whether this proxy of a hundred may have attempts in flight at two backends or more.
fn admits_two(proxy_index: u32) -> bool {
    let settings = Settings {
        proxy_index,
        proxy_count: 100,
        ..single_zone()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(60));
    proxy.submit_all(0..4, 0);
    let in_flight = proxy.in_flight();
    let backends: BTreeSet<BackendId> = in_flight.iter().map(|attempt| attempt.backend).collect();
    assert_eq!(
        backends.len(),
        in_flight.len(),
        "each at a backend of its own"
    );
    backends.len() >= 2
}

/// Guards against a proxy with less than one slot in all that rejects the second of two requests at the same time.
#[test]
fn a_proxy_with_few_slots_can_have_attempts_in_flight_at_different_backends() {
    assert!((0..40).filter(|&index| admits_two(index)).count() > 20);
}

/// Guards against slot offsets by chance, with which some proxies held no slot of any backend.
#[test]
fn every_proxy_holds_about_as_many_slots_and_so_does_every_backend() {
    let mut by_backend = vec![0; 60];
    let mut by_proxy = Vec::new();
    for proxy_index in 0..200 {
        let settings = Settings {
            proxy_index,
            proxy_count: 60,
            ..single_zone()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(60));
        proxy.submit_all(0..3, 0);
        let in_flight = proxy.in_flight();
        by_proxy.push(in_flight.len());
        for attempt in in_flight {
            by_backend[attempt.backend.index()] += 1;
        }
    }
    assert!(by_proxy.iter().all(|&n| n >= 2), "{by_proxy:?}");
    let least = by_backend.iter().min().expect("backends");
    let most = by_backend.iter().max().expect("backends");
    assert!(most - least <= 8, "{by_backend:?}");
}
