//! Slow start with extreme start times. Its budget over all proxies is tested in `tests/rules/slow_start.rs`.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Guards against an overflow in sums with the greatest start time or time to live of a key.
#[test]
fn the_greatest_start_time_and_key_ttl_do_not_overflow() {
    let mut settings = single_zone_settings();
    settings.classes[2].idempotency = Idempotency::Keyed {
        scope: KeyScope::AllBackends,
        ttl: Micros::MAX,
    };
    let never_warm = Backend {
        started_at: Some(Micros::MAX),
        ..backend(0)
    };
    let mut proxy = SimulatedProxy::new(settings, [never_warm, backend(2)]);
    proxy.submit_all(0..4, 2);
    let first = proxy.in_flight()[0];
    proxy.end_attempt(first.request, first.number, Outcome::Error);
    proxy.advance(3 * SECOND);
}
