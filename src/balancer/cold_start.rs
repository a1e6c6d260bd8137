//! Cold start: what a backend that has just started may be sent (rule 4).

use super::limits::WINDOW;
use super::{Balancer, SECOND};
use crate::api::Micros;
use crate::state::ColdBudget;

/// Part of what tips a cold server over that all proxies together may send it.
const COLD_MARGIN: f64 = 0.3;

impl Balancer {
    /// What a cold server's budget gets in a second. Its capacity is judged from what a warm one of its size
    /// takes: the best seconds of this proxy, for all proxies, over all servers.
    pub(super) fn cold_rate(&self, now: Micros, index: usize, started: Micros) -> f64 {
        let safety = &self.settings.safety;
        let age = now.saturating_sub(started) as f64 / safety.slow_start_duration.max(1) as f64;
        let warmth = safety.slow_start_initial_capacity
            + (1.0 - safety.slow_start_initial_capacity) * age.min(1.0);
        let measured = self.served.peak * f64::from(self.settings.proxy_count)
            / self.index.ready.max(1) as f64;
        // Departure: of a limit under a slot some proxies hold one; the others can't spend their shares.
        let slots = self.limit(index) * self.pool.limit_factor;
        let held = if slots < 1.0 {
            self.slots(index, self.pool.limit_factor) as f64 / slots
        } else {
            1.0
        };
        let warm = measured.max(SECOND as f64 / self.mean(0));
        let share = self.share(self.servers[index].zone);
        (safety.collapse_load_factor * COLD_MARGIN).min(1.0) * warmth * warm * share * held
    }

    /// Brings a cold server's budget up to now; from now on it grows at the rate that holds now.
    pub(super) fn refill_cold(&mut self, now: Micros, index: usize) {
        let Some(cold) = self.servers[index].cold else {
            return;
        };
        let (tokens, rate) = (
            cold.available(now),
            self.cold_rate(now, index, cold.started),
        );
        self.servers[index].cold = Some(ColdBudget {
            tokens,
            rate,
            filled_at: now,
            ..cold
        });
    }
}

impl ColdBudget {
    /// The tokens that it holds now.
    pub(super) fn available(&self, now: Micros) -> f64 {
        let grown = self.tokens + self.rate * (now - self.filled_at) as f64 / SECOND as f64;
        grown.min(1.0_f64.max(self.rate / 4.0))
    }

    /// When it is filled again: once it holds a token, or when its rate may have changed.
    pub(super) fn recheck_at(&self) -> Micros {
        let wait = ((1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE) * SECOND as f64).ceil()
            as Micros;
        self.filled_at + wait.clamp(1, WINDOW)
    }
}
