//! Slow start: a limit on the rate of attempts to a backend that has just started (rule 4, slow start).
//!
//! A backend that has just started looks like the least loaded one to all proxies at the same time. Each proxy
//! therefore sends it only its own share of the load that the backend can serve. The share is enforced by a token
//! bucket, whose random initial fill level keeps the requests of the proxies from arriving together.

use super::limits::MIN_WINDOW_DURATION;
use super::time::MICROS_PER_SECOND;
use crate::api::{Micros, SafetyLimits};

#[cfg(test)]
mod tests;

/// Maximum load that all proxies together may send to a backend, as a fraction of the load at which it collapses. The
/// rest is a margin for estimates that are too high and for requests that arrive together.
const MAX_FRACTION_OF_COLLAPSE_LOAD: f64 = 0.3;
/// Rate of the bucket divided by its capacity. The capacity is thus the tokens of a quarter of a second, but at least
/// one token.
const BURST_DIVISOR: f64 = 4.0;

/// Capacity of a backend after slow start, from which the rate of a [`SlowStartBudget`] is computed.
pub(crate) struct WarmCapacity {
    /// Requests per second that a warm backend serves.
    pub(crate) requests_per_s: f64,
    /// This proxy's share of the backend's capacity.
    pub(crate) proxy_fraction: f64,
    /// Factor that makes up for rounding the limit to whole slots, applied to this proxy's share.
    pub(crate) rounding_factor: f64,
}

/// Token bucket for the attempts of this proxy to a backend in slow start. Each attempt takes one token.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartBudget {
    /// Start of the backend's process.
    started_at: Micros,
    /// Tokens at `refilled_at`.
    tokens: f64,
    refilled_at: Micros,
    /// Tokens per second since `refilled_at`.
    rate_per_s: f64,
}

impl SlowStartBudget {
    /// Returns the budget of a backend whose process started at `started_at`, with `tokens` from 0 to 1. The budget
    /// does not grow before its first refill, which sets the rate.
    pub(crate) fn new(now: Micros, started_at: Micros, tokens: f64) -> Self {
        Self {
            started_at,
            tokens,
            refilled_at: now,
            rate_per_s: 0.0,
        }
    }

    /// Returns the time at which the backend's process started.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Reports whether slow start is over, so that the backend has its full capacity.
    pub(crate) fn is_over(&self, now: Micros, safety: &SafetyLimits) -> bool {
        now >= self.started_at.saturating_add(safety.slow_start_duration)
    }

    /// Reports whether the budget holds a token now, so that an attempt may be sent.
    pub(crate) fn has_token(&self, now: Micros) -> bool {
        self.available(now) >= 1.0
    }

    /// Reports whether the stored tokens suffice for an attempt: those as of the last refill, less withdrawals and plus
    /// deposits since then. Tokens that have accrued since the refill are not counted.
    pub(crate) fn has_stored_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an attempt.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds a token for an attempt that the backend served within the latency threshold, which shows that it can serve
    /// another one.
    pub(crate) fn deposit(&mut self) {
        self.tokens += 1.0;
    }

    /// Adds the tokens that have accrued until now, and sets the rate from `capacity` and the age of the backend.
    pub(crate) fn refill(&mut self, now: Micros, safety: &SafetyLimits, capacity: &WarmCapacity) {
        self.tokens = self.available(now);
        self.rate_per_s = self.rate(now, safety, capacity);
        self.refilled_at = now;
    }

    /// Returns the time at which to check again whether the budget holds a token: the time at which a token is due at
    /// the present rate, but at most [`MIN_WINDOW_DURATION`] after the last refill, since the rate may change.
    pub(crate) fn next_token_check_at(&self) -> Micros {
        let rate = self.rate_per_s.max(f64::MIN_POSITIVE);
        let wait = ((1.0 - self.tokens) / rate * MICROS_PER_SECOND).ceil() as Micros;
        self.refilled_at + wait.clamp(1, MIN_WINDOW_DURATION)
    }

    /// Returns the tokens that the budget holds now.
    fn available(&self, now: Micros) -> f64 {
        let elapsed = (now - self.refilled_at) as f64;
        let tokens = self.tokens + self.rate_per_s * elapsed / MICROS_PER_SECOND;
        let burst = 1.0_f64.max(self.rate_per_s / BURST_DIVISOR);
        tokens.min(burst)
    }

    /// Returns the rate in tokens per second: this proxy's share of the load that is safe at the backend's present
    /// capacity. The capacity grows linearly with the backend's age over the duration of slow start.
    fn rate(&self, now: Micros, safety: &SafetyLimits, capacity: &WarmCapacity) -> f64 {
        let duration = safety.slow_start_duration.max(1) as f64;
        let age = now.saturating_sub(self.started_at) as f64 / duration;
        let initial = safety.slow_start_initial_capacity;
        let capacity_part = initial + (1.0 - initial) * age.min(1.0);
        let safe_load = (safety.collapse_load_factor * MAX_FRACTION_OF_COLLAPSE_LOAD).min(1.0);
        safe_load
            * capacity_part
            * capacity.requests_per_s
            * capacity.proxy_fraction
            * capacity.rounding_factor
    }
}
