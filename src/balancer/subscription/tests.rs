//! The bounds of the delays of calls to discovery.

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

/// Asserts that the delays lie within bounds, and that they are spread over them.
fn assert_spread(delays: &[Micros], bounds: RangeInclusive<Micros>) {
    for delay in delays {
        assert!(bounds.contains(delay), "{delay} us, not in {bounds:?}");
    }
    let width = bounds.end() - bounds.start();
    let least = delays.iter().min().expect("delays");
    let greatest = delays.iter().max().expect("delays");
    assert!(*least <= bounds.start() + width / 10, "{least} us at least");
    assert!(
        *greatest >= bounds.end() - width / 10,
        "{greatest} us at most"
    );
}

fn first_delays(settings: &Settings) -> Vec<Micros> {
    let backoff = SubscriptionBackoff::default();
    (0..SEEDS)
        .map(|seed| backoff.first_delay(settings, &mut Rng::with_seed(seed)))
        .collect()
}

/// Returns the delay after so many failures before, for each seed.
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
fn a_first_call_waits_no_longer_than_the_longest_delay() {
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
    // Six proxies take a second, beyond the first backoff.
    let delays = next_delays(&settings_of(6, 10 * SECOND), 0);
    assert_spread(&delays, 125 * MS..=1_125 * MS);
}

#[test]
fn failed_calls_of_very_many_proxies_are_repeated_within_the_longest_delay() {
    let delays = next_delays(&settings_of(10_000, 10 * SECOND), 0);
    assert_spread(&delays, 125 * MS..=2_500 * MS);
}

#[test]
fn delays_leave_a_call_its_time_within_four_poll_intervals() {
    // Four intervals less 8 s for the call, but a second at the least.
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
fn after_a_list_the_backoff_starts_anew() {
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
