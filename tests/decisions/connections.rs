//! Idle connections: which ones are closed before a send, and how a request lost on one affects its backend.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Reports whether one of these actions closes idle connections.
fn closes_idle_connections(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CloseIdleConnections(_)))
}

/// Waits for `idle`, then sends a request that ends with `outcome`. Returns whether idle connections were closed first.
fn send_after_idle(proxy: &mut SimulatedProxy, id: u32, idle: Micros, outcome: Outcome) -> bool {
    const TIMEOUT: Micros = 300 * MS;
    proxy.advance(idle);
    let actions = proxy.submit(Request {
        timeout: TIMEOUT,
        ..request(id, 1)
    });
    assert_eq!(
        sent_to(&actions),
        Some(BackendId(0)),
        "expected request {id} to be sent"
    );
    if outcome == Outcome::Timeout {
        proxy.advance(TIMEOUT);
    } else {
        proxy.end_attempt(RequestId(id), 0, outcome);
    }
    closes_idle_connections(&actions)
}

/// Guards against losing a request on each connection that was dropped unnoticed while it was idle.
#[test]
fn a_connection_is_closed_before_a_send_if_a_request_was_lost_after_the_same_idle_time() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(1));
    send_after_idle(&mut proxy, 1, 0, Outcome::Ok);
    assert!(
        !send_after_idle(&mut proxy, 2, SECOND, Outcome::Ok),
        "expected no close before a request was lost"
    );
    assert!(
        !send_after_idle(&mut proxy, 3, SECOND, Outcome::Timeout),
        "expected no close before a request was lost"
    );
    assert!(
        send_after_idle(&mut proxy, 4, SECOND, Outcome::Ok),
        "expected a close after a request was lost with the same idle time"
    );
    assert!(
        !send_after_idle(&mut proxy, 5, 100 * MS, Outcome::Ok),
        "expected no close after a shorter idle time"
    );
}

/// Guards against ejecting a backend for a request that was lost on an idle connection. An idle time of a fraction of a
/// second is usual under load, so such a loss counts against the backend.
#[test]
fn a_loss_on_a_connection_idle_for_seconds_does_not_count_towards_ejection() {
    for (idle, is_ejected) in [(2 * SECOND, false), (300 * MS, true), (0, true)] {
        let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(2));
        for id in 0..2 {
            let backend =
                sent_to(&proxy.submit(request(id, 1))).expect("an idle backend has a free slot");
            assert_eq!(
                backend,
                BackendId(1),
                "expected the backend with the most available capacity"
            );
        }
        for id in 0..2 {
            proxy.end_attempt(RequestId(id), 0, Outcome::Ok);
        }
        proxy.advance(idle);
        // Six consecutive lost requests eject a backend. A request lost on a connection that was idle for seconds is
        // not counted.
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
            "ejection after an idle time of {idle} us"
        );
    }
}
