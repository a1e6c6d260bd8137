//! When a proxy calls discovery: with a backoff after failures, spread over all proxies, and in time.

use crate::common::*;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// Settings of one of so many proxies, which poll discovery.
fn polling_settings(proxy_count: u32) -> Settings {
    Settings {
        proxy_count,
        discovery_mode: DiscoveryMode::Polled,
        ..settings()
    }
}

/// Returns the actions that follow from a membership event.
fn actions_after(balancer: &mut Balancer, event: MembershipEvent<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(SECOND, Event::Membership(event), &mut actions);
    actions
}

#[test]
fn a_polling_proxy_subscribes_and_tries_again_after_a_failure() {
    let mut proxy = SimulatedProxy::new(polling_settings(1), []);
    let calls = |proxy: &SimulatedProxy| {
        proxy
            .log
            .iter()
            .filter(|logged| logged.action == Action::Subscribe)
            .count()
    };
    assert_eq!(calls(&proxy), 1);
    for failures in 1..6 {
        proxy.change_membership(MembershipEvent::WatchFailed);
        assert_eq!(calls(&proxy), failures, "not at once");
        proxy.advance(5 * SECOND);
        assert_eq!(calls(&proxy), failures + 1);
    }
}

/// Guards against a backoff so long that the proxy is held to a list that it can't know.
#[test]
fn a_proxy_calls_again_after_a_failed_call_within_the_time_that_the_rules_give() {
    for (poll_interval, proxy_count, call_duration) in
        [(4 * SECOND, 300, 5 * SECOND), (SECOND, 3, 2 * SECOND)]
    {
        for seed in 0..200 {
            let mut settings = polling_settings(proxy_count);
            settings.safety.poll_interval = poll_interval;
            let mut balancer = Balancer::new(settings, seed, SECOND).expect("good settings");
            for failures in 1..8 {
                let actions = actions_after(&mut balancer, MembershipEvent::WatchFailed);
                let [Action::SetTimer { after, .. }] = actions[..] else {
                    panic!("{actions:?}")
                };
                assert!(
                    after + call_duration <= 4 * poll_interval,
                    "{} s after {failures} failures",
                    after / SECOND
                );
            }
        }
    }
}

/// Returns how many of so many proxies call discovery in the busiest second after these events.
fn calls_in_busiest_second(proxy_count: u32, events: &[MembershipEvent<'_>]) -> usize {
    let second_of_call = |seed| {
        let settings = polling_settings(proxy_count);
        let mut balancer = Balancer::new(settings, seed, SECOND).expect("the settings make sense");
        let mut actions = Vec::new();
        for &event in events {
            actions = actions_after(&mut balancer, event);
        }
        match actions[..] {
            [Action::SetTimer { after, .. }] => after / SECOND,
            _ => 0,
        }
    };
    let seconds: Vec<Micros> = (0..u64::from(proxy_count)).map(second_of_call).collect();
    seconds
        .iter()
        .map(|&second| seconds.iter().filter(|&&other| other == second).count())
        .max()
        .unwrap_or_default()
}

#[test]
fn proxies_that_start_or_fail_together_do_not_call_discovery_together() {
    let start = [MembershipEvent::Cached(&[])];
    assert!(
        calls_in_busiest_second(100, &start) <= 65,
        "{} calls",
        calls_in_busiest_second(100, &start)
    );
    // Five calls a second where the rules leave the time for it, all the time that they leave where they don't.
    let failed = [MembershipEvent::Cached(&[]), MembershipEvent::WatchFailed];
    assert!(
        calls_in_busiest_second(12, &failed) <= 9,
        "{} calls",
        calls_in_busiest_second(12, &failed)
    );
    assert!(
        calls_in_busiest_second(100, &failed) <= 50,
        "{} calls",
        calls_in_busiest_second(100, &failed)
    );
}

#[test]
fn one_of_very_many_proxies_calls_soon_enough_for_an_answer_in_time() {
    // What discovery has is known 6 s later, whatever failed before; a call takes up to 3.5 s.
    for seed in 0..300 {
        let mut balancer =
            Balancer::new(polling_settings(710), seed, SECOND).expect("good settings");
        let first = [MembershipEvent::Cached(&[])];
        let failures = [MembershipEvent::WatchFailed; 8];
        for event in first.into_iter().chain(failures) {
            let actions = actions_after(&mut balancer, event);
            let [Action::SetTimer { after, .. }] = actions[..] else {
                panic!("{actions:?}")
            };
            assert!(after <= 2_500 * MS, "called after {after} us");
        }
    }
}
