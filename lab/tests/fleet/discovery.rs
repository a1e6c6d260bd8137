//! The discovery stand-in and the proxies' watchers.

use tillerproxy::api::{Backend, Cell, MachineType, Readiness, Zone};
use tillerproxy_lab::fleet::discovery::{Answer, Call, Discovery, Received, Reply};
use tillerproxy_lab::fleet::proxy::Watcher;
use tillerproxy_lab::fleet::scenario;

fn entry(id: u32, readiness: Readiness) -> Backend {
    Backend {
        id,
        zone: Zone(0),
        machine_type: MachineType(0),
        cell: Cell(0),
        readiness,
        started_at: None,
    }
}

fn discovery(settings: &scenario::Discovery) -> Discovery {
    Discovery::new(
        settings,
        (0..10).map(|id| entry(id, Readiness::Ready)).collect(),
        3,
    )
}

fn call(proxy: u16, after: Option<u64>, continues: bool) -> Call {
    Call {
        proxy,
        serial: 1,
        after,
        wait: 1_000,
        continues,
    }
}

/// Revision, completeness and ids of a list.
fn list(reply: &Reply) -> (u64, bool, Vec<u32>) {
    match &reply.answer {
        Answer::List {
            revision,
            complete,
            entries,
        } => (
            *revision,
            *complete,
            entries.iter().map(|entry| entry.id).collect(),
        ),
        Answer::Failed => panic!("the call failed"),
    }
}

fn answered(received: Received) -> Reply {
    match received {
        Received::Answered(reply) => reply,
        other => panic!("not answered: {other:?}"),
    }
}

#[test]
fn a_standing_watch_is_told_what_changed_and_others_wait_for_their_turn() {
    let mut discovery = discovery(&scenario::Discovery::default());
    assert!(matches!(
        discovery.receive(0, call(0, Some(1), true)),
        Received::Standing
    ));
    assert!(matches!(
        discovery.receive(0, call(1, Some(1), false)),
        Received::Waiting
    ));
    assert!(discovery.notice(entry(4, Readiness::Draining)));
    assert!(!discovery.notice(entry(2, Readiness::Removed)));
    assert_eq!(discovery.revision(), 1, "noticed and not yet published");
    let replies = discovery.publish();
    assert_eq!(
        replies.iter().map(list).collect::<Vec<_>>(),
        [(3, false, vec![2, 4])]
    );
    let (received, _) = discovery.take_turn(10).expect("a call waits");
    assert_eq!(list(&answered(received)), (3, false, vec![2, 4]));
    assert_eq!(discovery.traffic.calls, 2);
    assert_eq!(discovery.traffic.bytes, 4 * 200 + 4 * 132);
}

#[test]
fn a_proxy_that_is_too_far_behind_gets_the_whole_list() {
    let settings = scenario::Discovery {
        history: 2,
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    for id in [1, 2, 3] {
        discovery.notice(entry(
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
        "what is gone is not listed"
    );
    assert_eq!(discovery.traffic.lists, 1);
}

#[test]
fn calls_fail_that_waited_too_long_or_find_discovery_down() {
    let settings = scenario::Discovery {
        longest_turn_ms: 5.0,
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.receive(0, call(0, None, false));
    let (received, _) = discovery.take_turn(6_000).expect("a call waits");
    assert!(matches!(answered(received).answer, Answer::Failed));
    discovery.receive(0, call(0, Some(1), true));
    discovery.receive(0, call(1, None, false));
    assert_eq!(
        discovery.go_down().len(),
        2,
        "the watch ends and the waiting call fails"
    );
    assert!(matches!(
        answered(discovery.receive(0, call(2, None, false))).answer,
        Answer::Failed
    ));
    discovery.come_back();
    assert!(matches!(
        discovery.receive(0, call(0, Some(1), true)),
        Received::Standing
    ));
}

#[test]
fn nothing_is_answered_on_a_silent_watch() {
    let mut discovery = discovery(&scenario::Discovery::default());
    discovery.receive(0, call(0, Some(1), true));
    discovery.mute_watch(0);
    discovery.notice(entry(1, Readiness::Removed));
    assert!(discovery.publish().is_empty());
    assert!(discovery.end_wait(0, 1).is_none());
}

#[test]
fn answers_of_watches_take_turns_where_discovery_is_bounded() {
    let settings = scenario::Discovery {
        answers_per_s: Some(100.0),
        ..Default::default()
    };
    let mut discovery = discovery(&settings);
    discovery.receive(0, call(0, Some(1), true));
    discovery.receive(0, call(1, Some(1), true));
    for id in [1, 2] {
        discovery.notice(entry(id, Readiness::Removed));
        assert!(discovery.publish().is_empty());
    }
    assert_eq!(discovery.next_turn_takes(), Some(10_000));
    for proxy in [0, 1] {
        let (received, _) = discovery.take_turn(0).expect("a watch has its turn");
        let reply = answered(received);
        assert_eq!((reply.proxy, list(&reply)), (proxy, (3, false, vec![1, 2])));
    }
    assert_eq!(
        discovery.next_turn_takes(),
        None,
        "one answer tells of both publications"
    );
}

#[test]
fn a_watcher_has_one_call_out_and_continues_its_watch_after_an_answer() {
    let mut watcher = Watcher::new(0, 3);
    watcher.revision = Some(7);
    let first = watcher.subscribe().expect("no call is out");
    assert_eq!(
        (first.call.after, first.call.wait, first.call.continues),
        (Some(7), 250_000, false)
    );
    assert!(watcher.subscribe().is_none(), "one call at a time");
    assert!(
        !watcher.take_answer(first.call.serial + 1),
        "an answer to no call of its own"
    );
    assert!(watcher.take_answer(first.call.serial));
    let second = watcher.answered(9);
    assert_eq!((second.call.after, second.call.continues), (Some(9), true));
    assert!(watcher.take_answer(second.call.serial));
    watcher.failed();
    let third = watcher.subscribe().expect("no call is out");
    assert!(
        !third.call.continues,
        "a call after a failure begins a watch anew"
    );
    watcher.restart();
    assert!(
        !watcher.take_answer(third.call.serial),
        "calls of a former life are void"
    );
}
