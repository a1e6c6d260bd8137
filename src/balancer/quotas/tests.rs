use super::*;
use fastrand::Rng;

/// A tenant in a model that sums over all of them.
#[derive(Clone, Copy)]
struct Plain {
    rate: f64,
    tokens: f64,
    last_request_at: Micros,
    recent_requests: f64,
}

impl Plain {
    fn recent(&self, now: Micros) -> f64 {
        self.recent_requests
            * (1.0 - (now - self.last_request_at) as f64 / RECENT_TTL as f64).max(0.0)
    }

    fn withdraw(&mut self, now: Micros) -> bool {
        self.recent_requests = self.recent(now) + 1.0;
        self.tokens = (self.tokens + self.rate * (now - self.last_request_at) as f64 / 1e6)
            .min(self.rate.max(1.0));
        self.last_request_at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

#[test]
fn tenants_are_compared_as_by_a_sum_over_all_of_them() {
    let (mut compared, mut above) = (0, 0);
    for seed in 0..30 {
        let mut rng = Rng::with_seed(seed);
        let mut now = rng.u64(0..1 << 50);
        let rates: Vec<f64> = (0..rng.usize(1..40))
            .map(|_| f64::from(rng.u32(0..40)) / 10.0)
            .collect();
        let mut quotas = TenantQuotas::new(rates.iter().copied(), now);
        let plain = |&rate: &f64| Plain {
            rate,
            tokens: rate,
            last_request_at: now,
            recent_requests: 0.0,
        };
        let mut tenants: Vec<Plain> = rates.iter().map(plain).collect();
        for _ in 0..2_000 {
            now += if rng.u8(0..200) == 0 {
                rng.u64(0..2 * RECENT_TTL)
            } else {
                rng.u64(0..100_000)
            };
            let some = rng.usize(1..=tenants.len());
            let tenant = rng.usize(0..some);
            let index = TenantIndex(tenant as u16);
            assert_eq!(
                quotas.withdraw(now, index),
                tenants[tenant].withdraw(now),
                "seed {seed}"
            );
            let all: f64 = tenants.iter().map(|tenant| tenant.recent(now)).sum();
            let own = tenants[tenant].recent(now) * rates.iter().sum::<f64>();
            let average = all * rates[tenant];
            // A unit is a millionth of a request; what lies closer together may compare either way.
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
fn a_tenant_that_the_settings_do_not_name_is_within_its_quota() {
    let mut quotas = TenantQuotas::new([1.0].into_iter(), 0);
    assert!(quotas.withdraw(0, TenantIndex(7)));
    assert!(!quotas.is_above_average(0, TenantIndex(7)));
}

#[test]
fn tenants_that_send_no_more_leave_nothing_behind() {
    let mut quotas = TenantQuotas::new([1.0; 100].into_iter(), 0);
    for tenant in 0..100 {
        quotas.withdraw(Micros::from(tenant), TenantIndex(tenant));
    }
    quotas.withdraw(3 * RECENT_TTL, TenantIndex(0));
    assert_eq!(
        (quotas.recent_sum, quotas.by_request_time.len()),
        (UNITS_PER_REQUEST, 1)
    );
}
