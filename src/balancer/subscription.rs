//! When discovery is asked for changes.
//!
//! A watch that stalled is opened anew at once (`membership`); this is about all other calls.
//!
//! Departure: not at once, but after a random delay. All proxies start together and see the same calls fail; together
//! their calls would keep discovery overloaded.

use super::time::SECOND;
use crate::api::{Micros, Settings};
use fastrand::Rng;

#[cfg(test)]
mod tests;

/// All proxies together make a first call this often.
const FIRST_CALL_INTERVAL: Micros = SECOND / 50;
/// All proxies together repeat failed calls this often.
const RETRY_INTERVAL: Micros = SECOND / 5;
/// First backoff after a failed call; each further one doubles it.
const BASE_BACKOFF: Micros = SECOND / 8;
/// Most times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest delay ahead of a call (2.5 s) and longest time of the call (3.5 s) together, with time to spare.
const DELAY_AND_CALL_DURATION: Micros = 8 * SECOND;
/// The rules allow a proxy without a watch this many poll intervals after a call that failed.
const POLL_INTERVALS_AFTER_FAILURE: u64 = 4;
/// Longest delay: the rules take a change as known 6 s after discovery had it and could be reached, and a call takes up
/// to 3.5 s.
const MAX_DELAY: Micros = 5 * SECOND / 2;

/// The calls to discovery that have failed since the last list came.
#[derive(Default)]
pub(crate) struct SubscriptionBackoff {
    failures: u32,
}

impl SubscriptionBackoff {
    /// Notes that a list came.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay of a proxy's first call.
    pub(crate) fn first_delay(&self, settings: &Settings, rng: &mut Rng) -> Micros {
        random_delay(0, FIRST_CALL_INTERVAL, settings, rng)
    }

    /// Notes that a call failed or the watch broke; returns the delay of the next call.
    pub(crate) fn next_delay(&mut self, settings: &Settings, rng: &mut Rng) -> Micros {
        let backoff = BASE_BACKOFF << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        random_delay(backoff, RETRY_INTERVAL, settings, rng)
    }
}

/// Returns a delay of at least `backoff`, spread over the time that all proxies take at one call an `interval`, within
/// what the rules allow.
fn random_delay(backoff: Micros, interval: Micros, settings: &Settings, rng: &mut Rng) -> Micros {
    let allowed = settings
        .safety
        .poll_interval
        .saturating_mul(POLL_INTERVALS_AFTER_FAILURE)
        .saturating_sub(DELAY_AND_CALL_DURATION)
        .max(SECOND);
    let max_delay = allowed.min(MAX_DELAY);
    let backoff = backoff.min(max_delay / 2);
    let calls_of_all = u64::from(settings.proxy_count - 1) * interval;
    let spread = backoff.max(calls_of_all).min(max_delay - backoff);
    backoff + rng.u64(0..=spread)
}
