//! Quotas of tenants over all proxies: a token bucket for each tenant.

use crate::units::MICROS_PER_SECOND;
use tillerproxy::api::{Micros, TenantIndex};

/// Size of a bucket, seconds of its rate.
const BURST_S: f64 = 0.5;
/// Size of the smallest bucket, calls.
const MIN_BURST_CALLS: f64 = 10.0;

/// The quotas of all tenants.
#[derive(Clone, Debug)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Calls a second.
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn full(rate: f64) -> Self {
        Self {
            rate,
            tokens: Self::size(rate),
            refilled_at: 0,
        }
    }

    fn size(rate: f64) -> f64 {
        (rate * BURST_S).max(MIN_BURST_CALLS)
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = (now - self.refilled_at) as f64;
        let refilled = self.tokens + self.rate * elapsed / MICROS_PER_SECOND as f64;
        self.tokens = refilled.min(Self::size(self.rate));
        self.refilled_at = now;
    }

    fn try_take(&mut self, now: Micros) -> bool {
        self.refill(now);
        let within_quota = self.tokens >= 1.0;
        if within_quota {
            self.tokens -= 1.0;
        }
        within_quota
    }
}

impl TenantQuotas {
    /// Creates full buckets of these rates, calls a second; a tenant without one has no limit.
    #[must_use]
    pub fn new(rates: impl Iterator<Item = f64>) -> Self {
        Self {
            buckets: rates.map(TokenBucket::full).collect(),
        }
    }

    /// Takes a call from its tenant's quota; returns whether it lies within the quota.
    pub fn try_take(&mut self, now: Micros, tenant: TenantIndex) -> bool {
        self.buckets
            .get_mut(tenant.index())
            .is_none_or(|bucket| bucket.try_take(now))
    }
}
