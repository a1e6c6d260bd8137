//! Concurrency limits: when they rise and fall, and which outcomes must not move them.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

#[test]
fn limits_rise_while_responses_are_quick_and_fall_when_they_are_slow() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(2));
    run_load(&mut proxy, 0, 300, 4, |_| 40 * MS);
    let quick = proxy.in_flight().len();
    assert!(
        quick >= 8,
        "two backends that keep up take more than their first limit: {quick}"
    );
    run_load(&mut proxy, 10_000, 500, 4, |_| 450 * MS);
    let slow = proxy.in_flight().len();
    assert!(
        slow <= 6,
        "near the latency objective the limits have fallen: {slow}"
    );
}

/// Guards against quick errors that read as low latency.
#[test]
fn quick_errors_do_not_raise_a_limit() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(1));
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
    assert!(in_flight <= 2, "{in_flight} are in flight");
}

/// Guards against attempts that were lost on the way being taken for overload.
#[test]
fn lost_attempts_do_not_lower_a_limit() {
    let admitted_after = |losses: u32| {
        let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(1));
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
    assert_eq!(admitted_after(8), admitted_after(0));
}

/// Returns how many attempts are admitted after a load where every `reset_interval`-th connection broke.
fn admitted_after_resets(reset_interval: u32) -> usize {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
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

/// Guards against resets that count as slow samples and hold down the limits of all backends.
#[test]
fn connections_that_break_now_and_then_lower_no_limit() {
    let without_resets = admitted_after_resets(u32::MAX);
    let with_resets = admitted_after_resets(8);
    assert!(
        with_resets * 3 >= without_resets * 2,
        "{with_resets} slots where connections break, {without_resets} where none does"
    );
}

/// Guards against limits at their floor that leave a backend without a slot, and so without samples.
#[test]
fn limits_at_their_floor_leave_no_backend_of_a_single_proxy_without_a_slot() {
    let mut proxy = SimulatedProxy::new(single_zone(), single_zone_backends(4));
    run_load(&mut proxy, 1000, 300, 2, |_| 20 * MS);
    run_load(&mut proxy, 2000, 600, 2, |_| 450 * MS);
    proxy.advance(2 * SECOND);
    proxy.serve(|_| 0);
    proxy.submit_all(0..4, 0);
    for backend in 0..4 {
        assert_eq!(
            proxy.in_flight_at(BackendId(backend)),
            1,
            "backend {backend}"
        );
    }
}
