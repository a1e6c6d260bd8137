//! The queue, its timeout and priorities, and what a rejected client is told.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Returns the `Retry-After` of each rejection so far.
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
fn in_flight_never_exceeds_the_limits_and_the_rest_is_queued_then_rejected() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    proxy.submit_all(0..100, 0);
    let sent = proxy.in_flight().len();
    assert!(
        (4..=8).contains(&sent),
        "the first limit is 1.5 a backend, {sent} were sent to four"
    );
    proxy.advance(150 * MS);
    assert_eq!(
        proxy
            .requests
            .values()
            .filter(|request| request.ended)
            .count(),
        0,
        "queued for a tenth of two seconds"
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
    assert_eq!(rejections.count(), 100 - sent);
}

#[test]
fn a_queued_request_of_higher_priority_weight_goes_first() {
    let mut settings = single_zone();
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
        "{actions:?}"
    );
}

/// Guards against a rejection by chance that costs the client its latency objective; a full backend should keep it away.
#[test]
fn a_rejected_client_may_retry_sooner_where_a_proxy_has_few_slots() {
    let longest_wait = |proxy_count| {
        let settings = Settings {
            proxy_count,
            ..single_zone()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(40));
        proxy.submit_all(0..200, 0);
        proxy.advance(300 * MS);
        let waits = retry_after_times(&proxy);
        waits.into_iter().max().expect("some are rejected")
    };
    assert!(longest_wait(200) < 100 * MS && longest_wait(1) == 500 * MS);
}

/// Guards against clients that come back at once where it is not known how long they heed a `Retry-After`.
#[test]
fn a_rejected_client_gets_a_retry_after_also_where_its_heeded_maximum_is_unknown() {
    let cases = [(None, 1..=500 * MS), (Some(30 * MS), 30 * MS..=30 * MS)];
    for (max_retry_after, expected) in cases {
        let mut settings = single_zone();
        settings.permissions.max_retry_after = max_retry_after;
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(2));
        proxy.submit_all(0..10, 0);
        proxy.advance(300 * MS);
        let waits = retry_after_times(&proxy);
        assert!(!waits.is_empty() && waits.iter().all(|wait| expected.contains(wait)));
    }
}
