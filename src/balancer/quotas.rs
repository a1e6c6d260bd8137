//! Tenants' quotas: a token bucket for each tenant, and the recent requests of all tenants.
//!
//! The time to charge a request does not depend on the number of tenants: the sum over all tenants is updated with each
//! request instead of being computed again.

use super::time::{SECOND, seconds};
use crate::api::{Micros, Settings, TenantIndex};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Time for which a request counts as recent. Its weight falls linearly to 0 over this time.
const RECENT_REQUEST_TTL: Micros = 4 * SECOND;
/// Number of units that one recent request counts as. Recent requests are counted in integer units instead of as
/// floats, so that sums have no rounding error.
const UNITS_PER_REQUEST: i128 = 1 << 20;

/// The quota and the recent requests of one tenant at this proxy.
#[derive(Clone, Copy)]
struct Tenant {
    /// This proxy's share of the tenant's quota, in requests per second.
    rate_per_s: f64,
    /// Tokens in the bucket at `last_request_at`.
    tokens: f64,
    last_request_at: Micros,
    /// Recent requests as of `last_request_at`, with [`UNITS_PER_REQUEST`] for each.
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

    /// Returns the recent requests as of `now`, with [`UNITS_PER_REQUEST`] for each.
    fn recent(&self, now: Micros) -> i128 {
        let age = now
            .saturating_sub(self.last_request_at)
            .min(RECENT_REQUEST_TTL);
        self.recent * i128::from(RECENT_REQUEST_TTL - age) / i128::from(RECENT_REQUEST_TTL)
    }

    /// Refills the bucket up to now. Its capacity is the tokens of one second, but at least one token.
    fn refill(&mut self, now: Micros) {
        let elapsed_s = seconds(now.saturating_sub(self.last_request_at));
        let tokens = self.tokens + self.rate_per_s * elapsed_s;
        self.tokens = tokens.min(self.rate_per_s.max(1.0));
    }

    /// Removes a token if there is one, and reports whether there was.
    fn withdraw(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Time and tenant of a request, used to find the tenants whose requests are no longer recent.
struct RequestTime {
    at: Micros,
    tenant: TenantIndex,
}

/// The quotas of all tenants.
pub(crate) struct TenantQuotas {
    tenants: Vec<Tenant>,
    /// Sum of the recent requests of the tenants that sent one within [`RECENT_REQUEST_TTL`], in the units of
    /// [`UNITS_PER_REQUEST`].
    recent_sum: i128,
    /// Sum like `recent_sum`, but with each tenant's recent requests multiplied by the time of its last request. The
    /// part of `recent_sum` that has expired is computed from it.
    recent_moment: i128,
    /// Requests in the order of their times. Entries other than a tenant's last request are out of date.
    by_request_time: VecDeque<RequestTime>,
    /// Sum of the quotas of all tenants at this proxy, requests per second.
    total_rate_per_s: f64,
}

impl TenantQuotas {
    /// Returns the quotas of one proxy: each tenant's quota is divided evenly among the proxies.
    pub(crate) fn from_settings(settings: &Settings, now: Micros) -> Self {
        let proxies = f64::from(settings.proxy_count);
        let rates = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s / proxies);
        Self::new(rates, now)
    }

    /// Returns quotas from the requests per second that each tenant may send to this proxy. Each bucket starts with the
    /// tokens of one second.
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

    /// Charges a request to its tenant's quota and reports whether the tenant is over its quota.
    ///
    /// A tenant is over its quota if it has no token left and also uses a larger part of its quota at this proxy than
    /// the tenants do on average. The second condition is needed because the quota per proxy assumes that traffic is
    /// spread evenly over the proxies. When other proxies have failed, this one receives more than an equal share, and
    /// without the comparison all tenants would be over their quotas.
    pub(crate) fn charge(&mut self, now: Micros, tenant: TenantIndex) -> bool {
        !self.withdraw(now, tenant) && self.is_above_average(now, tenant)
    }

    /// Counts a request, removes a token for it and reports whether there was one. Returns `true` for an unknown
    /// tenant, which has no quota.
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
        self.by_request_time.push_back(RequestTime {
            at: now,
            tenant: index,
        });
        tenant.withdraw()
    }

    /// Reports whether a tenant uses a larger part of its quota than the tenants do on average. Requires that
    /// `withdraw` was just called with the same time.
    fn is_above_average(&self, now: Micros, index: TenantIndex) -> bool {
        let Some(tenant) = self.tenants.get(index.index()) else {
            return false;
        };
        let expired = self.recent_sum * i128::from(now) - self.recent_moment;
        let all_recent = self.recent_sum as f64 - expired as f64 / RECENT_REQUEST_TTL as f64;
        tenant.recent(now) as f64 * self.total_rate_per_s > all_recent * tenant.rate_per_s
    }

    /// Removes the tenants without recent requests from the sums.
    fn expire(&mut self, now: Micros) {
        while let Some(request) = self.by_request_time.front() {
            if now.saturating_sub(request.at) < RECENT_REQUEST_TTL {
                return;
            }
            let tenant = &mut self.tenants[request.tenant.index()];
            if tenant.last_request_at == request.at && tenant.recent > 0 {
                self.recent_sum -= tenant.recent;
                self.recent_moment -= tenant.recent * i128::from(request.at);
                tenant.recent = 0;
            }
            self.by_request_time.pop_front();
        }
    }
}
