//! Clients: arrivals and the quotas of tenants.

use tillerproxy::api::TenantIndex;
use tillerproxy_lab::fleet::client::{ArrivalProcess, TenantQuotas};

const SECOND: u64 = 1_000_000;

#[test]
fn arrivals_come_at_their_rate_also_where_intervals_are_under_a_microsecond() {
    for rate in [50.0, 200_000.0, 5_000_000.0] {
        let span = (100_000.0 / rate * 1e6) as u64;
        let mut arrivals = ArrivalProcess::new(rate, SECOND, SECOND + span, None, 1, 0);
        let times: Vec<u64> = std::iter::from_fn(|| arrivals.next_arrival()).collect();
        assert!(
            (99_000..101_000).contains(&times.len()),
            "{} of 100,000 at {rate} a second",
            times.len()
        );
        assert!(times.is_sorted() && times[0] >= SECOND);
    }
}

#[test]
fn a_tenant_may_send_its_quota_and_a_burst() {
    let mut quotas = TenantQuotas::new([100.0, 1.0].into_iter());
    let mut within = |tenant: u16, now: u64| {
        (0..200)
            .filter(|_| quotas.try_take(now, TenantIndex(tenant)))
            .count()
    };
    assert_eq!(
        (within(0, 0), within(1, 0)),
        (50, 10),
        "half a second's worth, ten calls at the least"
    );
    assert_eq!((within(0, SECOND / 10), within(1, 2 * SECOND)), (10, 2));
    assert_eq!(within(2, 0), 200, "a tenant without a quota");
}
