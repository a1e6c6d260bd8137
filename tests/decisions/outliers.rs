//! Outlier detection: which backends are ejected, for how long, and how they are readmitted.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Reports whether the balancer has ejected this backend at least once.
fn was_ejected(proxy: &SimulatedProxy, backend: BackendId) -> bool {
    proxy.log.iter().any(|logged| {
        matches!(
            logged.action,
            Action::Log(LogEvent::Ejected { backend: ejected, .. }) if ejected == backend
        )
    })
}

#[test]
fn a_failing_backend_is_ejected_and_then_readmitted_after_one_idempotent_trial_request() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
    let mut id = 0;
    while !was_ejected(&proxy, BackendId(2)) {
        id += 1;
        assert!(
            id < 400,
            "expected backend 2, which fails every request, to be ejected"
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
        "expected no trial with a non-idempotent request"
    );
    proxy.advance(3 * SECOND);
    proxy.submit_all(2000..2030, 0);
    assert_eq!(
        proxy.in_flight_at(BackendId(2)),
        1,
        "expected one trial request"
    );
    let in_flight = proxy.in_flight();
    let trial = in_flight
        .iter()
        .find(|attempt| attempt.backend == BackendId(2))
        .expect("one attempt at backend 2 was just counted");
    proxy.end_attempt(trial.request, trial.number, Outcome::Ok);
    assert!(
        proxy.log.iter().any(|logged| matches!(
            logged.action,
            Action::Log(LogEvent::Readmitted {
                backend: BackendId(2)
            })
        )),
        "expected the readmission of backend 2 after a served trial request"
    );
}

#[test]
fn some_backend_stays_available_when_all_backends_fail() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(5));
    for id in 0..300 {
        proxy.submit(request(id, 0));
        proxy.end_all(Outcome::Error);
        proxy.advance(5 * MS);
    }
    while let Some(&attempt) = proxy.in_flight().first() {
        proxy.end_attempt(attempt.request, attempt.number, Outcome::Error);
    }
    let ejections = proxy.ejections();
    assert!(ejections >= 3, "expected at least 3 ejections: {ejections}");
    let sent = (1000..1040)
        .filter(|&id| sent_to(&proxy.submit(request(id, 0))).is_some())
        .count();
    assert!(sent > 0, "expected some backend to get requests");
}

/// Effects of a load with corrupt responses.
struct LoadEffects {
    /// Ejections during the load.
    ejections: usize,
    /// Attempts admitted at once after the load.
    admitted: usize,
}

/// Runs a load in which the first attempt of every `interval`-th request gets a corrupt response.
fn run_load_with_corrupt_responses(interval: u32) -> LoadEffects {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
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
    LoadEffects {
        ejections: proxy.ejections(),
        admitted: proxy.in_flight().len(),
    }
}

/// Guards against ejecting healthy backends for responses that were corrupted on the network.
#[test]
fn an_occasional_corrupt_response_ejects_no_backend_and_lowers_no_limit() {
    let intact = run_load_with_corrupt_responses(u32::MAX);
    let corrupt = run_load_with_corrupt_responses(10);
    assert_eq!(
        corrupt.ejections, 0,
        "expected no ejection when a tenth of the responses of all backends is corrupt"
    );
    assert!(
        corrupt.admitted * 2 > intact.admitted,
        "{} attempts admitted after corrupt responses, expected more than half of the {} without any",
        corrupt.admitted,
        intact.admitted
    );
    assert!(
        run_load_with_corrupt_responses(1).ejections > 0,
        "expected an ejection when each first response is corrupt"
    );
}

/// Returns the number of ejections in a load in which every `interval`-th request is reset.
fn ejections_with_resets(interval: u32) -> usize {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
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

/// Guards against ejecting healthy backends for connections that the network broke.
#[test]
fn occasional_resets_eject_no_backend() {
    assert_eq!(
        ejections_with_resets(8),
        0,
        "expected no ejection when one in eight requests is reset"
    );
    assert!(
        ejections_with_resets(1) > 0,
        "expected an ejection when all requests are reset"
    );
}

/// Guards against doubling the duration of each ejection although the backend has served requests since the last one.
#[test]
fn an_ejection_of_a_backend_that_has_served_requests_since_the_last_one_is_as_short_as_the_first() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(2));
    for turn in 0..6 {
        let first = turn * 1000;
        for id in first..first + 60 {
            proxy.submit(request(id, 1));
            proxy.advance(20 * MS);
            proxy.end_all(Outcome::Ok);
        }
        let failed = sent_to(&proxy.submit(request(first + 500, 1)))
            .expect("an idle backend has a free slot");
        proxy.end_attempt(RequestId(first + 500), 0, Outcome::ConnectFailed);
        assert_eq!(
            proxy.ejections(),
            turn as usize + 1,
            "expected one ejection after each failed connection"
        );
        proxy.advance(1300 * MS);
        let is_tried = (first + 600..first + 605)
            .any(|id| sent_to(&proxy.submit(request(id, 0))) == Some(failed));
        assert!(
            is_tried,
            "expected ejection {turn} to end as early as the first one"
        );
        proxy.advance(20 * MS);
        proxy.end_all(Outcome::Ok);
    }
}

/// Guards against ejections that never end because no class is idempotent.
#[test]
fn a_keyed_request_can_be_the_trial_request_of_an_ejected_backend() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(3));
    let failed = sent_to(&proxy.submit(request(0, 4))).expect("an idle backend has a free slot");
    proxy.end_attempt(RequestId(0), 0, Outcome::ConnectFailed);
    proxy.advance(3 * SECOND);
    let is_tried = (1..20).any(|id| sent_to(&proxy.submit(request(id, 4))) == Some(failed));
    assert!(is_tried, "expected a keyed request as the trial request");
}
