//! The four rules of the balancer, checked on random sequences of valid and invalid events and on single cases.
//!
//! The rules are rule 1 (one final answer), rule 2 (idempotency), rule 3 (draining) and rule 4 (slow start). The
//! simulated proxy of `common` checks the first three on each action of the balancer; `slow_start` checks the fourth.

#[path = "../common/mod.rs"]
mod common;

mod slow_start;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tillerproxy::api::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

const READINESS: [Readiness; 3] = [Readiness::Ready, Readiness::Draining, Readiness::Removed];

/// A step of a random sequence: an event or a wait.
#[derive(Clone, Debug)]
enum Step {
    /// A client sends a request.
    Request {
        class: u8,
        tenant: u16,
        key: u64,
        timeout: Micros,
    },
    /// One of the attempts in flight ends.
    EndAttempt { which: usize, outcome: usize },
    /// Simulated time passes.
    Wait(Micros),
    /// Discovery reports a change of one backend.
    ChangeBackend {
        id: u32,
        readiness: u8,
        restarted: bool,
    },
    /// Discovery sends a complete endpoint list with these backends.
    FullList(Vec<u32>),
    /// A call to discovery fails or the watch breaks.
    WatchFails,
    /// A client with an open request disconnects.
    ClientDisconnects(usize),
    /// The client of the selected attempt in flight pauses in the middle of its body, or continues to send it.
    UploadProgress { which: usize, is_stalled: bool },
    /// An event that a proxy without faults never sends; see [`handle_invalid_event`].
    InvalidEvent { kind: u8, number: u32 },
}

/// Returns a strategy that draws one step. Requests and ends of attempts are the most frequent steps.
fn step() -> impl Strategy<Value = Step> {
    let request =
        (0..5_u8, 0..3_u16, 0..9_u64, 1..2000 * MS).prop_map(|(class, tenant, key, timeout)| {
            Step::Request {
                class,
                tenant,
                key,
                timeout,
            }
        });
    let end_attempt = (any::<usize>(), 0..OUTCOMES.len())
        .prop_map(|(which, outcome)| Step::EndAttempt { which, outcome });
    let change = (0..8_u32, 0..3_u8, any::<bool>()).prop_map(|(id, readiness, restarted)| {
        Step::ChangeBackend {
            id,
            readiness,
            restarted,
        }
    });
    let invalid_event =
        (any::<u8>(), any::<u32>()).prop_map(|(kind, number)| Step::InvalidEvent { kind, number });
    let upload_progress = (any::<usize>(), any::<bool>())
        .prop_map(|(which, is_stalled)| Step::UploadProgress { which, is_stalled });
    prop_oneof![
        8 => request,
        2 => upload_progress,
        8 => end_attempt,
        4 => (1..400 * MS).prop_map(Step::Wait),
        1 => change,
        1 => prop::collection::vec(0..8_u32, 0..8).prop_map(Step::FullList),
        1 => Just(Step::WatchFails),
        1 => any::<usize>().prop_map(Step::ClientDisconnects),
        1 => invalid_event,
    ]
}

/// Passes the balancer an event that a proxy without faults never sends: one with an unknown id, a timer that was not
/// set, or the end of a health check or an attempt that was never started. `kind` selects the event, `number` its ids.
fn handle_invalid_event(proxy: &mut SimulatedProxy, kind: u8, number: u32) {
    let known_request = proxy
        .requests
        .keys()
        .copied()
        .nth(number as usize % proxy.requests.len().max(1));
    let request = if kind & 64 == 0 {
        RequestId(1_000_000 + number)
    } else {
        known_request.unwrap_or(RequestId(number))
    };
    let attempt_ended = |attempt| {
        Event::AttemptEnded(AttemptEnd {
            request,
            backend: BackendId(number),
            attempt,
            outcome: Outcome::Ok,
            request_answered: false,
            elapsed: 5,
            load_report: &[1.0],
            body_consumed: false,
        })
    };
    let event = match kind % 4 {
        0 => Event::Timer(number),
        1 => Event::HealthChecked {
            backend: BackendId(number),
            outcome: Outcome::Ok,
            load_report: &[],
        },
        2 => attempt_ended(500),
        _ if known_request != Some(request) => Event::ClientDisconnected(request),
        _ => attempt_ended(999),
    };
    proxy.handle(event);
}

/// Ends the attempt in flight that `which` selects, if any is in flight.
fn end_one_attempt(proxy: &mut SimulatedProxy, which: usize, outcome: usize) {
    let in_flight = proxy.in_flight();
    if let Some(attempt) = in_flight.get(which % in_flight.len().max(1)) {
        proxy.end_attempt(attempt.request, attempt.number, OUTCOMES[outcome]);
    }
}

/// Reports that the client of the attempt in flight that `which` selects has paused or continues, if any is in flight.
fn report_upload_progress(proxy: &mut SimulatedProxy, which: usize, is_stalled: bool) {
    let in_flight = proxy.in_flight();
    if let Some(attempt) = in_flight.get(which % in_flight.len().max(1)) {
        proxy.handle(Event::UploadProgress {
            request: attempt.request,
            attempt: attempt.number,
            is_stalled,
        });
    }
}

/// Disconnects the client of the open request that `which` selects, if any is open.
fn disconnect_one_client(proxy: &mut SimulatedProxy, which: usize) {
    let open: Vec<RequestId> = proxy
        .requests
        .iter()
        .filter(|(_, tracked)| !tracked.ended)
        .map(|(&id, _)| id)
        .collect();
    if let Some(&id) = open.get(which % open.len().max(1)) {
        proxy
            .requests
            .get_mut(&id)
            .expect("the id of the selected request was taken from the open requests")
            .ended = true;
        proxy.handle(Event::ClientDisconnected(id));
    }
}

