//! The queue, its timeout and priorities, and the `Retry-After` of rejections.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Returns the `Retry-After` of each rejection so far, in microseconds.
fn retry_after_times(proxy: &SimulatedProxy) -> Vec<Micros> {
    proxy
        .log
        .iter()
        .filter_map(|logged| match logged.action {
            Action::Reject { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect()
}

#[test]
fn requests_above_the_limits_are_queued_and_then_rejected() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
    proxy.submit_all(0..100, 0);
    let sent = proxy.in_flight().len();
    assert!(
        (4..=8).contains(&sent),
        "expected 4 to 8 sends to four backends with an initial limit of 1.5 each: {sent}"
    );
    proxy.advance(150 * MS);
    let ended = proxy.requests.values().filter(|request| request.ended);
    assert_eq!(
        ended.count(),
        0,
        "expected a wait in the queue of 200 ms, a tenth of the timeout"
    );
    proxy.advance(60 * MS);
    let rejections = proxy.log.iter().filter(|logged| {
        matches!(
            logged.action,
            Action::Reject {
                retry_after: 1..,
                ..
            }
        )
    });
    assert_eq!(
        rejections.count(),
        100 - sent,
        "expected a rejection with a Retry-After for each queued request"
    );
}

#[test]
fn a_queued_request_with_a_higher_priority_weight_is_sent_first() {
    let mut settings = single_zone_settings();
    settings.classes[2].priority_weight = 10.0;
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(1));
    proxy.submit_all(0..10, 0);
    proxy.submit(request(50, 2));
    let first = proxy.in_flight()[0];
    proxy.advance(50 * MS);
    let actions = proxy.end_attempt(first.request, first.number, Outcome::Ok);
    assert!(
        matches!(
            actions[..],
            [
                Action::Send {
                    request: RequestId(50),
                    ..
                },
                ..
            ]
        ),
        "expected request 50, which has the higher priority weight, to be sent first: {actions:?}"
    );
}

/// The limits of one of 200 proxies add up to less than three slots and are scaled up. A rejection may then be due to
/// chance, and after a long `Retry-After` the client would miss its latency objective. A single proxy rejects only when
/// its backends are full, and the client should then wait longer before it retries.
#[test]
fn retry_after_is_shorter_if_a_proxy_has_less_than_three_slots() {
    let longest_retry_after = |proxy_count| {
        let settings = Settings {
            proxy_count,
            ..single_zone_settings()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(40));
        proxy.submit_all(0..200, 0);
        proxy.advance(300 * MS);
        let times = retry_after_times(&proxy);
        times
            .into_iter()
            .max()
            .expect("200 requests at once exceed the limits")
    };
    assert!(longest_retry_after(200) < 100 * MS);
    assert_eq!(longest_retry_after(1), 500 * MS);
}

/// Guards against rejections without a `Retry-After`, after which clients retry at once, when the greatest
/// `Retry-After` that clients honor is not configured.
#[test]
fn a_rejection_has_a_retry_after_even_if_the_maximum_that_clients_honor_is_not_configured() {
    let cases = [(None, 1..=500 * MS), (Some(30 * MS), 30 * MS..=30 * MS)];
    for (max_retry_after, expected) in cases {
        let mut settings = single_zone_settings();
        settings.permissions.max_retry_after = max_retry_after;
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(2));
        proxy.submit_all(0..10, 0);
        proxy.advance(300 * MS);
        let times = retry_after_times(&proxy);
        assert!(
            !times.is_empty() && times.iter().all(|time| expected.contains(time)),
            "maximum {max_retry_after:?}, expected each Retry-After in {expected:?} us: {times:?}"
        );
    }
}
