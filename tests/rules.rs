//! The four rules, checked from outside on random legal and odd sequences of events.

mod common;

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

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: u8,
        tenant: u16,
        key: u64,
        patience: Micros,
    },
    Settle {
        which: usize,
        outcome: usize,
    },
    Wait(Micros),
    Change {
        id: BackendId,
        readiness: u8,
        restarted: bool,
    },
    Full(Vec<BackendId>),
    DiscoveryFails,
    ClientLeaves(usize),
    Odd(u8, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..5_u8, 0..3_u16, 0..9_u64, 1..2000 * MS)
            .prop_map(|(class, tenant, key, patience)| Step::Request { class, tenant, key, patience }),
        8 => (any::<usize>(), 0..OUTCOMES.len()).prop_map(|(which, outcome)| Step::Settle { which, outcome }),
        4 => (1..400 * MS).prop_map(Step::Wait),
        1 => (0..8_u32, 0..3_u8, any::<bool>())
            .prop_map(|(id, readiness, restarted)| Step::Change { id, readiness, restarted }),
        1 => prop::collection::vec(0..8_u32, 0..8).prop_map(Step::Full),
        1 => Just(Step::DiscoveryFails),
        1 => any::<usize>().prop_map(Step::ClientLeaves),
        1 => (any::<u8>(), any::<u32>()).prop_map(|(what, number)| Step::Odd(what, number)),
    ]
}

/// An event that no orderly proxy would bring: unknown ids, stale timers, outcomes told twice.
fn odd(proxy: &mut Proxy, what: u8, number: u32) {
    let known = proxy
        .requests
        .keys()
        .copied()
        .nth(number as usize % proxy.requests.len().max(1));
    let request = if what & 64 == 0 {
        1_000_000 + number
    } else {
        known.unwrap_or(number)
    };
    let settled = |attempt| {
        let (backend, outcome) = (number, Outcome::Ok);
        Event::AttemptEnded(AttemptEnd {
            request,
            backend,
            attempt,
            outcome,
            request_answered: false,
            elapsed: 5,
            load_report: &[1.0],
            body_consumed: false,
        })
    };
    match what % 4 {
        0 => proxy.event(Event::Timer(number)),
        1 => proxy.event(Event::HealthChecked {
            backend: number,
            outcome: Outcome::Ok,
            load_report: &[],
        }),
        2 => proxy.event(settled(500)),
        _ if known != Some(request) => proxy.event(Event::ClientDisconnected(request)),
        _ => proxy.event(settled(999)),
    };
}

