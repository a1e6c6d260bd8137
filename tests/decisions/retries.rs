//! Retries: which requests get another attempt, and when an attempt counts as lost.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Guards against a retry budget that a short run of corrupt responses exhausts.
#[test]
fn a_run_of_corrupt_responses_is_retried_each_time_where_retries_are_permitted() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(8));
    run_load(&mut proxy, 1000, 100, 2, |_| 5 * MS);
    proxy.advance(100 * MS);
    proxy.serve(|_| 0);
    for id in 0..6 {
        proxy.submit(request(id, 0));
        proxy.end_attempt(RequestId(id), 0, Outcome::CorruptResponse);
        assert_eq!(
            proxy.requests[&RequestId(id)].attempts.len(),
            2,
            "request {id}"
        );
        proxy.advance(5 * MS);
        proxy.end_attempt(RequestId(id), 1, Outcome::Ok);
    }
}

/// A request in flight after a load of one class that was answered with one latency.
struct AfterLoad {
    proxy: SimulatedProxy,
    /// The time that its first attempt has, from the send to its deadline.
    attempt_timeout: Micros,
}

/// Submits request 0 after a load of this class and latency.
fn submit_after_load(class: u8, latency: Micros) -> AfterLoad {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    for id in 1000..1400 {
        proxy.submit(request(id, class));
        proxy.advance(latency);
        proxy.serve(|_| 0);
    }
    proxy.submit(request(0, class));
    let attempt = &proxy.requests[&RequestId(0)].attempts[0];
    let attempt_timeout = attempt.deadline - attempt.sent_at;
    AfterLoad {
        proxy,
        attempt_timeout,
    }
}

/// Guards against a connection that falls silent costing its request the latency objective, and against its backend
/// counting as unresponsive. An attempt is waited for where work takes long beside the timeout of the request, and where
/// nothing may be repeated.
#[test]
fn a_lost_attempt_times_out_in_time_for_another_one() {
    let AfterLoad {
        mut proxy,
        attempt_timeout,
    } = submit_after_load(0, 5 * MS);
    assert!(
        (100 * MS..200 * MS).contains(&attempt_timeout),
        "{attempt_timeout} of a latency objective of 500 ms"
    );
    let silent = proxy.requests[&RequestId(0)].attempts[0].backend;
    proxy.advance(attempt_timeout + 5 * MS);
    assert_eq!(
        proxy.requests[&RequestId(0)].attempts.len(),
        2,
        "another attempt"
    );
    proxy.serve(|_| 0);
    proxy.submit_all(2000..2004, 0);
    assert!(
        proxy.in_flight_at(silent) > 0,
        "one lost request does not exclude its backend"
    );
    assert_eq!(
        submit_after_load(0, 100 * MS).attempt_timeout,
        2 * SECOND,
        "work takes long"
    );
    assert_eq!(
        submit_after_load(1, 5 * MS).attempt_timeout,
        2 * SECOND,
        "non-idempotent"
    );
}

/// Guards against lost requests that must not run twice holding a slot of their backend until their clients' timeouts.
#[test]
fn attempts_that_are_lost_on_the_way_hold_no_slot_of_a_backend_that_answers() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(1));
    for id in 0..400 {
        proxy.submit(request(id, (id % 2) as u8));
        proxy.advance(5 * MS);
        proxy.serve(|_| 0);
    }
    let mut lost = Vec::new();
    while sent_to(&proxy.submit(request(5000 + lost.len() as u32, 1))).is_some() {
        lost.push(5000 + lost.len() as u32);
    }
    proxy.advance(600 * MS);
    assert_eq!(
        sent_to(&proxy.submit(request(6000, 1))),
        None,
        "it may be unresponsive"
    );
    assert_eq!(
        sent_to(&proxy.submit(request(6001, 0))),
        Some(BackendId(0)),
        "one trial"
    );
    assert_eq!(
        sent_to(&proxy.submit(request(6002, 0))),
        None,
        "and no other meanwhile"
    );
    proxy.advance(5 * MS);
    proxy.end_attempt(RequestId(6001), 0, Outcome::Ok);
    let sent_again = (7000..7000 + lost.len() as u32)
        .filter(|&id| sent_to(&proxy.submit(request(id, 1))).is_some())
        .count();
    assert!(sent_again + 2 >= lost.len(), "its slots are free again");
    assert!(
        lost.iter().all(|&id| !proxy.requests[&RequestId(id)].ended),
        "the lost ones are still waited for"
    );
}

#[test]
fn a_request_whose_body_is_consumed_is_not_sent_again() {
    for body_consumed in [false, true] {
        let mut balancer = bare_balancer(&single_zone_backends(3));
        let mut actions = Vec::new();
        balancer.handle(0, Event::Request(request(1, 0)), &mut actions);
        let backend = sent_to(&actions).expect("it is sent");
        let attempt_end = AttemptEnd {
            request: RequestId(1),
            backend,
            attempt: 0,
            outcome: Outcome::ConnectFailed,
            request_answered: false,
            elapsed: MS,
            load_report: &[],
            body_consumed,
        };
        actions.clear();
        balancer.handle(MS, Event::AttemptEnded(attempt_end), &mut actions);
        assert_eq!(sent_to(&actions).is_some(), !body_consumed, "{actions:?}");
        assert_eq!(
            actions.iter().any(|action| matches!(
                action,
                Action::Reject {
                    request: RequestId(1),
                    ..
                }
            )),
            body_consumed,
            "{actions:?}"
        );
    }
}
