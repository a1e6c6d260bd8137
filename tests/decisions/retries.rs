//! Retries: which requests get another attempt, and after which time an attempt counts as lost.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Guards against a retry budget that a short run of corrupt responses exhausts.
#[test]
fn each_request_of_a_short_run_of_corrupt_responses_is_retried() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(8));
    run_load(&mut proxy, 1000, 100, 2, |_| 5 * MS);
    proxy.advance(100 * MS);
    proxy.serve(|_| 0);
    for id in 0..6 {
        proxy.submit(request(id, 0));
        proxy.end_attempt(RequestId(id), 0, Outcome::CorruptResponse);
        assert_eq!(
            proxy.requests[&RequestId(id)].attempts.len(),
            2,
            "expected a retry of request {id}"
        );
        proxy.advance(5 * MS);
        proxy.end_attempt(RequestId(id), 1, Outcome::Ok);
    }
}

/// A proxy with request 0 in flight after a load of requests of one class with a constant latency.
struct AfterLoad {
    proxy: SimulatedProxy,
    /// Time from the send of the first attempt of request 0 to that attempt's deadline.
    attempt_timeout: Micros,
}

/// Runs a load of this class and latency, then submits request 0.
fn submit_after_load(class: u8, latency: Micros) -> AfterLoad {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
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

/// Guards against a request that misses its latency objective because a connection is silent, and against counting the
/// backend of that connection as unresponsive. An attempt keeps the whole timeout of its request if the usual
/// latency is long in comparison with the latency objective, or if the request may not be retried.
#[test]
fn a_lost_attempt_times_out_early_enough_for_a_retry_within_the_latency_objective() {
    let AfterLoad {
        mut proxy,
        attempt_timeout,
    } = submit_after_load(0, 5 * MS);
    assert!(
        (100 * MS..200 * MS).contains(&attempt_timeout),
        "attempt timeout of {attempt_timeout} us, expected 100 to 200 ms of a latency objective of 500 ms"
    );
    let silent_backend = proxy.requests[&RequestId(0)].attempts[0].backend;
    proxy.advance(attempt_timeout + 5 * MS);
    assert_eq!(
        proxy.requests[&RequestId(0)].attempts.len(),
        2,
        "expected a retry after the attempt timeout"
    );
    proxy.serve(|_| 0);
    proxy.submit_all(2000..2004, 0);
    assert!(
        proxy.in_flight_at(silent_backend) > 0,
        "expected attempts at the backend after a single lost request"
    );
    assert_eq!(
        submit_after_load(0, 100 * MS).attempt_timeout,
        2 * SECOND,
        "expected the timeout of the request when usual latency is 100 ms"
    );
    assert_eq!(
        submit_after_load(1, 5 * MS).attempt_timeout,
        2 * SECOND,
        "expected the timeout of the request for a non-idempotent one"
    );
}

/// Guards against lost non-idempotent requests that hold a slot of their backend until their clients' timeouts.
#[test]
fn lost_attempts_hold_no_slot_on_a_backend_after_it_answers_a_trial_request() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(1));
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
        "expected no send to a backend that may be unresponsive"
    );
    assert_eq!(
        sent_to(&proxy.submit(request(6001, 0))),
        Some(BackendId(0)),
        "expected one trial request"
    );
    assert_eq!(
        sent_to(&proxy.submit(request(6002, 0))),
        None,
        "expected no second trial request at the same time"
    );
    proxy.advance(5 * MS);
    proxy.end_attempt(RequestId(6001), 0, Outcome::Ok);
    let sent_again = (7000..7000 + lost.len() as u32)
        .filter(|&id| sent_to(&proxy.submit(request(id, 1))).is_some())
        .count();
    assert!(
        sent_again + 2 >= lost.len(),
        "{sent_again} attempts admitted, expected at least the {} lost ones less 2",
        lost.len()
    );
    assert!(
        lost.iter().all(|&id| !proxy.requests[&RequestId(id)].ended),
        "expected the lost requests to stay open until their timeouts"
    );
}

#[test]
fn a_request_whose_body_is_consumed_is_rejected_instead_of_retried() {
    for body_consumed in [false, true] {
        let mut balancer = balancer_without_simulated_proxy(&single_zone_backends(3));
        let mut actions = Vec::new();
        balancer.handle(0, Event::Request(request(1, 0)), &mut actions);
        let backend = sent_to(&actions).expect("an idle backend has a free slot");
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
        assert_eq!(
            sent_to(&actions).is_some(),
            !body_consumed,
            "expected a retry only if the body is still buffered: {actions:?}"
        );
        assert_eq!(
            actions.iter().any(|action| matches!(
                action,
                Action::Reject {
                    request: RequestId(1),
                    ..
                }
            )),
            body_consumed,
            "expected a rejection only if the body is consumed: {actions:?}"
        );
    }
}
