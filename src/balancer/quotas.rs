//! Tenants' quotas: a token bucket for each tenant, and the recent requests of all.
//!
//! A request costs the same however many tenants there are: the sum over all of them is kept up to date as they send.

use super::time::{MICROS_PER_SECOND, SECOND};
use crate::api::{Micros, Settings, TenantIndex};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// A request counts as recent, with a weight that falls to 0, for this long.
const RECENT_REQUEST_TTL: Micros = 4 * SECOND;
/// Units that a recent request is counted in; whole numbers add up without a rounding error.
const UNITS_PER_REQUEST: i128 = 1 << 20;

/// One tenant.
#[derive(Clone, Copy)]
struct Tenant {
    /// Requests a second within its quota, at this proxy.
    rate_per_s: f64,
    tokens: f64,
    last_request_at: Micros,
    /// Its recent requests as of the last one, in units.
    recent: i128,
}

impl Tenant {
    fn new(rate_per_s: f64, now: Micros) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s,
            last_request_at: now,
            recent: 0,
        }
    }

    /// Returns its recent requests as of now, in units.
    fn recent(&self, now: Micros) -> i128 {
        let age = now
            .saturating_sub(self.last_request_at)
            .min(RECENT_REQUEST_TTL);
        self.recent * i128::from(RECENT_REQUEST_TTL - age) / i128::from(RECENT_REQUEST_TTL)
    }

    /// Refills the bucket up to now; it holds a second's tokens, and one at the least.
    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.last_request_at) as f64 / MICROS_PER_SECOND;
        let tokens = self.tokens + self.rate_per_s * elapsed_s;
        self.tokens = tokens.min(self.rate_per_s.max(1.0));
    }

    /// Takes a token, if there is one.
    fn withdraw(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// The quotas of all tenants.
pub(crate) struct TenantQuotas {
    tenants: Vec<Tenant>,
    /// Sum of the recent requests of the tenants that sent one within [`RECENT_REQUEST_TTL`], in units.
    recent_sum: i128,
    /// The same sum with each tenant's requests times the time of its last one.
    recent_moment: i128,
    /// Tenants by the time of a request; only the last one of a tenant counts.
    by_request_time: VecDeque<(Micros, TenantIndex)>,
    total_rate_per_s: f64,
}

impl TenantQuotas {
    /// Returns the quotas that the settings give one proxy.
    pub(crate) fn from_settings(settings: &Settings, now: Micros) -> Self {
        let proxies = f64::from(settings.proxy_count);
        let rates = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s / proxies);
        Self::new(rates, now)
    }

    /// Returns tenants with these quotas, requests a second at this proxy. Each begins with a second's tokens.
    pub(crate) fn new(rates_per_s: impl Iterator<Item = f64>, now: Micros) -> Self {
        let tenants: Vec<Tenant> = rates_per_s.map(|rate| Tenant::new(rate, now)).collect();
        let total_rate_per_s = tenants.iter().map(|tenant| tenant.rate_per_s).sum();
        Self {
            tenants,
            recent_sum: 0,
            recent_moment: 0,
            by_request_time: VecDeque::new(),
            total_rate_per_s,
        }
    }

    /// Charges a request to its tenant's quota; returns whether the tenant is over it.
    ///
    /// A proxy knows only its own part of the traffic, and that is more than its even part where other proxies have
    /// failed: a tenant without a token is over its quota only if it also uses more of it here than the tenants do on
    /// average.
    pub(crate) fn charge(&mut self, now: Micros, tenant: TenantIndex) -> bool {
        !self.withdraw(now, tenant) && self.is_above_average(now, tenant)
    }

    /// Counts a request and takes a token for it; returns whether there was one. A tenant that is not known has no quota
    /// to exceed.
    fn withdraw(&mut self, now: Micros, index: TenantIndex) -> bool {
        self.expire(now);
        let Some(tenant) = self.tenants.get_mut(index.index()) else {
            return true;
        };
        let counted = tenant.recent;
        let counted_at = tenant.last_request_at;
        let recent = tenant.recent(now) + UNITS_PER_REQUEST;
        self.recent_sum += recent - counted;
        self.recent_moment += recent * i128::from(now) - counted * i128::from(counted_at);
        tenant.refill(now);
        tenant.recent = recent;
        tenant.last_request_at = now;
        self.by_request_time.push_back((now, index));
        tenant.withdraw()
    }

    /// Whether a tenant uses more of its quota than the tenants do on average. Called right after `withdraw`.
    fn is_above_average(&self, now: Micros, index: TenantIndex) -> bool {
        let Some(tenant) = self.tenants.get(index.index()) else {
            return false;
        };
        let expired = self.recent_sum * i128::from(now) - self.recent_moment;
        let all_recent = self.recent_sum as f64 - expired as f64 / RECENT_REQUEST_TTL as f64;
        tenant.recent(now) as f64 * self.total_rate_per_s > all_recent * tenant.rate_per_s
    }

    /// Leaves out the tenants whose requests are no longer recent.
    fn expire(&mut self, now: Micros) {
        while let Some(&(requested_at, index)) = self.by_request_time.front() {
            if now.saturating_sub(requested_at) < RECENT_REQUEST_TTL {
                return;
            }
            self.by_request_time.pop_front();
            let tenant = &mut self.tenants[index.index()];
            if tenant.last_request_at == requested_at && tenant.recent > 0 {
                self.recent_sum -= tenant.recent;
                self.recent_moment -= tenant.recent * i128::from(requested_at);
                tenant.recent = 0;
            }
        }
    }
}
