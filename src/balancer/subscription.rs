//! Delays before calls to discovery.
//!
//! The delays apply to all calls except those after a stalled watch, which `membership` starts at once.
//!
//! Deviation: a call is made after a random delay instead of at once. All proxies may start, or see their calls fail,
//! at the same time. If all of them then called at once, discovery would stay overloaded.

use super::time::SECOND;
use crate::api::{Micros, Settings};
use fastrand::Rng;

#[cfg(test)]
mod tests;

/// Average interval between the first calls of all proxies together.
const FIRST_CALL_INTERVAL: Micros = SECOND / 50;
/// Average interval between the calls that all proxies together repeat after a failure.
const RETRY_INTERVAL: Micros = SECOND / 5;
/// Backoff after a first failed call; each further failure doubles it.
const BASE_BACKOFF: Micros = SECOND / 8;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Sum of the longest delay before a call (2.5 s) and the longest duration of a call (3.5 s), with a margin.
const DELAY_AND_CALL_DURATION: Micros = 8 * SECOND;
/// Number of poll intervals within which a proxy without a watch must receive a list after a failed call.
const POLL_INTERVALS_AFTER_FAILURE: u64 = 4;
/// Longest delay before a call. A proxy must receive a change within 6 s from the time at which discovery has the
/// change and is reachable; after these 6 s it counts as notified. The call takes up to 3.5 s of them.
const MAX_DELAY: Micros = 5 * SECOND / 2;

/// Backoff of calls to discovery, which grows with the failures since the last list.
#[derive(Default)]
pub(crate) struct SubscriptionBackoff {
    /// Number of failed calls and broken watches since the last list was received.
    failures: u32,
}

impl SubscriptionBackoff {
    /// Resets the backoff after a list was received.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before a proxy's first call.
    pub(crate) fn first_delay(&self, settings: &Settings, rng: &mut Rng) -> Micros {
        random_delay(0, FIRST_CALL_INTERVAL, settings, rng)
    }

    /// Records that a call failed or the watch broke, and returns the delay before the next call.
    pub(crate) fn next_delay(&mut self, settings: &Settings, rng: &mut Rng) -> Micros {
        let backoff = BASE_BACKOFF << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        random_delay(backoff, RETRY_INTERVAL, settings, rng)
    }
}

/// Returns a random delay of at least `backoff` and at most the longest allowed delay.
///
/// Beyond the backoff, delays are spread over the time that the calls of all proxies take at one call per `interval`,
/// or over a span as long as the backoff if that is longer. Discovery thus receives the calls about evenly. A backoff
/// above half of the longest allowed delay is reduced to that half.
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
