//! Slow start at the ends of the clock. Its budget over all proxies is tested with the rules.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Guards against overflow of a start time or of a key's time to live at the far end of the clock.
#[test]
fn start_times_and_key_lifetimes_at_the_far_end_of_the_clock_do_not_overflow() {
    let mut settings = single_zone();
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
