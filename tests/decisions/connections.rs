//! Idle connections: which are trusted, and what a request lost on one means.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

fn closes_idle_connections(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CloseIdleConnections(_)))
}

/// Lets the connection be idle, then sends a request that ends so; returns whether idle connections were closed first.
fn send_after_idle(proxy: &mut SimulatedProxy, id: u32, idle: Micros, outcome: Outcome) -> bool {
    const TIMEOUT: Micros = 300 * MS;
    proxy.advance(idle);
    let actions = proxy.submit(Request {
        timeout: TIMEOUT,
        ..request(id, 1)
    });
    assert_eq!(sent_to(&actions), Some(BackendId(0)));
    if outcome == Outcome::Timeout {
        proxy.advance(TIMEOUT);
    } else {
        proxy.end_attempt(RequestId(id), 0, outcome);
    }
    closes_idle_connections(&actions)
}

/// Guards against each use of a connection that was dropped unnoticed while it was idle losing a request.
#[test]
fn a_connection_that_was_idle_as_long_as_one_that_lost_a_request_is_closed_first() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(1));
    send_after_idle(&mut proxy, 1, 0, Outcome::Ok);
    assert!(
        !send_after_idle(&mut proxy, 2, SECOND, Outcome::Ok),
        "trusted until something is lost"
    );
    assert!(!send_after_idle(&mut proxy, 3, SECOND, Outcome::Timeout));
    assert!(
        send_after_idle(&mut proxy, 4, SECOND, Outcome::Ok),
        "closed before the send"
    );
    assert!(
        !send_after_idle(&mut proxy, 5, 100 * MS, Outcome::Ok),
        "a short idle time is trusted still"
    );
}

/// Guards against a backend ejected for a request lost on an idle connection. An idle time of a fraction of a second is
/// usual under load and excuses no backend.
#[test]
fn a_loss_on_an_idle_connection_ejects_no_backend() {
    for (idle, is_ejected) in [(2 * SECOND, false), (300 * MS, true), (0, true)] {
        let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(2));
        for id in 0..2 {
            let backend = sent_to(&proxy.submit(request(id, 1))).expect("there is capacity");
            assert_eq!(
                backend,
                BackendId(1),
                "the one with the most available capacity"
            );
        }
        for id in 0..2 {
            proxy.end_attempt(RequestId(id), 0, Outcome::Ok);
        }
        proxy.advance(idle);
        // As many losses in a row as eject a backend; the idle time is to blame for the first one.
        let mut id = 2;
        let mut losses = 0;
        while losses < 6 {
            let is_lost = sent_to(&proxy.submit(request(id, 1))) == Some(BackendId(1));
            let outcome = if is_lost { Outcome::Reset } else { Outcome::Ok };
            proxy.end_attempt(RequestId(id), 0, outcome);
            id += 1;
            losses += u32::from(is_lost);
        }
        assert_eq!(
            proxy.ejections() > 0,
            is_ejected,
            "after an idle time of {idle}"
        );
    }
}
