//! Tests of the quotas, which are compared with a model that sums over all tenants.

use super::*;
use fastrand::Rng;

/// Quota and recent requests of one tenant in the model, computed with floats.
#[derive(Clone, Copy)]
struct ModelTenant {
    rate: f64,
    tokens: f64,
    last_request_at: Micros,
    recent_requests: f64,
}

impl ModelTenant {
    fn new(rate: f64, now: Micros) -> Self {
        Self {
            rate,
            tokens: rate,
            last_request_at: now,
            recent_requests: 0.0,
        }
    }

    fn recent_requests_at(&self, now: Micros) -> f64 {
        let age = (now - self.last_request_at) as f64 / RECENT_REQUEST_TTL as f64;
        self.recent_requests * (1.0 - age).max(0.0)
    }

    fn withdraw(&mut self, now: Micros) -> bool {
        self.recent_requests = self.recent_requests_at(now) + 1.0;
        let earned = self.rate * (now - self.last_request_at) as f64 / 1e6;
        self.tokens = (self.tokens + earned).min(self.rate.max(1.0));
        self.last_request_at = now;
        let is_within_quota = self.tokens >= 1.0;
        if is_within_quota {
            self.tokens -= 1.0;
        }
        is_within_quota
    }
}

#[test]
fn quotas_and_their_average_use_match_a_model_that_sums_over_all_tenants() {
    let mut compared = 0;
    let mut above = 0;
    for seed in 0..30 {
        let mut rng = Rng::with_seed(seed);
        let mut now = rng.u64(0..1 << 50);
        let rates: Vec<f64> = (0..rng.usize(1..40))
            .map(|_| f64::from(rng.u32(0..40)) / 10.0)
            .collect();
        let total_rate: f64 = rates.iter().sum();
        let mut quotas = TenantQuotas::new(rates.iter().copied(), now);
        let mut model: Vec<ModelTenant> = rates
            .iter()
            .map(|&rate| ModelTenant::new(rate, now))
            .collect();
        for _ in 0..2_000 {
            now += if rng.u8(0..200) == 0 {
                rng.u64(0..2 * RECENT_REQUEST_TTL)
            } else {
                rng.u64(0..100_000)
            };
            // Tenants with a low index send more often.
            let upper_bound = rng.usize(1..=model.len());
            let tenant = rng.usize(0..upper_bound);
            let index = TenantIndex(tenant as u16);
            assert_eq!(
                quotas.withdraw(now, index),
                model[tenant].withdraw(now),
                "seed {seed}"
            );
            let recent_of_all: f64 = model
                .iter()
                .map(|tenant| tenant.recent_requests_at(now))
                .sum();
            let own = model[tenant].recent_requests_at(now) * total_rate;
            let average = recent_of_all * rates[tenant];
            // A unit is about a millionth of a request. Closer values may compare either way.
            if (own - average).abs() > 1e-3 {
                assert_eq!(
                    quotas.is_above_average(now, index),
                    own > average,
                    "seed {seed}: {own}, {average}"
                );
                compared += 1;
                above += usize::from(own > average);
            }
        }
    }
    assert!(
        above > 1_000 && compared - above > 1_000,
        "{above} of {compared}"
    );
}

#[test]
fn an_unknown_tenant_is_never_over_its_quota() {
    let mut quotas = TenantQuotas::new([1.0].into_iter(), 0);
    assert!(quotas.withdraw(0, TenantIndex(7)));
    assert!(!quotas.is_above_average(0, TenantIndex(7)));
}

#[test]
fn tenants_without_recent_requests_are_removed_from_the_sums() {
    let mut quotas = TenantQuotas::new([1.0; 100].into_iter(), 0);
    for tenant in 0..100 {
        quotas.withdraw(Micros::from(tenant), TenantIndex(tenant));
    }
    quotas.withdraw(3 * RECENT_REQUEST_TTL, TenantIndex(0));
    assert_eq!(quotas.recent_sum, UNITS_PER_REQUEST);
    assert_eq!(quotas.by_request_time.len(), 1);
}
