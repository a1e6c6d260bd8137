//! Helpers for the tests of several policies.

use crate::common::*;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// Returns `count` warm backends in one zone and one cell, with ids from 0.
pub fn single_zone_backends(count: u32) -> Vec<Backend> {
    (0..count)
        .map(|id| Backend {
            zone: Zone(0),
            cell: Cell(0),
            ..backend(id)
        })
        .collect()
}

/// Returns the default settings with one zone.
pub fn single_zone_settings() -> Settings {
    Settings {
        zone_count: 1,
        ..settings()
    }
}

/// Submits `per_tick` requests of class 0 every 10 ms, `ticks` times, with ids from `first_id`. Each attempt is served
/// after the `latency` of its backend.
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

/// Returns a balancer that has received `backends` as a cached list. It has no simulated proxy, because only a proxy
/// with real sockets sends the events that the tests pass to it.
pub fn balancer_without_simulated_proxy(backends: &[Backend]) -> Balancer {
    let mut balancer =
        Balancer::new(single_zone_settings(), 1, 0).expect("the settings of the test are valid");
    balancer.handle(
        0,
        Event::Membership(MembershipEvent::Cached(backends)),
        &mut Vec::new(),
    );
    balancer
}
