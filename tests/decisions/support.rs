//! What the tests of several policies share.

use crate::common::*;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// `count` warm backends in one zone.
pub fn single_zone_backends(count: u32) -> Vec<Backend> {
    (0..count)
        .map(|id| Backend {
            zone: Zone(0),
            cell: Cell(0),
            ..backend(id)
        })
        .collect()
}

/// The usual settings with one zone.
pub fn single_zone() -> Settings {
    Settings {
        zone_count: 1,
        ..settings()
    }
}

/// Submits `per_tick` requests every 10 ms, `ticks` times, each served after `latency`.
pub fn run_load(
    proxy: &mut SimulatedProxy,
    first_id: u32,
    ticks: u32,
    per_tick: u32,
    latency: impl Fn(BackendId) -> Micros,
) {
    for tick in 0..ticks {
        let first_of_tick = first_id + tick * per_tick;
        proxy.submit_all(first_of_tick..first_of_tick + per_tick, 0);
        proxy.advance(10 * MS);
        proxy.serve(&latency);
    }
}

/// A balancer without a simulated proxy around it, for events that only real sockets bring.
pub fn bare_balancer(backends: &[Backend]) -> Balancer {
    let mut balancer = Balancer::new(single_zone(), 1, 0).expect("good settings");
    balancer.handle(
        0,
        Event::Membership(MembershipEvent::Cached(backends)),
        &mut Vec::new(),
    );
    balancer
}
