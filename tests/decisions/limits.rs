//! Concurrency limits: when they rise and fall, and which outcomes must not change them.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

#[test]
fn limits_rise_at_low_latency_and_fall_near_the_latency_objective() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(2));
    run_load(&mut proxy, 0, 300, 4, |_| 40 * MS);
    let quick = proxy.in_flight().len();
    assert!(
        quick >= 8,
        "expected at least 8 attempts in flight, above the initial limits of two backends: {quick}"
    );
    run_load(&mut proxy, 10_000, 500, 4, |_| 450 * MS);
    let slow = proxy.in_flight().len();
    assert!(
        slow <= 6,
        "expected at most 6 attempts in flight after latency near the objective: {slow}"
    );
}

/// Guards against counting the short duration of an error or a rejection as a sample of low latency.
#[test]
fn errors_and_rejections_with_a_short_duration_raise_no_limit() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(1));
    for id in 0..40 {
        proxy.submit(request(id, 0));
        let outcome = if id % 3 == 0 {
            Outcome::Error
        } else {
            Outcome::Rejected
        };
        proxy.end_all(outcome);
        proxy.advance(50 * MS);
    }
    proxy.advance(5 * SECOND);
    proxy.submit_all(1000..1100, 0);
    let in_flight = proxy.in_flight().len();
    assert!(
        in_flight <= 2,
        "expected at most 2 attempts in flight: {in_flight}"
    );
}

/// Guards against counting the timeout of an attempt that was lost on the network as overload of its backend.
#[test]
fn attempts_without_a_response_lower_no_limit() {
    let admitted_after_losses = |losses: u32| {
        let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(1));
        run_load(&mut proxy, 1000, 200, 3, |_| 5 * MS);
        proxy.advance(50 * MS);
        proxy.serve(|_| 0);
        for id in 0..losses {
            proxy.submit(request(id, 0));
            proxy.advance(130 * MS);
        }
        proxy.submit_all(5000..5300, 0);
        proxy.in_flight().len()
    };
    assert_eq!(
        admitted_after_losses(8),
        admitted_after_losses(0),
        "expected the same limit with and without lost attempts"
    );
}

/// Returns the number of attempts that are admitted at once after a load in which each request whose id is a multiple
/// of `reset_interval` was reset.
fn admitted_after_resets(reset_interval: u32) -> usize {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
    for id in 0..6400 {
        proxy.submit(request(id, 1));
        if id % 32 != 31 {
            continue;
        }
        proxy.advance(if id < 3200 { 10 * MS } else { 17 * MS });
        for attempt in proxy.in_flight() {
            let is_reset = attempt.request.0 % reset_interval == 0;
            let outcome = if is_reset {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            proxy.end_attempt(attempt.request, attempt.number, outcome);
        }
    }
    proxy.submit_all(7000..7200, 1);
    proxy.in_flight().len()
}

/// Guards against counting resets as samples of high latency, which keeps the limits of all backends low.
#[test]
fn occasional_resets_do_not_keep_limits_low() {
    let without_resets = admitted_after_resets(u32::MAX);
    let with_resets = admitted_after_resets(8);
    assert!(
        with_resets * 3 >= without_resets * 2,
        "{with_resets} attempts admitted after resets, expected at least two thirds of {without_resets}"
    );
}

/// Guards against limits at their floor that leave a backend without a slot and thus without samples.
#[test]
fn a_single_proxy_keeps_a_slot_on_each_backend_when_limits_are_at_their_floor() {
    let mut proxy = SimulatedProxy::new(single_zone_settings(), single_zone_backends(4));
    run_load(&mut proxy, 1000, 300, 2, |_| 20 * MS);
    run_load(&mut proxy, 2000, 600, 2, |_| 450 * MS);
    proxy.advance(2 * SECOND);
    proxy.serve(|_| 0);
    proxy.submit_all(0..4, 0);
    for backend in 0..4 {
        assert_eq!(
            proxy.in_flight_at(BackendId(backend)),
            1,
            "expected one attempt at backend {backend}"
        );
    }
}
