//! Tests of the discovery stand-in: its answers, its turns, and its calls over loopback.

use super::board::{Board, Entry, EntryPhase};
use super::service::{Availability, Caller, ListCall, Service};
use super::turns::{Overbooked, Turns};
use crate::live::http;
use crate::live::scenario::DownCalls;
use crate::live::spread::SpreadTracker;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn entry(number: usize) -> Entry {
    Entry {
        id: format!("b-{number}"),
        host_port: SocketAddr::from(([127, 0, 0, 1], 9)),
        locality: "a".to_owned(),
        flavor: "standard",
        cell: 0,
        phase: EntryPhase::Active,
        size: 1.0,
        up_since_ms: 0,
    }
}

fn board(entries: usize) -> Board {
    Board::new((0..entries).map(entry).collect(), 5)
}

fn answer(board: &mut Board, after: Option<u64>) -> Value {
    serde_json::from_slice(&board.answer(after).expect("an answer")).expect("JSON")
}

/// Revision, completeness and names of a list.
fn told(list: &Value) -> (u64, bool, Vec<&str>) {
    let members = list["members"].as_array().expect("members").iter();
    let names = members
        .map(|member| member["id"].as_str().expect("a name"))
        .collect();
    (
        list["revision"].as_u64().expect("a revision"),
        list["complete"].as_bool().expect("a word"),
        names,
    )
}

#[test]
fn entries_have_the_form_of_the_protocol() {
    let list = answer(&mut board(1), None);
    let member = json!({"id": "b-0", "host_port": "127.0.0.1:9", "locality": "a", "flavor": "standard",
                        "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0});
    assert_eq!(
        list,
        json!({"revision": 5, "complete": true, "members": [member]})
    );
}

#[test]
fn callers_get_what_changed_since_the_revision_that_they_hold() {
    let mut board = board(3);
    assert_eq!(
        board.change(&[1], |entry| entry.phase = EntryPhase::Leaving),
        6
    );
    assert_eq!(
        board.change(&[1, 2], |entry| entry.phase = EntryPhase::Left),
        7
    );
    assert_eq!(told(&answer(&mut board, None)), (7, true, vec!["b-0"]));
    assert_eq!(
        told(&answer(&mut board, Some(5))),
        (7, false, vec!["b-1", "b-2"])
    );
    assert_eq!(told(&answer(&mut board, Some(7))), (7, false, vec![]));
    assert_eq!(answer(&mut board, Some(6))["members"][0]["phase"], "left");
    // Revisions of another service, or forgotten ones.
    assert!(told(&answer(&mut board, Some(4))).1 && told(&answer(&mut board, Some(8))).1);
}

#[test]
fn an_answer_is_serialized_once_until_the_next_change() {
    let mut board = board(2);
    let first = board.answer(None).expect("an answer");
    assert_eq!(
        first.as_ptr(),
        board.answer(None).expect("an answer").as_ptr()
    );
    board.change(&[0], |entry| entry.cell = 9);
    assert_ne!(first, board.answer(None).expect("an answer"));
}

#[test]
fn a_board_that_moved_has_a_new_revision_and_no_older_one() {
    let mut moved = board(2).moved();
    assert_eq!(moved.revision(), 6);
    assert!(told(&answer(&mut moved, Some(5))).1);
}

#[test]
fn calls_are_read_leniently() {
    let call = |after, wait_ms| ListCall {
        after,
        wait: Duration::from_millis(wait_ms),
    };
    assert_eq!(ListCall::parse(""), call(None, 0));
    assert_eq!(
        ListCall::parse("after=41&wait_ms=20000"),
        call(Some(41), 20_000)
    );
    assert_eq!(
        ListCall::parse("wait_ms=99999999&after=x"),
        call(None, 60_000)
    );
}

#[tokio::test(start_paused = true)]
async fn calls_have_their_turns_one_after_another_and_not_too_late() {
    let turns = Arc::new(Turns::new(10.0, Duration::from_millis(150)));
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let turns = Arc::clone(&turns);
            tokio::spawn(async move { turns.wait().await })
        })
        .collect();
    let mut ended = Vec::new();
    for call in calls {
        ended.push(call.await.expect("it ends"));
    }
    assert_eq!(ended, [Ok(()), Ok(()), Err(Overbooked)]);
    assert_eq!(turns.wait().await, Ok(()), "those before it are done");
}

/// A service with three entries, its address as a real process has it, and the spread tracker of one proxy.
async fn serve() -> (Arc<Service>, SocketAddr, Arc<SpreadTracker>) {
    let tracker = Arc::new(SpreadTracker::new(1));
    let service = Service::new(board(3), None, Arc::clone(&tracker));
    let caller = Caller::Real {
        process: 0,
        traffic: Arc::default(),
    };
    let address = Arc::clone(&service).listen(caller).await.expect("a port");
    (service, address, tracker)
}

async fn list(address: SocketAddr, path: &str) -> Value {
    let (status, body) = http::get(address, path).await.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice(&body).expect("JSON")
}

#[tokio::test]
async fn a_watch_is_answered_by_the_next_change() {
    let (service, address, tracker) = serve().await;
    assert_eq!(told(&list(address, "/discovery/hosts").await).2.len(), 3);
    assert_eq!(
        tracker.holders(5),
        0,
        "it was told, and has not asked for more yet"
    );
    let watch =
        tokio::spawn(async move { list(address, "/discovery/hosts?after=5&wait_ms=20000").await });
    while tracker.holders(5) == 0 {
        tokio::task::yield_now().await;
    }
    service.change(
        &[2],
        |entry| entry.phase = EntryPhase::Leaving,
        Instant::now(),
    );
    let list = watch.await.expect("an answer");
    assert_eq!(told(&list), (6, false, vec!["b-2"]));
}

#[tokio::test]
async fn a_watch_ends_with_nothing_when_its_time_is_up() {
    let (_service, address, _) = serve().await;
    assert_eq!(
        told(&list(address, "/discovery/hosts?after=5&wait_ms=1").await),
        (5, false, vec![])
    );
}

#[tokio::test]
async fn calls_end_as_the_scenario_says_while_discovery_is_down() {
    let (service, address, _) = serve().await;
    let watch = tokio::spawn(http::get(address, "/discovery/hosts?after=5&wait_ms=20000"));
    service.become_available(Availability::Down(DownCalls::Unavailable));
    let (status, _) = watch.await.expect("it ends").expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for calls in [DownCalls::Reset, DownCalls::Refused] {
        service.become_available(Availability::Down(calls));
        // The listener follows a moment later.
        while http::get(address, "/discovery/hosts").await.is_ok() {
            tokio::task::yield_now().await;
        }
        service.become_available(Availability::Up);
        while http::get(address, "/discovery/hosts").await.is_err() {
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test]
async fn bytes_and_calls_of_a_process_are_counted() {
    let traffic = Arc::<crate::live::counted::Traffic>::default();
    let service = Service::new(board(3), None, Arc::new(SpreadTracker::new(1)));
    let caller = Caller::Real {
        process: 0,
        traffic: Arc::clone(&traffic),
    };
    let address = service.listen(caller).await.expect("a port");
    let (_, body) = http::get(address, "/discovery/hosts")
        .await
        .expect("an answer");
    assert_eq!(traffic.calls(), 1);
    assert!(
        traffic.to_proxy.load(Ordering::Relaxed) > body.len() as u64,
        "a head comes with it"
    );
    assert!(traffic.from_proxy.load(Ordering::Relaxed) > 0);
}
