//! Rule 4 (slow start): all proxies together send a backend in slow start less than the load at which it collapses, and
//! still enough for it to warm up.

use crate::common::*;
use tillerproxy::api::*;

/// Id of the backend that restarts.
const RESTARTED: u32 = 3;
const BACKEND_COUNT: u32 = 10;
/// Length of a step of simulated time.
const STEP: Micros = 50 * MS;
/// Time after the restart for which sends to the restarted backend are counted.
const COUNTED_TIME: Micros = 4 * SECOND;

fn single_zone_backend(id: u32) -> Backend {
    Backend {
        zone: Zone(0),
        ..backend(id)
    }
}

/// Returns the greatest number of sends within `window`, over all windows that begin with a send.
fn max_sends_within(sends: &[Micros], window: Micros) -> usize {
    sends
        .iter()
        .map(|&start| {
            sends
                .iter()
                .filter(|&&at| at >= start && at < start + window)
                .count()
        })
        .max()
        .expect("a backend in slow start gets at least one request")
}

/// A load of requests at regular intervals on all proxies.
#[derive(Clone, Copy)]
struct EvenLoad {
    proxy_count: u32,
    /// Time between two requests on one proxy.
    interval: Micros,
    /// Latency of warm backends.
    warm_latency: Micros,
    /// Latency of the restarted backend.
    restarted_latency: Micros,
}

/// Runs one proxy's part of the load for `duration` and appends the times of its sends to the backend that restarts.
fn run_even_load(
    proxy: &mut SimulatedProxy,
    load: EvenLoad,
    duration: Micros,
    restarted_latency: Micros,
    sends: &mut Vec<Micros>,
) {
    let phase = u64::from(proxy.settings.proxy_index) * STEP;
    for _ in 0..duration / STEP {
        proxy.advance(STEP);
        proxy.serve(|id| {
            if id == BackendId(RESTARTED) {
                restarted_latency
            } else {
                load.warm_latency
            }
        });
        if (proxy.now + phase) % load.interval == 0 {
            let id = proxy.requests.len() as u32 + 1;
            if sent_to(&proxy.submit(request(id, 0))) == Some(BackendId(RESTARTED)) {
                sends.push(proxy.now);
            }
        }
    }
}

/// Returns the times at which all proxies together send to the restarted backend, up to [`COUNTED_TIME`] after its
/// restart. All other backends are warm.
fn sends_under_even_load(load: EvenLoad) -> Vec<Micros> {
    let mut settings = settings();
    settings.zone_count = 1;
    settings.proxy_count = load.proxy_count;
    let mut sends = Vec::new();
    for proxy_index in 0..load.proxy_count {
        let settings = Settings {
            proxy_index,
            ..settings.clone()
        };
        let mut proxy = SimulatedProxy::new(settings, (0..BACKEND_COUNT).map(single_zone_backend));
        let mut sends_before = Vec::new();
        run_even_load(
            &mut proxy,
            load,
            5 * SECOND,
            load.warm_latency,
            &mut sends_before,
        );
        let restarted = Backend {
            started_at: Some(proxy.now),
            ..single_zone_backend(RESTARTED)
        };
        proxy.change_membership(MembershipEvent::Delta(&[restarted]));
        run_even_load(
            &mut proxy,
            load,
            COUNTED_TIME,
            load.restarted_latency,
            &mut sends,
        );
    }
    sends.sort_unstable();
    sends
}

#[test]
fn all_proxies_together_send_a_backend_in_slow_start_less_than_its_collapse_load() {
    for (proxy_count, interval) in [(20, 50 * MS), (100, 500 * MS)] {
        let warm_rate = f64::from(proxy_count) * SECOND as f64 / interval as f64 / 10.0;
        let sends = sends_under_even_load(EvenLoad {
            proxy_count,
            interval,
            warm_latency: 40 * MS,
            restarted_latency: 400 * MS,
        });
        // Collapse load factor, initial capacity, requests per second at a warm backend, and collapse time in seconds.
        let budget = 2.5 * 0.2 * warm_rate * 2.0;
        let max_sends = max_sends_within(&sends, 2 * SECOND);
        assert!(
            max_sends > 0 && (max_sends as f64) < budget,
            "{max_sends} sends in the collapse time, expected more than 0 and less than {budget}"
        );
    }
}

#[test]
fn a_backend_in_slow_start_gets_its_budget_when_only_some_proxies_hold_a_slot_on_it() {
    // Latency is so high that the limits are at their floor, and only a third of the proxies hold a slot on the
    // backend.
    let sends = sends_under_even_load(EvenLoad {
        proxy_count: 100,
        interval: 500 * MS,
        warm_latency: 250 * MS,
        restarted_latency: 250 * MS,
    })
    .len();
    assert!(
        sends >= 10,
        "{sends} sends in four seconds, expected at least 10"
    );
}

