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

/// Reports to the balancer that the client of a request's first attempt has paused or continues to send the body.
fn report_upload(proxy: &mut SimulatedProxy, id: u32, is_stalled: bool) -> Vec<Action> {
    proxy.handle(Event::UploadProgress {
        request: RequestId(id),
        attempt: 0,
        is_stalled,
    })
}

/// Guards against clients that stop in the middle of streamed bodies and so use up the limits of the backends.
#[test]
fn a_stalled_upload_occupies_no_slot_until_its_client_continues() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(1));
    proxy.submit_all(1..20, 0);
    let slots = proxy.in_flight().len();
    assert!(slots > 1, "the backend has {slots} slots");
    for stalled in 1..=slots {
        // Repeated reports, and those about unknown attempts, have no effect.
        let id = stalled as u32;
        for (id, is_stalled) in [(id, false), (id, true), (id, true), (9_999, true)] {
            report_upload(&mut proxy, id, is_stalled);
        }
        assert_eq!(
            proxy.in_flight().len(),
            slots + stalled,
            "each stalled upload frees one slot for a queued request"
        );
    }
    // The end of a stalled upload frees no further slot.
    proxy.end_attempt(RequestId(1), 0, Outcome::NotSent);
    report_upload(&mut proxy, 1, false);
    assert_eq!(proxy.in_flight().len(), 2 * slots - 1);
    // The others continue and occupy slots again, so the end of a later attempt leaves none free.
    for id in 2..=slots as u32 {
        report_upload(&mut proxy, id, false);
    }
    let later = proxy.in_flight().last().copied();
    let later = later.expect("attempts are in flight");
    proxy.end_attempt(later.request, later.number, Outcome::Ok);
    assert_eq!(proxy.in_flight().len(), 2 * slots - 2);
}
