//! Tests of open requests and the request table.

use super::*;
use crate::balancer::backends::{BackendState, BackendTable};

fn open_request(id: u32) -> OpenRequest {
    OpenRequest::new(RequestId(id), ClassIndex(0), false, 0, 1_000)
}

fn attempt(sent_at: Micros, state: AttemptState) -> Attempt {
    let backend = BackendTable::default().insert(BackendState::default());
    Attempt {
        state,
        ..Attempt::new(backend, sent_at)
    }
}

#[test]
fn a_request_is_found_until_it_is_removed() {
    let mut requests = RequestTable::default();
    let key = requests.insert(open_request(7));
    assert_eq!(requests.find(RequestId(7)), Some(key));
    assert_eq!(requests[key].id, RequestId(7));
    assert_eq!(requests.find(RequestId(8)), None);
    requests.remove(key);
    assert_eq!(requests.find(RequestId(7)), None);
}

#[test]
fn the_key_of_a_removed_request_is_reused_without_its_attempts() {
    let mut requests = RequestTable::default();
    let first = requests.insert(open_request(1));
    let second = requests.insert(open_request(2));
    assert_ne!(first, second);
    requests[first]
        .attempts
        .push(attempt(0, AttemptState::InFlight));
    requests.remove(first);
    let third = requests.insert(open_request(3));
    assert_eq!(third, first);
    assert!(requests[third].attempts.is_empty());
    assert_eq!(requests.find(RequestId(3)), Some(third));
    assert_eq!(requests.find(RequestId(2)), Some(second));
}

#[test]
fn get_returns_none_for_a_key_that_was_never_assigned() {
    let requests = RequestTable::default();
    assert!(requests.get(RequestKey::from_index(0)).is_none());
}

#[test]
fn a_request_is_in_flight_while_one_of_its_attempts_is() {
    let mut request = open_request(1);
    assert!(!request.is_in_flight());
    for state in [AttemptState::NotExecuted, AttemptState::MayHaveExecuted] {
        request.attempts.push(attempt(0, state));
        assert!(!request.is_in_flight());
    }
    request.attempts.push(attempt(0, AttemptState::InFlight));
    assert!(request.is_in_flight());
}

#[test]
fn first_possibly_executed_skips_attempts_that_were_not_executed() {
    for state in [AttemptState::InFlight, AttemptState::MayHaveExecuted] {
        let mut request = open_request(1);
        request
            .attempts
            .push(attempt(10, AttemptState::NotExecuted));
        assert!(request.first_possibly_executed().is_none());
        request.attempts.push(attempt(20, state));
        request.attempts.push(attempt(30, state));
        let first = request
            .first_possibly_executed()
            .expect("the second attempt may have been executed");
        assert_eq!(first.sent_at, 20);
    }
}
