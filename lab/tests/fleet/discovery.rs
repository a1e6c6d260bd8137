//! The emulated discovery and the proxies' watchers.

use tillerproxy::api::{Backend, BackendId, Cell, MachineType, Readiness, Zone};
use tillerproxy_lab::fleet::discovery::{
    Call, CallId, CallStatus, Discovery, Response, ResponseBody,
};
use tillerproxy_lab::fleet::ids::ProxyIndex;
use tillerproxy_lab::fleet::proxy::Watcher;
use tillerproxy_lab::fleet::scenario::DiscoverySettings;

fn entry(id: u32, readiness: Readiness) -> Backend {
    Backend {
        id: BackendId(id),
        zone: Zone(0),
        machine_type: MachineType(0),
        cell: Cell(0),
        readiness,
        started_at: None,
    }
}

fn discovery(settings: &DiscoverySettings) -> Discovery {
    Discovery::new(
        settings,
        (0..10).map(|id| entry(id, Readiness::Ready)).collect(),
        3,
    )
}

fn call_id(proxy: u16) -> CallId {
    CallId {
        proxy: ProxyIndex(proxy),
        serial: 1,
    }
}

fn call(proxy: u16, known_revision: Option<u64>, continues_watch: bool) -> Call {
    Call {
        id: call_id(proxy),
        known_revision,
        wait: 1_000,
        continues_watch,
    }
}

/// Revision, completeness and ids of a list.
fn list(response: &Response) -> (u64, bool, Vec<u32>) {
    match &response.body {
        ResponseBody::List(update) => (
            update.revision,
            update.complete,
            update
                .endpoints
                .iter()
                .map(|endpoint| endpoint.id.0)
                .collect(),
        ),
        ResponseBody::Failed => panic!("the call failed"),
    }
}

fn answered(status: CallStatus) -> Response {
    match status {
        CallStatus::Answered(response) => response,
        other => panic!("not answered: {other:?}"),
    }
}

#[test]
fn a_standing_watch_gets_what_changed_and_other_calls_are_queued() {
    let mut discovery = discovery(&DiscoverySettings::default());
    assert!(matches!(
        discovery.receive(0, call(0, Some(1), true)),
        CallStatus::Standing { .. }
    ));
    assert!(matches!(
        discovery.receive(0, call(1, Some(1), false)),
        CallStatus::Queued
    ));
    assert!(discovery.detect(entry(4, Readiness::Draining)));
    assert!(!discovery.detect(entry(2, Readiness::Removed)));
    assert_eq!(discovery.revision(), 1, "detected and not yet published");
    let responses = discovery.publish();
    assert_eq!(
        responses.iter().map(list).collect::<Vec<_>>(),
        [(3, false, vec![2, 4])]
    );
    let status = discovery.process_next(10).expect("a call is queued");
    assert_eq!(list(&answered(status)), (3, false, vec![2, 4]));
    assert_eq!(discovery.traffic.calls, 2);
    assert_eq!(discovery.traffic.bytes, 4 * 200 + 4 * 132);
}

#[test]
fn a_proxy_that_is_too_far_behind_gets_the_full_list() {
    let settings = DiscoverySettings {
        history_limit: 2,
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    for id in [1, 2, 3] {
        discovery.detect(entry(
            id,
            if id == 3 {
                Readiness::Removed
            } else {
                Readiness::Draining
            },
        ));
    }
    discovery.publish();
    let near = answered(discovery.receive(0, call(0, Some(2), true)));
    assert_eq!(list(&near), (4, false, vec![2, 3]));
    let far = answered(discovery.receive(0, call(1, Some(1), true)));
    assert_eq!(
        list(&far),
        (4, true, vec![0, 1, 2, 4, 5, 6, 7, 8, 9]),
        "removed endpoints are not listed"
    );
    assert_eq!(discovery.traffic.full_lists, 1);
}

#[test]
fn calls_fail_that_were_queued_for_too_long_or_find_discovery_down() {
    let settings = DiscoverySettings {
        queue_timeout_ms: 5.0,
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.receive(0, call(0, None, false));
    let status = discovery.process_next(6_000).expect("a call is queued");
    assert!(matches!(answered(status).body, ResponseBody::Failed));
    discovery.receive(0, call(0, Some(1), true));
    discovery.receive(0, call(1, None, false));
    assert_eq!(
        discovery.stop().len(),
        2,
        "the watch ends and the queued call fails"
    );
    assert!(matches!(
        answered(discovery.receive(0, call(2, None, false))).body,
        ResponseBody::Failed
    ));
    discovery.start();
    assert!(matches!(
        discovery.receive(0, call(0, Some(1), true)),
        CallStatus::Standing { .. }
    ));
}

#[test]
fn nothing_is_answered_on_a_stalled_watch() {
    let mut discovery = discovery(&DiscoverySettings::default());
    discovery.receive(0, call(0, Some(1), true));
    discovery.stall_watch(ProxyIndex(0));
    discovery.detect(entry(1, Readiness::Removed));
    assert!(discovery.publish().is_empty());
    assert!(discovery.expire_watch(call_id(0)).is_none());
}

#[test]
fn responses_to_watches_are_queued_where_discovery_is_bounded() {
    let settings = DiscoverySettings {
        watch_responses_per_s: Some(100.0),
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.receive(0, call(0, Some(1), true));
    discovery.receive(0, call(1, Some(1), true));
    for id in [1, 2] {
        discovery.detect(entry(id, Readiness::Removed));
        assert!(discovery.publish().is_empty());
    }
    assert_eq!(discovery.next_processing_time(), Some(10_000));
    for proxy in [0, 1] {
        let status = discovery
            .process_next(0)
            .expect("the response to a watch is queued");
        let response = answered(status);
        assert_eq!(response.call.proxy, ProxyIndex(proxy));
        assert_eq!(list(&response), (3, false, vec![1, 2]));
    }
    assert_eq!(
        discovery.next_processing_time(),
        None,
        "one response carries both publications"
    );
}

#[test]
fn a_watcher_has_one_pending_call_and_continues_its_watch_after_a_response() {
    let mut watcher = Watcher::new(ProxyIndex(0), 3);
    watcher.revision = Some(7);
    let first = watcher.subscribe().expect("no call is pending");
    assert_eq!(
        (
            first.call.known_revision,
            first.call.wait,
            first.call.continues_watch
        ),
        (Some(7), 250_000, false)
    );
    assert!(watcher.subscribe().is_none(), "one call at a time");
    assert!(
        !watcher.complete(first.call.id.serial + 1),
        "a response to no call of its own"
    );
    assert!(watcher.complete(first.call.id.serial));
    let second = watcher.on_response(9);
    assert_eq!(
        (second.call.known_revision, second.call.continues_watch),
        (Some(9), true)
    );
    assert!(watcher.complete(second.call.id.serial));
    watcher.on_failure();
    let third = watcher.subscribe().expect("no call is pending");
    assert!(
        !third.call.continues_watch,
        "a call after a failure begins a new watch"
    );
    watcher.restart();
    assert!(
        !watcher.complete(third.call.id.serial),
        "calls of a former incarnation are void"
    );
}
