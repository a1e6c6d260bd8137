//! Delays before calls to discovery: the backoff after failures, the spread over all proxies and the longest delay.

use crate::common::*;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// Returns the settings of one of `proxy_count` proxies that poll discovery.
fn polling_settings(proxy_count: u32) -> Settings {
    Settings {
        proxy_count,
        discovery_mode: DiscoveryMode::Polled,
        ..settings()
    }
}

/// Returns the actions of the balancer on a membership event.
fn actions_after(balancer: &mut Balancer, event: MembershipEvent<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(SECOND, Event::Membership(event), &mut actions);
    actions
}

#[test]
fn a_polling_proxy_subscribes_at_its_start_and_again_after_each_failure() {
    let mut proxy = SimulatedProxy::new(polling_settings(1), []);
    let calls = |proxy: &SimulatedProxy| {
        proxy
            .log
            .iter()
            .filter(|logged| logged.action == Action::Subscribe)
            .count()
    };
    assert_eq!(calls(&proxy), 1, "expected one call at the start");
    for failures in 1..6 {
        proxy.change_membership(MembershipEvent::WatchFailed);
        assert_eq!(
            calls(&proxy),
            failures,
            "expected a backoff before the next call"
        );
        proxy.advance(5 * SECOND);
        assert_eq!(
            calls(&proxy),
            failures + 1,
            "expected one call within 5 s of failure {failures}"
        );
    }
}

/// Guards against a backoff so long that rule 3 (draining) already treats the proxy as informed of a list that the
/// proxy has not received yet.
#[test]
fn a_call_after_a_failed_one_ends_within_four_poll_intervals() {
    for (poll_interval, proxy_count, call_duration) in
        [(4 * SECOND, 300, 5 * SECOND), (SECOND, 3, 2 * SECOND)]
    {
        for seed in 0..200 {
            let mut settings = polling_settings(proxy_count);
            settings.safety.poll_interval = poll_interval;
            let mut balancer =
                Balancer::new(settings, seed, SECOND).expect("the settings of the test are valid");
            for failures in 1..8 {
                let actions = actions_after(&mut balancer, MembershipEvent::WatchFailed);
                let [Action::SetTimer { after, .. }] = actions[..] else {
                    panic!("expected only a timer: {actions:?}")
                };
                assert!(
                    after + call_duration <= 4 * poll_interval,
                    "delay of {} s after {failures} failures and a call of {} s, expected at most {} s in total",
                    after / SECOND,
                    call_duration / SECOND,
                    4 * poll_interval / SECOND
                );
            }
        }
    }
}

/// Returns the number of `proxy_count` proxies that call discovery in the busiest second after these events.
fn calls_in_busiest_second(proxy_count: u32, events: &[MembershipEvent<'_>]) -> usize {
    let second_of_call = |seed| {
        let settings = polling_settings(proxy_count);
        let mut balancer =
            Balancer::new(settings, seed, SECOND).expect("the settings of the test are valid");
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
fn calls_to_discovery_are_spread_when_all_proxies_start_or_fail_together() {
    let start = [MembershipEvent::Cached(&[])];
    // After a failure, the average rate is five calls per second if the longest allowed delay is sufficient for that.
    // Otherwise the calls are spread over the longest allowed delay.
    let failed = [MembershipEvent::Cached(&[]), MembershipEvent::WatchFailed];
    for (proxy_count, events, max_calls) in
        [(100, &start[..], 65), (12, &failed, 9), (100, &failed, 50)]
    {
        let calls = calls_in_busiest_second(proxy_count, events);
        assert!(
            calls <= max_calls,
            "{calls} calls of {proxy_count} proxies in one second, expected at most {max_calls}: {events:?}"
        );
    }
}

#[test]
fn one_of_710_proxies_calls_discovery_within_2500_ms_after_up_to_8_failures() {
    // Rule 3 (draining) treats a proxy as informed of a change 6 s after discovery has it, even after failed calls. A
    // call takes up to 3.5 s of that time.
    for seed in 0..300 {
        let mut balancer = Balancer::new(polling_settings(710), seed, SECOND)
            .expect("the settings of the test are valid");
        let first = [MembershipEvent::Cached(&[])];
        let failures = [MembershipEvent::WatchFailed; 8];
        for event in first.into_iter().chain(failures) {
            let actions = actions_after(&mut balancer, event);
            let [Action::SetTimer { after, .. }] = actions[..] else {
                panic!("expected only a timer: {actions:?}")
            };
            assert!(
                after <= 2_500 * MS,
                "delay of {after} us, expected at most 2500 ms"
            );
        }
    }
}
