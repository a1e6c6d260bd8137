//! Clients: arrivals and what tenants may ask for.

use tillerproxy_lab::fleet::client::{Allowances, ArrivalStream};

const SECOND: u64 = 1_000_000;

#[test]
fn arrivals_come_at_their_rate_also_where_gaps_are_under_a_microsecond() {
    for rate in [50.0, 200_000.0, 5_000_000.0] {
        let span = (100_000.0 / rate * 1e6) as u64;
        let mut stream = ArrivalStream::new(rate, SECOND, SECOND + span, None, 1, 0);
        let times: Vec<u64> = std::iter::from_fn(|| stream.next_arrival()).collect();
        assert!(
            (99_000..101_000).contains(&times.len()),
            "{} of 100,000 at {rate} a second",
            times.len()
        );
        assert!(times.is_sorted() && times[0] >= SECOND);
    }
}

#[test]
fn a_tenant_may_ask_for_its_allowance_and_a_burst() {
    let mut allowances = Allowances::new([100.0, 1.0].into_iter());
    let mut within =
        |tenant: u16, now: u64| (0..200).filter(|_| allowances.take(now, tenant)).count();
    assert_eq!(
        (within(0, 0), within(1, 0)),
        (50, 10),
        "half a second's worth, ten calls at the least"
    );
    assert_eq!((within(0, SECOND / 10), within(1, 2 * SECOND)), (10, 2));
    assert_eq!(within(2, 0), 200, "a tenant without an allowance");
}
