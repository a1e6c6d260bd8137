//! Clients: arrival processes and the quotas of tenants.

use tillerproxy::api::TenantIndex;
use tillerproxy_lab::fleet::client::{ArrivalProcess, ArrivalSettings, TenantQuotas};

/// One second of virtual time, in microseconds.
const SECOND: u64 = 1_000_000;

#[test]
fn arrivals_keep_their_rate_even_if_intervals_are_shorter_than_a_microsecond() {
    for rate in [50.0, 200_000.0, 5_000_000.0] {
        let span = (100_000.0 / rate * 1e6) as u64;
        let settings = ArrivalSettings {
            calls_per_s: rate,
            begins_at: SECOND,
            ends_at: SECOND + span,
            tenant: None,
        };
        let mut arrivals = ArrivalProcess::new(settings, 1, 0);
        let times: Vec<u64> = std::iter::from_fn(|| arrivals.next_arrival()).collect();
        assert!(
            (99_000..101_000).contains(&times.len()),
            "{} of 100,000 arrivals at {rate} per second",
            times.len()
        );
        assert!(times.is_sorted() && times[0] >= SECOND);
    }
}

#[test]
fn calls_up_to_the_rate_and_burst_of_a_tenant_are_within_its_quota() {
    let mut quotas = TenantQuotas::new([100.0, 1.0].into_iter());
    let mut calls_within_quota = |tenant: u16, now: u64| {
        (0..200)
            .filter(|_| quotas.try_take(now, TenantIndex(tenant)))
            .count()
    };
    assert_eq!(
        (calls_within_quota(0, 0), calls_within_quota(1, 0)),
        (50, 10),
        "the burst is half a second of the rate, and at least ten calls"
    );
    assert_eq!(
        (
            calls_within_quota(0, SECOND / 10),
            calls_within_quota(1, 2 * SECOND)
        ),
        (10, 2)
    );
    assert_eq!(
        calls_within_quota(2, 0),
        200,
        "a tenant without a quota has no limit"
    );
}
