//! What each tenant asks of this proxy: a token bucket for its share, and its requests of late.
//!
//! A request costs the same however many tenants there are: the sum over all of them is kept up as they ask.

use crate::api::Micros;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// A request counts less and less for this long.
const FADES: Micros = 4_000_000;
const SECOND: f64 = 1e6;
/// Parts of a request in which demand is counted; whole numbers add up without a rounding error.
const UNITS: i128 = 1 << 20;

/// One tenant.
#[derive(Clone, Copy)]
struct Tenant {
    /// Requests a second within its share, at this proxy.
    rate: f64,
    tokens: f64,
    /// When it last asked, and its requests of late as of then, in units.
    asked_at: Micros,
    asked: i128,
}

impl Tenant {
    fn asked(&self, now: Micros) -> i128 {
        let age = now.saturating_sub(self.asked_at).min(FADES);
        self.asked * i128::from(FADES - age) / i128::from(FADES)
    }
}

/// All tenants.
pub(crate) struct Demand {
    tenants: Vec<Tenant>,
    /// Of the tenants that asked within `FADES`: the sum of their requests of late, and of these times `asked_at`.
    sum: i128,
    moment: i128,
    /// Tenants by the time at which they asked; only the last one of a tenant counts.
    recent: VecDeque<(Micros, usize)>,
    total_rate: f64,
}

impl Demand {
    /// Tenants with these shares, requests a second at this proxy. Each begins with a second's tokens.
    pub(crate) fn new(rates: impl Iterator<Item = f64>, now: Micros) -> Self {
        let tenant = |rate: f64| Tenant {
            rate,
            tokens: rate,
            asked_at: now,
            asked: 0,
        };
        let tenants: Vec<Tenant> = rates.map(tenant).collect();
        let total_rate = tenants.iter().map(|tenant| tenant.rate).sum();
        Self {
            tenants,
            sum: 0,
            moment: 0,
            recent: VecDeque::new(),
            total_rate,
        }
    }

    /// A tenant asks: whether it has a token left, which it uses up. A tenant that is not known has none to ask for.
    pub(crate) fn take(&mut self, now: Micros, tenant: usize) -> bool {
        self.forget(now);
        let Some(asking) = self.tenants.get_mut(tenant) else {
            return true;
        };
        let before = asking.asked;
        let (left, elapsed) = (
            asking.asked(now),
            now.saturating_sub(asking.asked_at) as f64 / SECOND,
        );
        self.sum += left + UNITS - before;
        self.moment += (left + UNITS) * i128::from(now) - before * i128::from(asking.asked_at);
        (asking.asked, asking.asked_at) = (left + UNITS, now);
        asking.tokens = (asking.tokens + asking.rate * elapsed).min(asking.rate.max(1.0));
        self.recent.push_back((now, tenant));
        let within = asking.tokens >= 1.0;
        asking.tokens -= f64::from(u8::from(within));
        within
    }

    /// Whether a tenant asks for more of its share than the tenants do on the whole. Called right after `take`.
    pub(crate) fn is_above_average(&self, now: Micros, tenant: usize) -> bool {
        let Some(asking) = self.tenants.get(tenant) else {
            return false;
        };
        let faded = self.sum * i128::from(now) - self.moment;
        let all = self.sum as f64 - faded as f64 / FADES as f64;
        asking.asked(now) as f64 * self.total_rate > all * asking.rate
    }

    /// Tenants that have not asked for so long that nothing is left count no more.
    fn forget(&mut self, now: Micros) {
        while let Some(&(asked_at, tenant)) = self.recent.front() {
            if now.saturating_sub(asked_at) < FADES {
                return;
            }
            self.recent.pop_front();
            let gone = &mut self.tenants[tenant];
            if gone.asked_at == asked_at && gone.asked > 0 {
                self.sum -= gone.asked;
                self.moment -= gone.asked * i128::from(asked_at);
                gone.asked = 0;
            }
        }
    }
}
