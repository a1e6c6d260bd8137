//! The four rules, checked from outside on random legal and odd sequences of events.

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

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: u8,
        tenant: u16,
        key: u64,
        timeout: Micros,
    },
    /// Ends one of the attempts in flight.
    EndAttempt {
        which: usize,
        outcome: usize,
    },
    Wait(Micros),
    Change {
        id: u32,
        readiness: u8,
        restarted: bool,
    },
    FullList(Vec<u32>),
    WatchFails,
    ClientDisconnects(usize),
    /// An event that no orderly proxy would bring.
    Odd {
        kind: u8,
        number: u32,
    },
}

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
    let change =
        (0..8_u32, 0..3_u8, any::<bool>()).prop_map(|(id, readiness, restarted)| Step::Change {
            id,
            readiness,
            restarted,
        });
    let odd = (any::<u8>(), any::<u32>()).prop_map(|(kind, number)| Step::Odd { kind, number });
    prop_oneof![
        8 => request,
        8 => end_attempt,
        4 => (1..400 * MS).prop_map(Step::Wait),
        1 => change,
        1 => prop::collection::vec(0..8_u32, 0..8).prop_map(Step::FullList),
        1 => Just(Step::WatchFails),
        1 => any::<usize>().prop_map(Step::ClientDisconnects),
        1 => odd,
    ]
}

/// Brings an event that no orderly proxy would: unknown ids, stale timers, outcomes notified twice.
fn handle_odd_event(proxy: &mut SimulatedProxy, kind: u8, number: u32) {
    let known = proxy
        .requests
        .keys()
        .copied()
        .nth(number as usize % proxy.requests.len().max(1));
    let request = if kind & 64 == 0 {
        RequestId(1_000_000 + number)
    } else {
        known.unwrap_or(RequestId(number))
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
        _ if known != Some(request) => Event::ClientDisconnected(request),
        _ => attempt_ended(999),
    };
    proxy.handle(event);
}

fn end_one_attempt(proxy: &mut SimulatedProxy, which: usize, outcome: usize) {
    let in_flight = proxy.in_flight();
    if let Some(attempt) = in_flight.get(which % in_flight.len().max(1)) {
        proxy.end_attempt(attempt.request, attempt.number, OUTCOMES[outcome]);
    }
}

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
            .expect("it was just found")
            .ended = true;
        proxy.handle(Event::ClientDisconnected(id));
    }
}

/// Takes one step; its number is the id of a request that it submits.
fn take(proxy: &mut SimulatedProxy, number: usize, step: &Step) {
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
        Step::Change {
            id,
            readiness,
            restarted,
        } => {
            let changed = Backend {
                readiness: READINESS[usize::from(readiness)],
                started_at: restarted.then_some(proxy.now),
                ..backend(id)
            };
            proxy.change_membership(MembershipEvent::Delta(&[changed]));
        }
        Step::FullList(ref ids) => {
            let endpoints: Vec<Backend> = ids.iter().map(|&id| backend(id)).collect();
            proxy.change_membership(MembershipEvent::Full(&endpoints));
        }
        Step::WatchFails => {
            proxy.change_membership(MembershipEvent::WatchFailed);
        }
        Step::ClientDisconnects(which) => disconnect_one_client(proxy, which),
        Step::Odd { kind, number } => handle_odd_event(proxy, kind, number),
    }
}

/// Plays the steps and returns the actions that followed.
fn play(settings: Settings, steps: &[Step]) -> Vec<LoggedAction> {
    let mut proxy = SimulatedProxy::new(settings, (0..6).map(backend));
    for (number, step) in steps.iter().enumerate() {
        take(&mut proxy, number, step);
    }
    proxy.advance(3 * SECOND);
    assert!(
        proxy.requests.values().all(|tracked| tracked.ended),
        "every request has its final answer"
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
    fn no_sequence_breaks_a_rule(
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
        let log = play(settings.clone(), &steps);
        prop_assert_eq!(log, play(settings, &steps), "the same events lead to the same actions");
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_repeated() {
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
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_goes_to_another_backend() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut proxy = SimulatedProxy::new(settings(), (0..6).map(backend));
        let first = sent_to(&proxy.submit(request(1, 1)));
        let second = sent_to(&proxy.end_attempt(RequestId(1), 0, outcome));
        assert!(second.is_some() && second != first, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_scope_and_its_time() {
    // Backends of one scope have the same id modulo this.
    for (class, modulus) in [(2_u8, 1_u32), (3, 2), (4, 2)] {
        let mut proxy = SimulatedProxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.submit(request(1, class))).expect("there is capacity");
        let second = sent_to(&proxy.end_attempt(RequestId(1), 0, Outcome::Error))
            .expect("the scope has capacity");
        assert_eq!(first.0 % modulus, second.0 % modulus);
        let mut proxy = SimulatedProxy::new(settings(), (0..12).map(backend));
        proxy.submit(request(1, class));
        proxy.now += 601 * MS;
        let actions = proxy.end_attempt(RequestId(1), 0, Outcome::Error);
        assert!(
            is_failed(&actions),
            "class {class}: its key's time is over, and a rejection would promise too much"
        );
    }
}

#[test]
fn draining_binds_at_once_also_for_queued_and_retried_requests() {
    let mut proxy = SimulatedProxy::new(settings(), [backend(0)]);
    let sent = (0..200)
        .filter(|&id| sent_to(&proxy.submit(request(id, 0))).is_some())
        .count();
    assert!(sent < 200, "some are queued");
    proxy.change_membership(MembershipEvent::Delta(&[Backend {
        readiness: Readiness::Draining,
        ..backend(0)
    }]));
    for attempt in proxy.in_flight() {
        let actions = proxy.end_attempt(attempt.request, attempt.number, Outcome::Rejected);
        assert_eq!(sent_to(&actions), None);
    }
    proxy.advance(3 * SECOND);
}
