//! Tests of the emulated discovery service: responses, call queue, and calls over loopback.

use super::call_queue::{CallQueue, QueueTimeout};
use super::endpoint_list::EndpointList;
use super::list_query::ListQuery;
use super::listener;
use super::service::{Availability, Caller, Service};
use crate::endpoint_list::{Endpoint, EndpointState};
use crate::live::http;
use crate::live::propagation::PropagationTracker;
use crate::live::scenario::OutageBehavior;
use crate::live::traffic::TrafficCounters;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: format!("b-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        machine_type: "standard".to_owned(),
        cell: 0,
        state: EndpointState::Active,
        size: 1.0,
        started_at_ms: 0,
    }
}

fn endpoint_list(count: usize) -> EndpointList {
    EndpointList::new((0..count).map(endpoint).collect(), 5)
}

fn response(list: &mut EndpointList, after: Option<u64>) -> Value {
    let body = list
        .response_body(after)
        .expect("the list can be serialized");
    serde_json::from_slice(&body).expect("the body is JSON")
}

/// Returns revision, completeness and endpoint names of a list.
fn summary(list: &Value) -> (u64, bool, Vec<&str>) {
    let members = list["members"]
        .as_array()
        .expect("`members` is an array")
        .iter();
    let names = members
        .map(|member| member["id"].as_str().expect("`id` is a string"))
        .collect();
    (
        list["revision"].as_u64().expect("`revision` is a number"),
        list["complete"].as_bool().expect("`complete` is a boolean"),
        names,
    )
}

#[test]
fn endpoint_is_serialized_in_the_protocol_format() {
    let list = response(&mut endpoint_list(1), None);
    let member = json!({"id": "b-0", "host_port": "127.0.0.1:9", "locality": "a", "flavor": "standard",
                        "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0});
    assert_eq!(
        list,
        json!({"revision": 5, "complete": true, "members": [member]})
    );
}

#[test]
fn response_contains_endpoints_changed_since_the_callers_revision() {
    let mut list = endpoint_list(3);
    assert_eq!(
        list.change(&[1], |endpoint| endpoint.state = EndpointState::Draining),
        6
    );
    assert_eq!(
        list.change(&[1, 2], |endpoint| endpoint.state = EndpointState::Removed),
        7
    );
    assert_eq!(summary(&response(&mut list, None)), (7, true, vec!["b-0"]));
    assert_eq!(
        summary(&response(&mut list, Some(5))),
        (7, false, vec!["b-1", "b-2"])
    );
    assert_eq!(summary(&response(&mut list, Some(7))), (7, false, vec![]));
    assert_eq!(response(&mut list, Some(6))["members"][0]["phase"], "left");
    // Revisions that are not of this list are answered with the complete list.
    assert!(summary(&response(&mut list, Some(4))).1 && summary(&response(&mut list, Some(8))).1);
}

#[test]
fn response_body_is_cached_until_the_next_change() {
    let mut list = endpoint_list(2);
    let first = list
        .response_body(None)
        .expect("the list can be serialized");
    assert_eq!(
        first.as_ptr(),
        list.response_body(None)
            .expect("the list can be serialized")
            .as_ptr()
    );
    list.change(&[0], |endpoint| endpoint.cell = 9);
    assert_ne!(
        first,
        list.response_body(None)
            .expect("the list can be serialized")
    );
}

#[test]
fn successor_list_has_the_next_revision_and_answers_older_ones_completely() {
    let mut successor = endpoint_list(2).successor();
    assert_eq!(successor.revision(), 6);
    assert!(summary(&response(&mut successor, Some(5))).1);
}

#[test]
fn malformed_query_parameters_are_ignored_and_long_waits_are_shortened() {
    let query = |after, wait_ms| ListQuery {
        after,
        wait: Duration::from_millis(wait_ms),
    };
    assert_eq!(ListQuery::parse(""), query(None, 0));
    assert_eq!(
        ListQuery::parse("after=41&wait_ms=20000"),
        query(Some(41), 20_000)
    );
    assert_eq!(
        ListQuery::parse("wait_ms=99999999&after=x"),
        query(None, 60_000)
    );
}

#[tokio::test(start_paused = true)]
async fn call_queue_handles_calls_in_sequence_and_times_out_long_waits() {
    let queue = Arc::new(CallQueue::new(10.0, Duration::from_millis(150)));
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let queue = Arc::clone(&queue);
            tokio::spawn(async move { queue.wait().await })
        })
        .collect();
    let mut ended = Vec::new();
    for call in calls {
        ended.push(call.await.expect("the task does not panic"));
    }
    assert_eq!(ended, [Ok(()), Ok(()), Err(QueueTimeout)]);
    assert_eq!(
        queue.wait().await,
        Ok(()),
        "the calls before it have been handled"
    );
}