fn play(settings: Settings, steps: &[Step]) -> Vec<(Micros, Action)> {
    let mut proxy = Proxy::new(settings, (0..6).map(backend));
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Request {
                class,
                tenant,
                key,
                patience,
            } => {
                let key = Some(key).filter(|&k| k > 0);
                proxy.request(Request {
                    tenant: TenantIndex(tenant),
                    key,
                    timeout: patience,
                    ..request(number as u32, class)
                });
            }
            Step::Settle { which, outcome } => {
                let out = proxy.out();
                if let Some(&(id, attempt, _)) = out.get(which % out.len().max(1)) {
                    proxy.settle(id, attempt, OUTCOMES[outcome]);
                }
            }
            Step::Wait(time) => proxy.advance(time),
            Step::Change {
                id,
                readiness,
                restarted,
            } => {
                let readiness = [Readiness::Ready, Readiness::Draining, Readiness::Removed]
                    [usize::from(readiness)];
                let started = restarted.then_some(proxy.now);
                proxy.list(MembershipEvent::Delta(&[Backend {
                    readiness,
                    started_at: started,
                    ..backend(id)
                }]));
            }
            Step::Full(ref ids) => {
                let entries: Vec<Backend> = ids.iter().map(|&id| backend(id)).collect();
                proxy.list(MembershipEvent::Full(&entries));
            }
            Step::DiscoveryFails => _ = proxy.list(MembershipEvent::WatchFailed),
            Step::ClientLeaves(which) => {
                let open: Vec<_> = proxy
                    .requests
                    .iter()
                    .filter(|(_, t)| !t.ended)
                    .map(|(&id, _)| id)
                    .collect();
                if let Some(&id) = open.get(which % open.len().max(1)) {
                    proxy
                        .requests
                        .get_mut(&id)
                        .expect("it was just found")
                        .ended = true;
                    proxy.event(Event::ClientDisconnected(id));
                }
            }
            Step::Odd(what, number) => odd(&mut proxy, what, number),
        }
    }
    proxy.advance(3 * SECOND);
    assert!(
        proxy.requests.values().all(|t| t.ended),
        "every request has its final answer"
    );
    proxy.log
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_breaks_a_rule(
        steps in prop::collection::vec(step(), 1..150),
        second_copies: bool,
        warm_keys: bool,
        balancers in 1..40_u32,
        max_attempts in 1..6_u16,
    ) {
        let mut settings = settings();
        settings.permissions.hedging = second_copies;
        settings.permissions.max_attempts = max_attempts;
        settings.proxy_count = balancers;
        settings.key_affinity = warm_keys;
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
fn an_unsafe_request_that_may_have_run_fails_and_is_not_repeated() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut proxy = Proxy::new(settings(), (0..6).map(backend));
        proxy.request(request(1, 1));
        let actions = proxy.settle(1, 0, outcome);
        assert!(
            failed(&actions) && sent_to(&actions).is_none(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut proxy = Proxy::new(settings(), (0..6).map(backend));
        let first = sent_to(&proxy.request(request(1, 1)));
        let second = sent_to(&proxy.settle(1, 0, outcome));
        assert!(second.is_some() && second != first, "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    for (class, same) in [(2_u8, 1_u32), (3, 2), (4, 2)] {
        let mut proxy = Proxy::new(settings(), (0..12).map(backend));
        let first = sent_to(&proxy.request(request(1, class))).expect("there is room");
        let second = sent_to(&proxy.settle(1, 0, Outcome::Error)).expect("the group has room");
        assert_eq!(first % same, second % same);
        let mut proxy = Proxy::new(settings(), (0..12).map(backend));
        proxy.request(request(1, class));
        proxy.now += 601 * MS;
        let actions = proxy.settle(1, 0, Outcome::Error);
        assert!(
            failed(&actions),
            "class {class}: its key's time is over, and a refusal would promise too much"
        );
    }
}

#[test]
fn a_drain_binds_at_once_also_for_held_and_repeated_requests() {
    let mut proxy = Proxy::new(settings(), [backend(0)]);
    let sent = (0..200)
        .filter(|&id| sent_to(&proxy.request(request(id, 0))).is_some())
        .count();
    assert!(sent < 200, "some are held");
    proxy.list(MembershipEvent::Delta(&[Backend {
        readiness: Readiness::Draining,
        ..backend(0)
    }]));
    for (id, attempt, _) in proxy.out() {
        let actions = proxy.settle(id, attempt, Outcome::Rejected);
        assert_eq!(sent_to(&actions), None);
    }
    proxy.advance(3 * SECOND);
}

/// When `balancers` proxies together send to a server that has just restarted in a warm fleet of 10, in its first four
/// seconds; each has a request every `pause`, served after `latency` by warm servers and
/// after `cold` by the other.
fn cold_sends(balancers: u32, pause: Micros, latency: Micros, cold: Micros) -> Vec<Micros> {
    let mut settings = settings();
    (settings.zone_count, settings.proxy_count) = (1, balancers);
    let mut cold_sends = Vec::new();
    for me in 0..balancers {
        let mut proxy = Proxy::new(
            Settings {
                proxy_index: me,
                ..settings.clone()
            },
            (0..10).map(|i| Backend {
                zone: Zone(0),
                ..backend(i)
            }),
        );
        let mut id = 0;
        let mut run =
            |proxy: &mut Proxy, time: Micros, third: Micros, cold_sends: &mut Vec<Micros>| {
                for _ in 0..time / (50 * MS) {
                    proxy.advance(50 * MS);
                    proxy.serve(|id| if id == 3 { third } else { latency });
                    if (proxy.now + u64::from(me) * 50 * MS) % pause == 0 {
                        id += 1;
                        if sent_to(&proxy.request(request(id, 0))) == Some(3) {
                            cold_sends.push(proxy.now);
                        }
                    }
                }
            };
        run(&mut proxy, 5 * SECOND, latency, &mut Vec::new());
        let started = Some(proxy.now);
        proxy.list(MembershipEvent::Delta(&[Backend {
            zone: Zone(0),
            started_at: started,
            ..backend(3)
        }]));
        run(&mut proxy, 4 * SECOND, cold, &mut cold_sends);
    }
    cold_sends.sort_unstable();
    cold_sends
}

#[test]
fn all_proxies_together_stay_under_a_cold_servers_budget() {
    for (balancers, pause) in [(20, 50 * MS), (100, 500 * MS)] {
        let at_warm = f64::from(balancers) * SECOND as f64 / pause as f64 / 10.0;
        let sends = cold_sends(balancers, pause, 40 * MS, 400 * MS);
        let budget = 2.5 * 0.2 * at_warm * 2.0;
        let most = sends.iter().map(|&t| {
            sends
                .iter()
                .filter(|&&u| u >= t && u < t + 2 * SECOND)
                .count()
        });
        let most = most.max().expect("a cold server gets something");
        assert!(
            most > 0 && (most as f64) < budget,
            "{most} sends in the fall time, {budget} allowed"
        );
    }
}

#[test]
fn a_cold_server_gets_its_budget_also_where_a_part_of_the_proxies_hold_its_slots() {
    // Answers take so long that limits are at their floor, and a third of the proxies hold a slot on it.
    let sends = cold_sends(100, 500 * MS, 250 * MS, 250 * MS).len();
    assert!(sends >= 10, "{sends} sends in four seconds");
}

#[test]
fn a_cold_server_that_answers_as_soon_as_a_warm_one_gets_more_than_one_that_does_not() {
    let (slow, quick) = (
        cold_sends(20, 50 * MS, 40 * MS, 400 * MS),
        cold_sends(20, 50 * MS, 40 * MS, 40 * MS),
    );
    assert!(
        quick.len() > 2 * slow.len(),
        "{} sends in four seconds, {} if slow",
        quick.len(),
        slow.len()
    );
}

/// A cold server that bears little, so that the budget binds and not the concurrency limits.
const SMALL_BUDGET: SafetyLimits = SafetyLimits {
    poll_interval: 10 * SECOND,
    slow_start_initial_capacity: 0.1,
    slow_start_duration: 10 * SECOND,
    collapse_load_factor: 1.5,
    collapse_time: 2 * SECOND,
};

/// How long after its restart sends to a cold server are looked at.
const COLD_SPAN: Micros = 4 * SECOND;

/// When a fleet that gets its requests in bursts, all proxies in the same moment, sends to a server that has
/// just restarted among ten, counted from its restart. Each proxy gets `burst` requests at once every
/// `pause`; warm servers answer after 40 ms, the cold one after 400 ms.
fn cold_sends_in_bursts(balancers: u32, pause: Micros, burst: u32) -> Vec<Micros> {
    const RESTARTED: BackendId = 3;
    const STEP: Micros = 50 * MS;
    const WARM_UP: Micros = 12 * SECOND;
    let mut settings = settings();
    (settings.zone_count, settings.proxy_count, settings.safety) = (1, balancers, SMALL_BUDGET);
    let mut sends = Vec::new();
    for me in 0..balancers {
        let servers = (0..10).map(|id| Backend {
            zone: Zone(0),
            ..backend(id)
        });
        let mut proxy = Proxy::seeded(
            Settings {
                proxy_index: me,
                ..settings.clone()
            },
            u64::from(me),
            servers,
        );
        let restart = proxy.now + WARM_UP;
        let mut id = 0;
        for step in 1..=(WARM_UP + COLD_SPAN) / STEP {
            proxy.advance(STEP);
            let restarted = proxy.now >= restart;
            if proxy.now == restart {
                let started = Some(restart);
                proxy.list(MembershipEvent::Delta(&[Backend {
                    zone: Zone(0),
                    started_at: started,
                    ..backend(RESTARTED)
                }]));
            }
            proxy.serve(|id| {
                if restarted && id == RESTARTED {
                    400 * MS
                } else {
                    40 * MS
                }
            });
            if (step * STEP) % pause > 0 {
                continue;
            }
            for _ in 0..burst {
                id += 1;
                proxy.request(request(id, 0));
            }
        }
        // Those too that were held before.
        let to_it = |action: &Action| {
            matches!(
                action,
                Action::Send {
                    backend: RESTARTED,
                    ..
                }
            )
        };
        let sent = proxy
            .log
            .iter()
            .filter(|(at, action)| *at >= restart && to_it(action));
        sends.extend(sent.map(|(at, _)| at - restart));
    }
    sends.sort_unstable();
    sends
}

/// It falls beyond N requests in the fall time and twice the root of N and two more. N is what the settings
/// allow a server whose capacity is what the warm ones serve in the bursts, or one request after another if
/// that is more.
#[test]
fn all_proxies_together_stay_under_a_cold_servers_budget_in_bursts() {
    let SafetyLimits {
        slow_start_initial_capacity,
        collapse_load_factor,
        collapse_time,
        ..
    } = SMALL_BUDGET;
    for balancers in [20, 30] {
        for (pause, burst) in [(SECOND, 6), (SECOND, 20)] {
            let offered = f64::from(balancers * burst) * SECOND as f64 / pause as f64 / 10.0;
            let capacity = offered.max(SECOND as f64 / (40 * MS) as f64);
            let n = collapse_load_factor
                * slow_start_initial_capacity
                * capacity
                * collapse_time as f64
                / SECOND as f64;
            let allowed = n + 2.0 * n.sqrt() + 2.0;
            let sends = cold_sends_in_bursts(balancers, pause, burst);
            let window = |&t: &Micros| {
                sends
                    .iter()
                    .filter(|&&u| u >= t && u < t + collapse_time)
                    .count()
            };
            let most = sends
                .iter()
                .map(window)
                .max()
                .expect("a cold server gets something");
            let case = format!(
                "{balancers} proxies, {burst} requests every {} ms",
                pause / MS
            );
            assert!(
                most as f64 <= allowed,
                "{case}: {most} sends in the fall time, {allowed:.1} allowed"
            );
        }
    }
}
