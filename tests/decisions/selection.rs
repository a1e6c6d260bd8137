//! Selection: most available capacity, the proxy's own zone first, and backends that are avoided temporarily.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

#[test]
fn each_request_goes_to_the_backend_with_the_most_available_capacity() {
    let mut full = SimulatedProxy::new(single_zone_settings(), single_zone_backends(5));
    full.submit_all(0..100, 0);
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(5));
    for id in 0..full.in_flight().len() as u32 {
        let available: Vec<usize> = (0..5)
            .map(BackendId)
            .map(|backend| full.in_flight_at(backend) - proxy.in_flight_at(backend))
            .collect();
        let chosen =
            sent_to(&proxy.submit(request(id, 0))).expect("an idle backend has a free slot");
        assert_eq!(
            Some(&available[chosen.index()]),
            available.iter().max(),
            "expected the greatest available capacity of {available:?} at {chosen}"
        );
    }
}

#[test]
fn other_zones_get_requests_only_when_the_proxys_own_zone_has_no_available_capacity() {
    let mut proxy = SimulatedProxy::new(settings(), (0..6).map(backend));
    let zones: Vec<u32> = (0..30)
        .filter_map(|id| sent_to(&proxy.submit(request(id, 0))))
        .map(|backend| backend.0 % 2)
        .collect();
    assert!(
        zones.contains(&0) && zones.contains(&1),
        "expected requests in both zones: {zones:?}"
    );
    assert!(
        zones.is_sorted(),
        "expected zone 0, the proxy's own, to be filled first: {zones:?}"
    );
}

/// Guards against a proxy that has one backend in its own zone and leaves the capacity of other zones unused.
#[test]
fn a_proxy_with_one_backend_in_its_zone_sends_to_all_backends_of_other_zones() {
    let mut proxy = SimulatedProxy::new(settings(), [0, 1, 3, 5].map(backend));
    proxy.submit_all(0..10, 0);
    for backend in [0, 1, 3, 5] {
        assert!(
            proxy.in_flight_at(BackendId(backend)) >= 1,
            "expected an attempt at backend {backend}"
        );
    }
}

/// Guards against a backend that gets every attempt because it rejects them and thus has none in flight.
#[test]
fn a_backend_that_has_rejected_a_request_is_avoided() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(3));
    let rejecting = sent_to(&proxy.submit(request(0, 0))).expect("an idle backend has a free slot");
    proxy.end_attempt(RequestId(0), 0, Outcome::Rejected);
    assert_eq!(
        proxy.in_flight_at(rejecting),
        0,
        "expected no retry at the rejecting backend"
    );
    proxy.submit_all(1..9, 0);
    assert_eq!(
        proxy.in_flight_at(rejecting),
        0,
        "expected no attempt at the rejecting backend, although it has the most available capacity"
    );
}

/// Guards against further attempts at a backend that has not answered for 250 ms, and against hedging the requests that
/// are in flight there.
#[test]
fn an_unresponsive_backend_gets_one_trial_at_a_time_and_its_requests_are_not_hedged() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(3));
    run_load(&mut proxy, 0, 100, 2, |_| 30 * MS);
    proxy.serve(|_| 0);
    let unresponsive =
        sent_to(&proxy.submit(request(5000, 0))).expect("an idle backend has a free slot");
    let mut trials = 0;
    for tick in 0..60 {
        let sent = sent_to(&proxy.submit(request(5001 + tick, 0)));
        trials += u32::from(tick >= 25 && sent == Some(unresponsive));
        assert!(
            trials <= 1,
            "expected at most one trial request after 250 ms without an answer"
        );
        proxy.advance(10 * MS);
        for attempt in proxy.in_flight() {
            if attempt.backend != unresponsive {
                proxy.end_attempt(attempt.request, attempt.number, Outcome::Ok);
            }
        }
    }
    assert_eq!(
        proxy.requests[&RequestId(5000)].attempts.len(),
        1,
        "expected no hedged request"
    );
}

#[test]
fn avoided_backend_count_includes_draining_and_unresponsive_but_not_removed_backends() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(3));
    assert_eq!(
        proxy.balancer.avoided_backend_count(proxy.now),
        0,
        "expected no avoided backend at the start"
    );
    let draining = [Backend {
        readiness: Readiness::Draining,
        ..single_zone_backends(1)[0]
    }];
    proxy.handle(Event::Membership(MembershipEvent::Delta(&draining)));
    assert_eq!(
        proxy.balancer.avoided_backend_count(proxy.now),
        1,
        "expected a draining backend to be counted"
    );
    let removed = [Backend {
        readiness: Readiness::Removed,
        ..single_zone_backends(1)[0]
    }];
    proxy.handle(Event::Membership(MembershipEvent::Delta(&removed)));
    assert_eq!(
        proxy.balancer.avoided_backend_count(proxy.now),
        0,
        "expected a removed backend not to be counted"
    );
    proxy.submit(request(1, 0));
    proxy.now += 9 * SECOND;
    assert_eq!(
        proxy.balancer.avoided_backend_count(proxy.now),
        1,
        "expected the backend without an answer to be counted"
    );
}

#[test]
fn a_recently_slow_backend_is_selected_last_among_those_of_equal_available_capacity() {
    // Each proxy holds slots on only some backends and has too few requests to complete its windows.
    let mut sends = [0_u32; 20];
    for index in 0..25 {
        let settings = Settings {
            proxy_index: 4 * index,
            proxy_count: 100,
            ..single_zone_settings()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(20));
        for id in 0..100 {
            let actions = proxy.submit(request(id, 0));
            if let Some(backend) = sent_to(&actions).filter(|_| id >= 25) {
                sends[backend.index()] += 1;
            }
            for _ in 0..20 {
                proxy.advance(10 * MS);
                proxy.serve(|backend| {
                    if backend == BackendId(3) {
                        400 * MS
                    } else {
                        40 * MS
                    }
                });
            }
        }
    }
    let others = (sends.iter().sum::<u32>() - sends[3]) / 19;
    assert!(
        sends[3] * 3 < others,
        "{} sends to the slow backend, expected less than a third of the {others} to each other one",
        sends[3]
    );
}
