use super::*;
use fastrand::Rng;

/// A tenant as a plain sum over all of them sees it.
#[derive(Clone, Copy)]
struct Plain {
    rate: f64,
    tokens: f64,
    at: Micros,
    asked: f64,
}

impl Plain {
    fn recent(&self, now: Micros) -> f64 {
        self.asked * (1.0 - (now - self.at) as f64 / FADES as f64).max(0.0)
    }

    fn take(&mut self, now: Micros) -> bool {
        self.asked = self.recent(now) + 1.0;
        self.tokens =
            (self.tokens + self.rate * (now - self.at) as f64 / 1e6).min(self.rate.max(1.0));
        self.at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

#[test]
fn demand_is_judged_as_by_a_sum_over_all_tenants() {
    let (mut judged, mut above) = (0, 0);
    for seed in 0..30 {
        let mut rng = Rng::with_seed(seed);
        let mut now = rng.u64(0..1 << 50);
        let rates: Vec<f64> = (0..rng.usize(1..40))
            .map(|_| f64::from(rng.u32(0..40)) / 10.0)
            .collect();
        let mut demand = Demand::new(rates.iter().copied(), now);
        let plain = |&rate: &f64| Plain {
            rate,
            tokens: rate,
            at: now,
            asked: 0.0,
        };
        let mut tenants: Vec<Plain> = rates.iter().map(plain).collect();
        for _ in 0..2_000 {
            now += if rng.u8(0..200) == 0 {
                rng.u64(0..2 * FADES)
            } else {
                rng.u64(0..100_000)
            };
            let some = rng.usize(1..=tenants.len());
            let tenant = rng.usize(0..some);
            assert_eq!(
                demand.take(now, tenant),
                tenants[tenant].take(now),
                "seed {seed}"
            );
            let all: f64 = tenants.iter().map(|tenant| tenant.recent(now)).sum();
            let own = tenants[tenant].recent(now) * rates.iter().sum::<f64>();
            let average = all * rates[tenant];
            // Units are a millionth of a request; what lies closer together may be judged either way.
            if (own - average).abs() > 1e-3 {
                assert_eq!(
                    demand.is_above_average(now, tenant),
                    own > average,
                    "seed {seed}: {own}, {average}"
                );
                judged += 1;
                above += usize::from(own > average);
            }
        }
    }
    assert!(
        above > 1_000 && judged - above > 1_000,
        "{above} of {judged}"
    );
}

#[test]
fn a_tenant_that_the_settings_do_not_name_is_within_its_share() {
    let mut demand = Demand::new([1.0].into_iter(), 0);
    assert!(demand.take(0, 7));
    assert!(!demand.is_above_average(0, 7));
}

#[test]
fn tenants_that_ask_no_more_leave_nothing_behind() {
    let mut demand = Demand::new([1.0; 100].into_iter(), 0);
    for tenant in 0..100 {
        demand.take(tenant as Micros, tenant);
    }
    demand.take(3 * FADES, 0);
    assert_eq!((demand.sum, demand.recent.len()), (UNITS, 1));
}
