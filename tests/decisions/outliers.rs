//! Outlier detection: who is ejected, for how long, and how a backend is readmitted.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

fn is_ejected_in_log(proxy: &SimulatedProxy, backend: BackendId) -> bool {
    proxy.log.iter().any(|logged| {
        matches!(
            logged.action,
            Action::Log(LogEvent::Ejected { backend: ejected, .. }) if ejected == backend
        )
    })
}

#[test]
fn a_failing_backend_is_ejected_and_readmitted_by_a_single_trial_of_an_idempotent_request() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    let mut id = 0;
    while !is_ejected_in_log(&proxy, BackendId(2)) {
        id += 1;
        assert!(
            id < 400,
            "backend 2 fails every request and must be ejected"
        );
        proxy.submit(request(id, 0));
        for attempt in proxy.in_flight() {
            let outcome = if attempt.backend == BackendId(2) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            proxy.end_attempt(attempt.request, attempt.number, outcome);
        }
        proxy.advance(20 * MS);
    }
    proxy.advance(1300 * MS);
    proxy.submit_all(1000..1030, 1);
    assert_eq!(
        proxy.in_flight_at(BackendId(2)),
        0,
        "no trial with a request that must not run twice"
    );
    proxy.advance(3 * SECOND);
    proxy.submit_all(2000..2030, 0);
    assert_eq!(proxy.in_flight_at(BackendId(2)), 1, "a single trial");
    let in_flight = proxy.in_flight();
    let trial = in_flight
        .iter()
        .find(|attempt| attempt.backend == BackendId(2))
        .expect("the trial");
    proxy.end_attempt(trial.request, trial.number, Outcome::Ok);
    assert!(proxy.log.iter().any(|logged| matches!(
        logged.action,
        Action::Log(LogEvent::Readmitted {
            backend: BackendId(2)
        })
    )));
}

#[test]
fn not_all_backends_are_ejected_at_once() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(5));
    for id in 0..300 {
        proxy.submit(request(id, 0));
        proxy.end_all(Outcome::Error);
        proxy.advance(5 * MS);
    }
    while let Some(&attempt) = proxy.in_flight().first() {
        proxy.end_attempt(attempt.request, attempt.number, Outcome::Error);
    }
    assert!(proxy.ejections() >= 3);
    let sent = (1000..1040)
        .filter(|&id| sent_to(&proxy.submit(request(id, 0))).is_some())
        .count();
    assert!(sent > 0, "some backend still serves");
}

/// What a load does whose responses are corrupt now and then.
struct CorruptLoad {
    ejections: usize,
    /// Attempts admitted at once after it.
    admitted: usize,
}

/// Plays a load where the first attempt of every `interval`-th request gets a corrupt response.
fn run_corrupt_load(interval: u32) -> CorruptLoad {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    for id in 0..800 {
        proxy.submit(request(id, 0));
        proxy.advance(10 * MS);
        for attempt in proxy.in_flight() {
            let is_first_attempt = attempt.request == RequestId(id) && attempt.number == 0;
            let outcome = if id % interval == 0 && is_first_attempt {
                Outcome::CorruptResponse
            } else {
                Outcome::Ok
            };
            proxy.end_attempt(attempt.request, attempt.number, outcome);
        }
    }
    proxy.submit_all(1000..1200, 0);
    CorruptLoad {
        ejections: proxy.ejections(),
        admitted: proxy.in_flight().len(),
    }
}

/// Guards against healthy backends that are ejected for responses that were corrupted on the way.
#[test]
fn an_occasional_corrupt_response_ejects_no_backend_and_lowers_no_limit() {
    let intact = run_corrupt_load(u32::MAX);
    let corrupt = run_corrupt_load(10);
    assert_eq!(corrupt.ejections, 0, "a tenth is corrupt, from any backend");
    assert!(
        corrupt.admitted * 2 > intact.admitted,
        "limits stay: {} and {} are in flight",
        corrupt.admitted,
        intact.admitted
    );
    assert!(run_corrupt_load(1).ejections > 0, "all is corrupt");
}

/// Returns the ejections of a load where every `interval`-th connection breaks.
fn ejections_with_resets(interval: u32) -> usize {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    for id in 0..800 {
        proxy.submit(request(id, 1));
        proxy.advance(10 * MS);
        let outcome = if id % interval == 0 {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        proxy.end_all(outcome);
    }
    proxy.ejections()
}

/// Guards against healthy backends that are ejected for connections that something on the way broke.
#[test]
fn connections_that_break_now_and_then_eject_no_backend() {
    assert_eq!(ejections_with_resets(8), 0, "one in eight breaks");
    assert!(ejections_with_resets(1) > 0, "all break");
}

/// Guards against ejections that go on doubling however well the backend has served since the last one.
#[test]
fn a_backend_that_has_served_well_again_is_ejected_for_as_short_as_the_first_time() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(2));
    for turn in 0..6 {
        let first = turn * 1000;
        for id in first..first + 60 {
            proxy.submit(request(id, 1));
            proxy.advance(20 * MS);
            proxy.end_all(Outcome::Ok);
        }
        let failed = sent_to(&proxy.submit(request(first + 500, 1))).expect("there is capacity");
        proxy.end_attempt(RequestId(first + 500), 0, Outcome::ConnectFailed);
        assert_eq!(proxy.ejections(), turn as usize + 1);
        proxy.advance(1300 * MS);
        let is_tried = (first + 600..first + 605)
            .any(|id| sent_to(&proxy.submit(request(id, 0))) == Some(failed));
        assert!(is_tried, "ejection {turn} lasts as long as the first one");
        proxy.advance(20 * MS);
        proxy.end_all(Outcome::Ok);
    }
}

/// Guards against ejections without end where no class is idempotent.
#[test]
fn a_keyed_request_may_be_the_trial_of_an_ejected_backend() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(3));
    let failed = sent_to(&proxy.submit(request(0, 4))).expect("there is capacity");
    proxy.end_attempt(RequestId(0), 0, Outcome::ConnectFailed);
    proxy.advance(3 * SECOND);
    let is_tried = (1..20).any(|id| sent_to(&proxy.submit(request(id, 4))) == Some(failed));
    assert!(is_tried, "the ejection ends with a keyed request");
}
