//! Slow start: what a backend that has just started may be sent (rule 4).
//!
//! A backend that warms up looks the least loaded of all to every proxy at once. Each proxy therefore sends it only its
//! own part of what the backend can take, from a token bucket that starts at a random fill level, so that the proxies'
//! requests do not come together.

use super::limits::MIN_WINDOW;
use super::time::{MICROS_PER_SECOND, SECOND};
use crate::api::{Micros, SafetyLimits};

#[cfg(test)]
mod tests;

/// Part of the load at which a backend collapses that all proxies together may send it; the rest is for estimates that
/// are too high and for requests that come together.
const MAX_PART_OF_COLLAPSE_LOAD: f64 = 0.3;
/// The bucket holds what comes in this part of a second, and one token at the least.
const BURST_DIVISOR: f64 = 4.0;

/// What a [`SlowStartBudget`]'s rate follows from.
pub(crate) struct WarmCapacity {
    /// What a warm backend serves, requests a second.
    pub(crate) requests_per_s: f64,
    /// This proxy's part of the backend.
    pub(crate) proxy_fraction: f64,
    /// What rounding the limit to whole slots multiplies this proxy's part by.
    pub(crate) rounding_gain: f64,
}

/// What this proxy may send a backend that warms up: one token an attempt.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartBudget {
    started_at: Micros,
    tokens: f64,
    refilled_at: Micros,
    rate_per_s: f64,
}

impl SlowStartBudget {
    /// Returns the budget of a backend that started at `started_at`. It begins with `tokens`, from 0 to 1, and grows once
    /// it is refilled.
    pub(crate) fn new(now: Micros, started_at: Micros, tokens: f64) -> Self {
        Self {
            started_at,
            tokens,
            refilled_at: now,
            rate_per_s: 0.0,
        }
    }

    /// Returns when the backend's process started.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether the backend has its full capacity.
    pub(crate) fn is_over(&self, now: Micros, safety: &SafetyLimits) -> bool {
        now >= self.started_at.saturating_add(safety.slow_start_duration)
    }

    /// Whether an attempt may be sent.
    pub(crate) fn has_token(&self, now: Micros) -> bool {
        self.available(now) >= 1.0
    }

    /// Whether the budget held a token when it was last refilled.
    pub(crate) fn had_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an attempt.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the token of an attempt that the backend answered in good time: it can take as much again.
    pub(crate) fn deposit(&mut self) {
        self.tokens += 1.0;
    }

    /// Brings the budget up to now; from now on it grows at the rate that follows from `capacity`.
    pub(crate) fn refill(&mut self, now: Micros, safety: &SafetyLimits, capacity: &WarmCapacity) {
        self.tokens = self.available(now);
        self.rate_per_s = self.rate(now, safety, capacity);
        self.refilled_at = now;
    }

    /// Returns when to look at the budget again: once it holds a token, or when its rate may have changed.
    pub(crate) fn next_check_at(&self) -> Micros {
        let rate = self.rate_per_s.max(f64::MIN_POSITIVE);
        let wait = ((1.0 - self.tokens) / rate * SECOND as f64).ceil() as Micros;
        self.refilled_at + wait.clamp(1, MIN_WINDOW)
    }

    fn available(&self, now: Micros) -> f64 {
        let elapsed = (now - self.refilled_at) as f64;
        let tokens = self.tokens + self.rate_per_s * elapsed / MICROS_PER_SECOND;
        let burst = 1.0_f64.max(self.rate_per_s / BURST_DIVISOR);
        tokens.min(burst)
    }

    fn rate(&self, now: Micros, safety: &SafetyLimits, capacity: &WarmCapacity) -> f64 {
        let duration = safety.slow_start_duration.max(1) as f64;
        let age = now.saturating_sub(self.started_at) as f64 / duration;
        let initial = safety.slow_start_initial_capacity;
        let capacity_part = initial + (1.0 - initial) * age.min(1.0);
        let safe_load = (safety.collapse_load_factor * MAX_PART_OF_COLLAPSE_LOAD).min(1.0);
        safe_load
            * capacity_part
            * capacity.requests_per_s
            * capacity.proxy_fraction
            * capacity.rounding_gain
    }
}