/// Starts a service with three endpoints; returns it, its address for a real process, and the tracker of one proxy.
async fn serve() -> (Arc<Service>, SocketAddr, Arc<PropagationTracker>) {
    let tracker = Arc::new(PropagationTracker::new(1));
    let service = Service::new(endpoint_list(3), None, Arc::clone(&tracker));
    let caller = Caller::Real {
        proxy_index: 0,
        traffic: Arc::default(),
    };
    let address =
        listener::open(Arc::clone(&service), caller).expect("the listener binds a loopback port");
    (service, address, tracker)
}

/// Fetches a list and checks that the status is 200.
async fn list(address: SocketAddr, path: &str) -> Value {
    let (status, body) = http::get(address, path).await.expect("discovery responds");
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice(&body).expect("the body is JSON")
}

#[tokio::test]
async fn watch_is_answered_at_the_next_change() {
    let (service, address, tracker) = serve().await;
    assert_eq!(summary(&list(address, "/discovery/hosts").await).2.len(), 3);
    assert_eq!(
        tracker.proxies_with_revision(5),
        0,
        "a process counts as having a revision only when it asks for newer ones"
    );
    let watch =
        tokio::spawn(async move { list(address, "/discovery/hosts?after=5&wait_ms=20000").await });
    while tracker.proxies_with_revision(5) == 0 {
        tokio::task::yield_now().await;
    }
    service.change(
        &[2],
        |endpoint| endpoint.state = EndpointState::Draining,
        Instant::now(),
    );
    let list = watch.await.expect("the task does not panic");
    assert_eq!(summary(&list), (6, false, vec!["b-2"]));
}

#[tokio::test]
async fn watch_without_a_change_ends_with_an_empty_delta() {
    let (_service, address, _) = serve().await;
    assert_eq!(
        summary(&list(address, "/discovery/hosts?after=5&wait_ms=1").await),
        (5, false, vec![])
    );
}

#[tokio::test]
async fn calls_during_an_outage_fail_with_the_configured_behavior() {
    let (service, address, _) = serve().await;
    let watch = tokio::spawn(http::get(address, "/discovery/hosts?after=5&wait_ms=20000"));
    service.set_availability(Availability::Down(OutageBehavior::Unavailable));
    let response = watch.await.expect("the task does not panic");
    let (status, _) = response.expect("discovery responds with 503");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for behavior in [OutageBehavior::Reset, OutageBehavior::Refused] {
        service.set_availability(Availability::Down(behavior));
        // The listener task applies the availability a moment later.
        while http::get(address, "/discovery/hosts").await.is_ok() {
            tokio::task::yield_now().await;
        }
        service.set_availability(Availability::Up);
        while http::get(address, "/discovery/hosts").await.is_err() {
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test]
async fn traffic_counters_count_bytes_and_calls_of_a_process() {
    let traffic = Arc::<TrafficCounters>::default();
    let service = Service::new(endpoint_list(3), None, Arc::new(PropagationTracker::new(1)));
    let caller = Caller::Real {
        proxy_index: 0,
        traffic: Arc::clone(&traffic),
    };
    let address = listener::open(service, caller).expect("the listener binds a loopback port");
    let (_, body) = http::get(address, "/discovery/hosts")
        .await
        .expect("discovery responds");
    assert_eq!(traffic.totals().calls, 1);
    assert!(
        traffic.bytes_to_proxy() > body.len() as u64,
        "the response head is counted too"
    );
    assert!(traffic.bytes_from_proxy() > 0);
}
