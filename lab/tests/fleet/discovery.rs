//! The emulated discovery service and the watchers of the proxies.

use tillerproxy::api::{Backend, BackendId, Cell, MachineType, Readiness, Zone};
use tillerproxy_lab::fleet::discovery::{
    Call, CallId, CallStatus, Discovery, Response, ResponseBody,
};
use tillerproxy_lab::fleet::ids::ProxyIndex;
use tillerproxy_lab::fleet::proxy::Watcher;
use tillerproxy_lab::fleet::scenario::DiscoverySettings;

fn endpoint(id: u32, readiness: Readiness) -> Backend {
    Backend {
        id: BackendId(id),
        zone: Zone(0),
        machine_type: MachineType(0),
        cell: Cell(0),
        readiness,
        started_at: None,
    }
}

/// Creates a discovery service with ten ready endpoints at revision 1, for three proxies.
fn discovery(settings: &DiscoverySettings) -> Discovery {
    Discovery::new(
        settings,
        (0..10).map(|id| endpoint(id, Readiness::Ready)).collect(),
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

/// The content of a response as far as the tests compare it.
#[derive(Debug, PartialEq)]
struct ReceivedList {
    revision: u64,
    complete: bool,
    /// Ids of the endpoints.
    ids: Vec<u32>,
}

/// Returns the content of a response.
///
/// # Panics
/// If the call failed.
fn list(response: &Response) -> ReceivedList {
    match &response.body {
        ResponseBody::List(update) => ReceivedList {
            revision: update.revision,
            complete: update.complete,
            ids: update
                .endpoints
                .iter()
                .map(|endpoint| endpoint.id.0)
                .collect(),
        },
        ResponseBody::Failed => panic!("the call failed"),
    }
}

fn delta(revision: u64, ids: &[u32]) -> ReceivedList {
    ReceivedList {
        revision,
        complete: false,
        ids: ids.to_vec(),
    }
}

fn full_list(revision: u64, ids: &[u32]) -> ReceivedList {
    ReceivedList {
        revision,
        complete: true,
        ids: ids.to_vec(),
    }
}

/// Returns the response of a call that is answered at once.
///
/// # Panics
/// If the call is not answered.
fn answered(status: CallStatus) -> Response {
    match status {
        CallStatus::Answered(response) => response,
        other => panic!("the call is not answered: {other:?}"),
    }
}

#[test]
fn standing_watch_receives_changes_at_once_and_other_calls_are_queued() {
    let mut discovery = discovery(&DiscoverySettings::default());
    assert!(matches!(
        discovery.receive(0, call(0, Some(1), true)),
        CallStatus::Standing { .. }
    ));
    assert!(matches!(
        discovery.receive(0, call(1, Some(1), false)),
        CallStatus::Queued
    ));
    assert!(discovery.detect(endpoint(4, Readiness::Draining)));
    assert!(!discovery.detect(endpoint(2, Readiness::Removed)));
    assert_eq!(
        discovery.revision(),
        1,
        "the changes are detected and not yet published"
    );
    let responses = discovery.publish();
    assert_eq!(
        responses.iter().map(list).collect::<Vec<_>>(),
        [delta(3, &[2, 4])]
    );
    let status = discovery.process_next(10).expect("a call is queued");
    assert_eq!(list(&answered(status)), delta(3, &[2, 4]));
    assert_eq!(discovery.traffic.calls, 2);
    assert_eq!(discovery.traffic.bytes, 4 * 200 + 4 * 132);
}

#[test]
fn proxy_behind_the_change_history_receives_the_full_list() {
    let settings = DiscoverySettings {
        history_limit: 2,
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.detect(endpoint(1, Readiness::Draining));
    discovery.detect(endpoint(2, Readiness::Draining));
    discovery.detect(endpoint(3, Readiness::Removed));
    discovery.publish();
    let within_history = answered(discovery.receive(0, call(0, Some(2), true)));
    assert_eq!(list(&within_history), delta(4, &[2, 3]));
    let behind_history = answered(discovery.receive(0, call(1, Some(1), true)));
    assert_eq!(
        list(&behind_history),
        full_list(4, &[0, 1, 2, 4, 5, 6, 7, 8, 9]),
        "removed endpoints are not listed"
    );
    assert_eq!(discovery.traffic.full_lists, 1);
}

#[test]
fn calls_queued_too_long_or_made_during_an_outage_fail() {
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
fn stalled_watch_is_never_answered() {
    let mut discovery = discovery(&DiscoverySettings::default());
    discovery.receive(0, call(0, Some(1), true));
    discovery.stall_watch(ProxyIndex(0));
    discovery.detect(endpoint(1, Readiness::Removed));
    assert!(discovery.publish().is_empty());
    assert!(discovery.expire_watch(call_id(0)).is_none());
}

#[test]
fn watch_responses_are_queued_if_their_rate_is_limited() {
    let settings = DiscoverySettings {
        watch_responses_per_s: Some(100.0),
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.receive(0, call(0, Some(1), true));
    discovery.receive(0, call(1, Some(1), true));
    for id in [1, 2] {
        discovery.detect(endpoint(id, Readiness::Removed));
        assert!(discovery.publish().is_empty());
    }
    assert_eq!(discovery.next_processing_time(), Some(10_000));
    for proxy in [0, 1] {
        let status = discovery
            .process_next(0)
            .expect("the response to a watch is queued");
        let response = answered(status);
        assert_eq!(response.call.proxy, ProxyIndex(proxy));
        assert_eq!(list(&response), delta(3, &[1, 2]));
    }
    assert_eq!(
        discovery.next_processing_time(),
        None,
        "each watch has one response with both publications"
    );
}

#[test]
fn watcher_has_one_pending_call_and_continues_its_watch_after_a_response() {
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
    assert!(watcher.subscribe().is_none(), "at most one call is pending");
    assert!(
        !watcher.complete(first.call.id.serial + 1),
        "a response with another serial number ends no call"
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
        "a response to a call of the former incarnation is ignored"
    );
}
