//! Rule 4: all proxies together stay under the budget of a backend that warms up.

use crate::common::*;
use tillerproxy::api::*;

/// The backend that restarts, among ten.
const RESTARTED: u32 = 3;
const BACKENDS: u32 = 10;
/// Time passes in steps of this length.
const STEP: Micros = 50 * MS;
/// How long after its restart the sends to a backend are counted.
const COUNTED_TIME: Micros = 4 * SECOND;

fn single_zone_backend(id: u32) -> Backend {
    Backend {
        zone: Zone(0),
        ..backend(id)
    }
}

/// Returns the greatest number of sends within `window`, over all windows that begin with a send.
fn most_within(sends: &[Micros], window: Micros) -> usize {
    sends
        .iter()
        .map(|&start| {
            sends
                .iter()
                .filter(|&&at| at >= start && at < start + window)
                .count()
        })
        .max()
        .expect("a backend that warms up gets something")
}

/// A load of evenly spread requests on all proxies.
#[derive(Clone, Copy)]
struct EvenLoad {
    proxy_count: u32,
    /// Each proxy has a request in each such time.
    interval: Micros,
    /// Latency of warm backends.
    warm_latency: Micros,
    /// Latency of the backend that has restarted.
    restarted_latency: Micros,
}

/// Lets one proxy serve its part of the load for a while; adds the times of its sends to the backend that restarts.
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

/// Returns when all proxies together send to a backend that has just restarted among warm ones, within the counted time.
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
        let mut proxy = SimulatedProxy::new(settings, (0..BACKENDS).map(single_zone_backend));
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
fn all_proxies_together_stay_under_the_budget_of_a_backend_that_warms_up() {
    for (proxy_count, interval) in [(20, 50 * MS), (100, 500 * MS)] {
        let warm_rate = f64::from(proxy_count) * SECOND as f64 / interval as f64 / 10.0;
        let sends = sends_under_even_load(EvenLoad {
            proxy_count,
            interval,
            warm_latency: 40 * MS,
            restarted_latency: 400 * MS,
        });
        let budget = 2.5 * 0.2 * warm_rate * 2.0;
        let most = most_within(&sends, 2 * SECOND);
        assert!(
            most > 0 && (most as f64) < budget,
            "{most} sends in the collapse time, {budget} allowed"
        );
    }
}

#[test]
fn a_backend_that_warms_up_gets_its_budget_also_where_only_a_part_of_the_proxies_hold_its_slots() {
    // Responses take so long that limits are at their floor, and a third of the proxies hold a slot on it.
    let sends = sends_under_even_load(EvenLoad {
        proxy_count: 100,
        interval: 500 * MS,
        warm_latency: 250 * MS,
        restarted_latency: 250 * MS,
    })
    .len();
    assert!(sends >= 10, "{sends} sends in four seconds");
}

#[test]
fn a_backend_that_warms_up_and_answers_as_soon_as_a_warm_one_gets_more_than_a_slow_one() {
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
        "{quick} sends in four seconds, {slow} if slow"
    );
}

/// A backend that takes little when it starts, so that the budget binds and not the concurrency limits.
const SMALL_BUDGET: SafetyLimits = SafetyLimits {
    poll_interval: 10 * SECOND,
    slow_start_initial_capacity: 0.1,
    slow_start_duration: 10 * SECOND,
    collapse_load_factor: 1.5,
    collapse_time: 2 * SECOND,
};

/// A load of bursts that all proxies get at the same moment.
#[derive(Clone, Copy)]
struct BurstLoad {
    proxy_count: u32,
    /// Time between bursts.
    interval: Micros,
    /// Requests in a burst on one proxy.
    size: u32,
}

/// Returns when all proxies together send to a backend that has just restarted among warm ones, counted from its restart.
/// Warm backends answer after 40 ms, the other after 400 ms.
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
        let backends = (0..BACKENDS).map(single_zone_backend);
        let mut proxy = SimulatedProxy::with_seed(settings, u64::from(proxy_index), backends);
        sends.extend(sends_of_one_under_bursts(&mut proxy, load));
    }
    sends.sort_unstable();
    sends
}

fn sends_of_one_under_bursts(proxy: &mut SimulatedProxy, load: BurstLoad) -> Vec<Micros> {
    const WARM_UP: Micros = 12 * SECOND;
    let restart = proxy.now + WARM_UP;
    let mut next_id = 1;
    for step in 1..=(WARM_UP + COUNTED_TIME) / STEP {
        proxy.advance(STEP);
        let has_restarted = proxy.now >= restart;
        if proxy.now == restart {
            let restarted = Backend {
                started_at: Some(restart),
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
    // From the log, as requests that were queued before count too.
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
        .filter(|logged| logged.at >= restart && is_to_restarted(&logged.action))
        .map(|logged| logged.at - restart)
        .collect()
}

/// A backend collapses beyond N requests in the collapse time and twice the root of N and two more. N is what the
/// settings allow a backend whose capacity is what the warm ones serve in the bursts, or one request after another if
/// that is more.
#[test]
fn all_proxies_together_stay_under_the_budget_of_a_backend_that_warms_up_in_bursts() {
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
            let n = collapse_load_factor
                * slow_start_initial_capacity
                * capacity
                * collapse_time as f64
                / SECOND as f64;
            let allowed = n + 2.0 * n.sqrt() + 2.0;
            let sends = sends_under_bursts(BurstLoad {
                proxy_count,
                interval,
                size,
            });
            let most = most_within(&sends, collapse_time);
            assert!(
                most as f64 <= allowed,
                "{proxy_count} proxies, {size} requests every {} ms: {most} sends in the collapse time, {allowed:.1} allowed",
                interval / MS
            );
        }
    }
}