/// Applies one step; `number` is the id of the request that it submits, if it submits one.
fn apply(proxy: &mut SimulatedProxy, number: usize, step: &Step) {
    match *step {
        Step::Request {
            class,
            tenant,
            key,
            timeout,
        } => {
            proxy.submit(Request {
                tenant: TenantIndex(tenant),
                key: Some(key).filter(|&key| key > 0),
                timeout,
                ..request(number as u32, class)
            });
        }
        Step::EndAttempt { which, outcome } => end_one_attempt(proxy, which, outcome),
        Step::Wait(time) => proxy.advance(time),
        Step::ChangeBackend {
            id,
            readiness,
            restarted,
        } => {
            let changed_backend = Backend {
                readiness: READINESS[usize::from(readiness)],
                started_at: restarted.then_some(proxy.now),
                ..backend(id)
            };
            proxy.change_membership(MembershipEvent::Delta(&[changed_backend]));
        }
        Step::FullList(ref ids) => {
            let endpoints: Vec<Backend> = ids.iter().map(|&id| backend(id)).collect();
            proxy.change_membership(MembershipEvent::Full(&endpoints));
        }
        Step::WatchFails => {
            proxy.change_membership(MembershipEvent::WatchFailed);
        }
        Step::ClientDisconnects(which) => disconnect_one_client(proxy, which),
        Step::UploadProgress { which, is_stalled } => {
            report_upload_progress(proxy, which, is_stalled);
        }
        Step::InvalidEvent { kind, number } => handle_invalid_event(proxy, kind, number),
    }
}

/// Applies the steps to a new proxy and returns all actions of its balancer.
fn run_steps(settings: Settings, steps: &[Step]) -> Vec<LoggedAction> {
    let mut proxy = SimulatedProxy::new(settings, (0..6).map(backend));
    for (number, step) in steps.iter().enumerate() {
        apply(&mut proxy, number, step);
    }
    proxy.advance(3 * SECOND);
    assert!(
        proxy.requests.values().all(|tracked| tracked.ended),
        "expected a final answer to every request"
    );
    proxy.log
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_break_no_rule_and_lead_to_the_same_actions_each_time(
        steps in prop::collection::vec(step(), 1..150),
        hedging: bool,
        key_affinity: bool,
        proxy_count in 1..40_u32,
        max_attempts in 1..6_u16,
    ) {
        let mut settings = settings();
        settings.permissions.hedging = hedging;
        settings.permissions.max_attempts = max_attempts;
        settings.proxy_count = proxy_count;
        settings.key_affinity = key_affinity;
        settings.discovery_mode = if max_attempts % 2 == 0 {
            DiscoveryMode::Polled
        } else {
            DiscoveryMode::Pushed
        };
        settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 50.0 }];
        let log = run_steps(settings.clone(), &steps);
        prop_assert_eq!(log, run_steps(settings, &steps), "expected the same actions for the same events");
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut proxy = SimulatedProxy::new(settings(), (0..6).map(backend));
        proxy.submit(request(1, 1));
        let actions = proxy.end_attempt(RequestId(1), 0, outcome);
        assert!(
            is_failed(&actions) && sent_to(&actions).is_none(),
            "after {outcome:?}, expected a failure and no second attempt: {actions:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_on_another_backend() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut proxy = SimulatedProxy::new(settings(), (0..6).map(backend));
        let first = sent_to(&proxy.submit(request(1, 1)));
        let second = sent_to(&proxy.end_attempt(RequestId(1), 0, outcome));
        assert!(
            second.is_some() && second != first,
            "after {outcome:?}, expected a second attempt on another backend than {first:?}: {second:?}"
        );
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_retried_only_in_its_keys_scope_and_before_the_key_expires()
{
    // The ids of backends in one key scope are congruent modulo `modulus`.
    for (class, modulus) in [(2_u8, 1_u32), (3, 2), (4, 2)] {
        let mut proxy = SimulatedProxy::new(settings(), (0..12).map(backend));
        let first =
            sent_to(&proxy.submit(request(1, class))).expect("an idle backend has a free slot");
        let second = sent_to(&proxy.end_attempt(RequestId(1), 0, Outcome::Error))
            .expect("the key scope has an idle backend");
        assert_eq!(
            first.0 % modulus,
            second.0 % modulus,
            "class {class}: expected the retry in the key scope of the first attempt"
        );
        let mut proxy = SimulatedProxy::new(settings(), (0..12).map(backend));
        proxy.submit(request(1, class));
        proxy.now += 601 * MS;
        let actions = proxy.end_attempt(RequestId(1), 0, Outcome::Error);
        assert!(
            is_failed(&actions),
            "class {class}: the key has expired, so a retry by the client is unsafe: expected a failure, not a rejection"
        );
    }
}

#[test]
fn a_draining_backend_gets_no_queued_and_no_retried_request() {
    let mut proxy = SimulatedProxy::new(settings(), [backend(0)]);
    let sent = (0..200)
        .filter(|&id| sent_to(&proxy.submit(request(id, 0))).is_some())
        .count();
    assert!(sent < 200, "expected some of 200 requests to be queued");
    proxy.change_membership(MembershipEvent::Delta(&[Backend {
        readiness: Readiness::Draining,
        ..backend(0)
    }]));
    for attempt in proxy.in_flight() {
        let actions = proxy.end_attempt(attempt.request, attempt.number, Outcome::Rejected);
        assert_eq!(
            sent_to(&actions),
            None,
            "rule 3: expected no attempt on the draining backend"
        );
    }
    proxy.advance(3 * SECOND);
}