#[test]
fn a_backend_in_slow_start_with_the_latency_of_a_warm_one_gets_more_requests_than_a_slow_one() {
    let slow_load = EvenLoad {
        proxy_count: 20,
        interval: 50 * MS,
        warm_latency: 40 * MS,
        restarted_latency: 400 * MS,
    };
    let quick_load = EvenLoad {
        restarted_latency: 40 * MS,
        ..slow_load
    };
    let slow = sends_under_even_load(slow_load).len();
    let quick = sends_under_even_load(quick_load).len();
    assert!(
        quick > 2 * slow,
        "{quick} sends in four seconds at low latency, expected more than twice the {slow} at high latency"
    );
}

/// Limits with a small initial capacity, so that the sends are restricted by the slow start budget and not by the
/// concurrency limits.
const SMALL_BUDGET: SafetyLimits = SafetyLimits {
    poll_interval: 10 * SECOND,
    slow_start_initial_capacity: 0.1,
    slow_start_duration: 10 * SECOND,
    collapse_load_factor: 1.5,
    collapse_time: 2 * SECOND,
};

/// A load of bursts that reach all proxies at the same time.
#[derive(Clone, Copy)]
struct BurstLoad {
    proxy_count: u32,
    /// Time between bursts.
    interval: Micros,
    /// Requests in a burst on one proxy.
    size: u32,
}

/// Returns the times at which all proxies together send to the restarted backend, measured from its restart.
/// Warm backends answer after 40 ms, the restarted one after 400 ms.
fn sends_under_bursts(load: BurstLoad) -> Vec<Micros> {
    let mut settings = settings();
    settings.zone_count = 1;
    settings.proxy_count = load.proxy_count;
    settings.safety = SMALL_BUDGET;
    let mut sends = Vec::new();
    for proxy_index in 0..load.proxy_count {
        let settings = Settings {
            proxy_index,
            ..settings.clone()
        };
        let backends = (0..BACKEND_COUNT).map(single_zone_backend);
        let mut proxy = SimulatedProxy::with_seed(settings, u64::from(proxy_index), backends);
        sends.extend(sends_of_one_proxy_under_bursts(&mut proxy, load));
    }
    sends.sort_unstable();
    sends
}

/// Returns the times at which one proxy sends to the restarted backend, measured from its restart.
fn sends_of_one_proxy_under_bursts(proxy: &mut SimulatedProxy, load: BurstLoad) -> Vec<Micros> {
    const TIME_BEFORE_RESTART: Micros = 12 * SECOND;
    let restarted_at = proxy.now + TIME_BEFORE_RESTART;
    let mut next_id = 1;
    for step in 1..=(TIME_BEFORE_RESTART + COUNTED_TIME) / STEP {
        proxy.advance(STEP);
        let has_restarted = proxy.now >= restarted_at;
        if proxy.now == restarted_at {
            let restarted = Backend {
                started_at: Some(restarted_at),
                ..single_zone_backend(RESTARTED)
            };
            proxy.change_membership(MembershipEvent::Delta(&[restarted]));
        }
        proxy.serve(|id| {
            if has_restarted && id == BackendId(RESTARTED) {
                400 * MS
            } else {
                40 * MS
            }
        });
        if (step * STEP) % load.interval == 0 {
            proxy.submit_all(next_id..next_id + load.size, 0);
            next_id += load.size;
        }
    }
    // The log also has the sends of requests that were queued before the restart.
    let is_to_restarted = |action: &Action| {
        matches!(
            action,
            Action::Send {
                backend: BackendId(RESTARTED),
                ..
            }
        )
    };
    proxy
        .log
        .iter()
        .filter(|logged| logged.at >= restarted_at && is_to_restarted(&logged.action))
        .map(|logged| logged.at - restarted_at)
        .collect()
}

/// The restarted backend collapses when it gets more than N + 2 * sqrt(N) + 2 requests in the collapse time. N is the
/// budget: the number of requests that the settings allow in that time for the capacity of the backend. That capacity
/// is the rate that each warm backend serves during the bursts, or the rate of one request after another if that is
/// higher.
#[test]
fn all_proxies_together_send_a_backend_in_slow_start_less_than_its_collapse_load_in_bursts() {
    let SafetyLimits {
        slow_start_initial_capacity,
        collapse_load_factor,
        collapse_time,
        ..
    } = SMALL_BUDGET;
    for proxy_count in [20, 30] {
        for (interval, size) in [(SECOND, 6), (SECOND, 20)] {
            let offered = f64::from(proxy_count * size) * SECOND as f64 / interval as f64 / 10.0;
            let capacity = offered.max(SECOND as f64 / (40 * MS) as f64);
            let budget = collapse_load_factor
                * slow_start_initial_capacity
                * capacity
                * collapse_time as f64
                / SECOND as f64;
            let allowed = budget + 2.0 * budget.sqrt() + 2.0;
            let sends = sends_under_bursts(BurstLoad {
                proxy_count,
                interval,
                size,
            });
            let max_sends = max_sends_within(&sends, collapse_time);
            assert!(
                max_sends as f64 <= allowed,
                "{proxy_count} proxies, {size} requests every {} ms: {max_sends} sends in the collapse time, \
                 expected at most {allowed:.1}",
                interval / MS
            );
        }
    }
}
