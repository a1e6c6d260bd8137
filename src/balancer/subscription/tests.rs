//! Tests of the bounds of the delays before calls to discovery.

use super::*;
use crate::balancer::tests::{MS, settings};
use std::ops::RangeInclusive;

const SEEDS: u64 = 300;

fn settings_of(proxy_count: u32, poll_interval: Micros) -> Settings {
    let mut settings = settings();
    settings.proxy_count = proxy_count;
    settings.safety.poll_interval = poll_interval;
    settings
}

/// Asserts that all delays are within `bounds`, and that the shortest and the longest are within a tenth of the width
/// of `bounds` from its start and its end.
fn assert_spread(delays: &[Micros], bounds: RangeInclusive<Micros>) {
    for delay in delays {
        assert!(
            bounds.contains(delay),
            "a delay of {delay} us is not in {bounds:?}"
        );
    }
    let width = bounds.end() - bounds.start();
    let least = delays.iter().min().expect("there is a delay for each seed");
    let greatest = delays.iter().max().expect("there is a delay for each seed");
    assert!(
        *least <= bounds.start() + width / 10,
        "the least delay is {least} us, bounds {bounds:?}"
    );
    assert!(
        *greatest >= bounds.end() - width / 10,
        "the greatest delay is {greatest} us, bounds {bounds:?}"
    );
}

fn first_delays(settings: &Settings) -> Vec<Micros> {
    let backoff = SubscriptionBackoff::default();
    (0..SEEDS)
        .map(|seed| backoff.first_delay(settings, &mut Rng::with_seed(seed)))
        .collect()
}

/// Returns, for each seed, the delay after a failure that follows `failures` earlier ones.
fn next_delays(settings: &Settings, failures: u32) -> Vec<Micros> {
    let next_delay = |seed| {
        let mut rng = Rng::with_seed(seed);
        let mut backoff = SubscriptionBackoff::default();
        for _ in 0..failures {
            backoff.next_delay(settings, &mut rng);
        }
        backoff.next_delay(settings, &mut rng)
    };
    (0..SEEDS).map(next_delay).collect()
}

#[test]
fn a_single_proxy_makes_its_first_call_at_once() {
    let delays = first_delays(&settings_of(1, 10 * SECOND));
    assert!(delays.iter().all(|&delay| delay == 0), "{delays:?}");
}

#[test]
fn all_proxies_together_make_fifty_first_calls_a_second() {
    let delays = first_delays(&settings_of(51, 10 * SECOND));
    assert_spread(&delays, 0..=SECOND);
}

#[test]
fn first_calls_of_very_many_proxies_are_made_within_the_longest_delay() {
    let delays = first_delays(&settings_of(10_000, 10 * SECOND));
    assert_spread(&delays, 0..=2_500 * MS);
}

#[test]
fn the_backoff_of_a_single_proxy_doubles_up_to_half_the_longest_delay() {
    let settings = settings_of(1, 10 * SECOND);
    for (failures, backoff_ms) in [(0, 125), (1, 250), (2, 500), (3, 1_000)] {
        let backoff = backoff_ms * MS;
        assert_spread(&next_delays(&settings, failures), backoff..=2 * backoff);
    }
    for failures in [4, 5, 40] {
        let delays = next_delays(&settings, failures);
        assert_spread(&delays, 1_250 * MS..=2_500 * MS);
    }
}

#[test]
fn all_proxies_together_repeat_five_failed_calls_a_second() {
    // Six proxies: the delays are spread over one second, which is longer than the first backoff.
    let delays = next_delays(&settings_of(6, 10 * SECOND), 0);
    assert_spread(&delays, 125 * MS..=1_125 * MS);
}

#[test]
fn failed_calls_of_very_many_proxies_are_repeated_within_the_longest_delay() {
    let delays = next_delays(&settings_of(10_000, 10 * SECOND), 0);
    assert_spread(&delays, 125 * MS..=2_500 * MS);
}

#[test]
fn delays_are_at_most_four_poll_intervals_less_8_seconds_and_at_least_one_second() {
    for (poll_interval, longest) in [
        (2_500 * MS, 2 * SECOND),
        (2_250 * MS, SECOND),
        (2 * SECOND, SECOND),
        (MS, SECOND),
    ] {
        let settings = settings_of(10_000, poll_interval);
        assert_spread(&first_delays(&settings), 0..=longest);
        assert_spread(&next_delays(&settings, 10), longest / 2..=longest);
    }
}

#[test]
fn a_received_list_resets_the_backoff() {
    let settings = settings_of(1, 10 * SECOND);
    let delays_after_reset: Vec<Micros> = (0..SEEDS)
        .map(|seed| {
            let mut rng = Rng::with_seed(seed);
            let mut backoff = SubscriptionBackoff::default();
            for _ in 0..5 {
                backoff.next_delay(&settings, &mut rng);
            }
            backoff.reset();
            backoff.next_delay(&settings, &mut rng)
        })
        .collect();
    assert_spread(&delays_after_reset, 125 * MS..=250 * MS);
}
