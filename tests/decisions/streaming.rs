//! Streamed responses after their start.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

#[test]
fn a_streamed_response_that_has_started_is_neither_cancelled_nor_failed() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(3));
    proxy.submit(request(1, 0));
    proxy.handle(Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
        elapsed: 5,
    });
    proxy.now += SECOND;
    proxy.advance(SECOND / 2);
    assert!(
        !proxy
            .log
            .iter()
            .any(|logged| matches!(logged.action, Action::Cancel { .. } | Action::Fail { .. })),
        "expected neither a cancellation nor a failure: {:?}",
        proxy.log
    );
}

/// Submits a request whose streamed response starts, with 5 ms reported as the time since the send.
fn start_stream(balancer: &mut Balancer, now: Micros, id: u32) {
    let mut actions = Vec::new();
    balancer.handle(now, Event::Request(request(id, 0)), &mut actions);
    assert_eq!(
        sent_to(&actions),
        Some(BackendId(0)),
        "expected request {id} to be sent"
    );
    let started = Event::ResponseStarted {
        request: RequestId(id),
        attempt: 0,
        elapsed: 5 * MS,
    };
    balancer.handle(now, started, &mut actions);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. } | Action::Fail { .. })),
        "expected neither a cancellation nor a failure: {actions:?}"
    );
}

/// Guards against counting the time in which a client reads a large response as work or latency of the backend.
#[test]
fn a_streamed_response_holds_no_slot_after_its_start() {
    let mut balancer = balancer_without_simulated_proxy(&single_zone_backends(1));
    for id in 1..=50 {
        start_stream(&mut balancer, u64::from(id) * 10 * MS, id);
    }
    // The end of a stream that has started does not count as a sample of its backend, whenever and however it ends.
    let now = 10 * SECOND;
    for id in 1..=50 {
        let outcome = if id % 2 == 0 {
            Outcome::Cancelled
        } else {
            Outcome::Ok
        };
        let attempt_end = AttemptEnd {
            request: RequestId(id),
            backend: BackendId(0),
            attempt: 0,
            outcome,
            request_answered: true,
            elapsed: now,
            load_report: &[],
            body_consumed: false,
        };
        balancer.handle(now, Event::AttemptEnded(attempt_end), &mut Vec::new());
    }
    start_stream(&mut balancer, now, 51);
    assert_eq!(
        balancer.avoided_backend_count(now),
        0,
        "expected the backend not to be avoided"
    );
}
