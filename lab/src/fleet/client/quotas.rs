//! Quotas of the tenants over all proxies, as one token bucket for each tenant.

use crate::units::MICROS_PER_SECOND;
use tillerproxy::api::{Micros, TenantIndex};

/// Size of a bucket, in seconds of its rate.
const BURST_S: f64 = 0.5;
/// Minimum size of a bucket, calls.
const MIN_BURST_CALLS: f64 = 10.0;

/// The quotas of all tenants.
#[derive(Clone, Debug)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

/// A token bucket; each call takes one token.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Tokens added per second.
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn full(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: Self::size(rate_per_s),
            refilled_at: 0,
        }
    }

    fn size(rate_per_s: f64) -> f64 {
        (rate_per_s * BURST_S).max(MIN_BURST_CALLS)
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = (now - self.refilled_at) as f64;
        let refilled = self.tokens + self.rate_per_s * elapsed / MICROS_PER_SECOND as f64;
        self.tokens = refilled.min(Self::size(self.rate_per_s));
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
    /// Creates a full bucket for each rate, in calls per second. A tenant without a rate has no limit.
    #[must_use]
    pub fn new(rates_per_s: impl Iterator<Item = f64>) -> Self {
        Self {
            buckets: rates_per_s.map(TokenBucket::full).collect(),
        }
    }

    /// Takes one call from a tenant's quota and returns whether the call is within the quota.
    pub fn try_take(&mut self, now: Micros, tenant: TenantIndex) -> bool {
        self.buckets
            .get_mut(tenant.index())
            .is_none_or(|bucket| bucket.try_take(now))
    }
}
