//! Load reports, when a proxy sends each backend too few requests to complete windows of its own.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Returns the number of attempts that 20 of 100 proxies send to the backends with even ids. The load reports of these
/// backends give a service time of 900 ms if they `are_slow`, otherwise 100 ms as for all others.
fn sends_to_backends_with_even_ids(are_slow: bool) -> u32 {
    let mut settings = Settings {
        proxy_count: 100,
        ..single_zone_settings()
    };
    settings.load_report.service_time_ms = Some(0);
    let mut sends = 0;
    for proxy_index in 0..20 {
        let settings = Settings {
            proxy_index,
            ..settings.clone()
        };
        let mut proxy = SimulatedProxy::new(settings, single_zone_backends(60));
        for id in 0..100 {
            proxy.submit(request(id, 0));
            proxy.advance(5 * MS);
            if id % 3 != 0 {
                continue;
            }
            for attempt in proxy.in_flight() {
                let is_even = attempt.backend.0 % 2 == 0;
                sends += u32::from(is_even);
                let service_time_ms = if are_slow && is_even { 900.0 } else { 100.0 };
                proxy.end_attempt_with_report(
                    attempt.request,
                    attempt.number,
                    Outcome::Ok,
                    &[service_time_ms],
                );
            }
        }
    }
    sends
}

/// Guards against a slow backend that keeps its limit because no window of a single proxy is ever complete. The limits
/// of one of 100 proxies add up to less than three slots, so they are scaled up.
#[test]
fn a_load_report_of_a_slow_backend_lowers_its_limit_at_once_if_a_proxy_has_less_than_three_slots() {
    let slow = sends_to_backends_with_even_ids(true);
    let not_slow = sends_to_backends_with_even_ids(false);
    assert!(
        slow * 4 < not_slow * 3,
        "{slow} sends to slow backends, expected less than three quarters of the {not_slow} when they are not slow"
    );
}
