//! Selection: available capacity, the own zone first, and backends that are avoided for a while.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

#[test]
fn each_request_goes_to_the_backend_with_the_most_available_capacity() {
    let mut full = SimulatedProxy::new(single_zone(), single_zone_backends(5));
    full.submit_all(0..100, 0);
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(5));
    for id in 0..full.in_flight().len() as u32 {
        let available: Vec<usize> = (0..5)
            .map(BackendId)
            .map(|backend| full.in_flight_at(backend) - proxy.in_flight_at(backend))
            .collect();
        let chosen = sent_to(&proxy.submit(request(id, 0))).expect("there is capacity");
        assert_eq!(Some(&available[chosen.index()]), available.iter().max());
    }
}

#[test]
fn other_zones_are_used_only_when_the_own_one_has_no_available_capacity() {
    let mut proxy = SimulatedProxy::new(settings(), (0..6).map(backend));
    let zones: Vec<u32> = (0..30)
        .filter_map(|id| sent_to(&proxy.submit(request(id, 0))))
        .map(|backend| backend.0 % 2)
        .collect();
    assert!(
        zones.contains(&0) && zones.contains(&1),
        "even ids are the own zone's: {zones:?}"
    );
    assert!(zones.is_sorted(), "the own zone is filled first: {zones:?}");
}

/// Guards against a proxy with one backend in its zone that does not use the capacity of other zones.
#[test]
fn a_proxy_with_few_backends_in_its_zone_fills_those_of_other_zones() {
    let mut proxy = SimulatedProxy::new(settings(), [0, 1, 3, 5].map(backend));
    proxy.submit_all(0..10, 0);
    for backend in [0, 1, 3, 5] {
        assert!(
            proxy.in_flight_at(BackendId(backend)) >= 1,
            "backend {backend}"
        );
    }
}

/// Guards against a backend that rejects, and so has nothing in flight, attracting every attempt.
#[test]
fn a_rejecting_backend_gets_nothing_for_a_while() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(3));
    let rejecting = sent_to(&proxy.submit(request(0, 0))).expect("there is capacity");
    proxy.end_attempt(RequestId(0), 0, Outcome::Rejected);
    assert_eq!(proxy.in_flight_at(rejecting), 0);
    proxy.submit_all(1..9, 0);
    assert_eq!(
        proxy.in_flight_at(rejecting),
        0,
        "it has the most available capacity, but has just rejected a request"
    );
}

/// Guards against further attempts to a backend that has answered nothing for long, and against hedged requests for
/// those that it holds.
#[test]
fn an_unresponsive_backend_gets_one_trial_at_a_time_and_its_requests_are_not_hedged() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(3));
    run_load(&mut proxy, 0, 100, 2, |_| 30 * MS);
    proxy.serve(|_| 0);
    let unresponsive = sent_to(&proxy.submit(request(5000, 0))).expect("there is capacity");
    let mut trials = 0;
    for tick in 0..60 {
        let sent = sent_to(&proxy.submit(request(5001 + tick, 0)));
        trials += u32::from(tick >= 25 && sent == Some(unresponsive));
        assert!(trials <= 1, "a quarter of a second without an answer");
        proxy.advance(10 * MS);
        for attempt in proxy.in_flight() {
            if attempt.backend != unresponsive {
                proxy.end_attempt(attempt.request, attempt.number, Outcome::Ok);
            }
        }
    }
    assert_eq!(proxy.requests[&RequestId(5000)].attempts.len(), 1);
}

#[test]
fn the_balancer_counts_the_listed_backends_that_it_avoids() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(3));
    assert_eq!(proxy.balancer.avoided_backends(proxy.now), 0);
    let draining = [Backend {
        readiness: Readiness::Draining,
        ..single_zone_backends(1)[0]
    }];
    proxy.handle(Event::Membership(MembershipEvent::Delta(&draining)));
    assert_eq!(proxy.balancer.avoided_backends(proxy.now), 1);
    let removed = [Backend {
        readiness: Readiness::Removed,
        ..single_zone_backends(1)[0]
    }];
    proxy.handle(Event::Membership(MembershipEvent::Delta(&removed)));
    assert_eq!(
        proxy.balancer.avoided_backends(proxy.now),
        0,
        "it is listed no more"
    );
    proxy.submit(request(1, 0));
    proxy.now += 9 * SECOND;
    assert_eq!(
        proxy.balancer.avoided_backends(proxy.now),
        1,
        "one owes an answer"
    );
}

#[test]
fn of_backends_with_the_same_available_capacity_a_recently_slow_one_comes_last() {
    // Each proxy holds slots on a part of the backends and has too few requests for its windows.
    let mut sends = [0_u32; 20];
    for index in 0..25 {
        let settings = Settings {
            proxy_index: 4 * index,
            proxy_count: 100,
            ..single_zone()
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
        "{} sends to the slow backend, {others} to another one",
        sends[3]
    );
}
