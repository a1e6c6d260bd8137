//! The indexed selection compared with a plain scan of every backend, on random events.

mod random_proxy;

use super::*;
use random_proxy::RandomProxy;
use std::collections::BTreeSet;

/// What a scan finds: the backends that tie, or those of which an idle proxy may use one without a slot.
#[derive(Debug, PartialEq)]
enum Found {
    Tied(BTreeSet<BackendKey>),
    WithoutSlot(BTreeSet<BackendKey>),
    Nothing,
}

/// A choice on which the scan and the indexed selection disagree.
struct Disagreement {
    scanned: Found,
    selected: BTreeSet<BackendKey>,
}

/// Returns the choice as the design states it, with a look at every backend.
fn scan(balancer: &Balancer, now: Micros, request: RequestKey) -> Found {
    let Some(query) = balancer.query(now, request) else {
        return Found::Nothing;
    };
    let eligible = eligible_backends(balancer, now, request, &query);
    for is_near in [true, false] {
        let preferences: Vec<(i64, BackendKey)> = eligible
            .iter()
            .filter(|&&key| balancer.is_near(balancer.backends[key].zone) == is_near)
            .filter_map(|&key| Some((preference(balancer, now, key, &query)?, key)))
            .collect();
        let Some(&(greatest, _)) = preferences.iter().max() else {
            continue;
        };
        let tied = preferences
            .into_iter()
            .filter(|&(preference, _)| preference == greatest)
            .map(|(_, key)| key)
            .collect();
        return Found::Tied(tied);
    }
    let limit_left =
        |key: BackendKey| balancer.limit(key) * query.limit_factor + balancer.slot_offset(key);
    let greatest = eligible
        .iter()
        .map(|&key| limit_left(key))
        .max_by(f64::total_cmp);
    match greatest {
        Some(greatest) if balancer.in_flight == 0 => Found::WithoutSlot(
            eligible
                .into_iter()
                .filter(|&key| limit_left(key) == greatest)
                .collect(),
        ),
        _ => Found::Nothing,
    }
}

/// Returns the backends that the request has not tried and may be sent to.
fn eligible_backends(
    balancer: &Balancer,
    now: Micros,
    request: RequestKey,
    query: &Query,
) -> Vec<BackendKey> {
    let tried: Vec<BackendKey> = balancer.requests[request]
        .attempts
        .iter()
        .map(|attempt| attempt.backend)
        .collect();
    balancer
        .backends
        .keys()
        .filter(|&key| balancer.backends[key].ready && !tried.contains(&key))
        .filter(|&key| {
            let backend = &balancer.backends[key];
            query.covers(backend.zone, Some(backend.cell))
        })
        .filter(|&key| balancer.is_eligible(now, &balancer.backends[key], query))
        .collect()
}

/// Returns how much a backend is preferred; `None` without available capacity.
fn preference(balancer: &Balancer, now: Micros, key: BackendKey, query: &Query) -> Option<i64> {
    let backend = &balancer.backends[key];
    let in_flight = &backend.in_flight;
    let taken = i64::from(in_flight.count()) - in_flight.overtaken_count() as i64;
    let available = if in_flight.is_unresponsive(now, query.overdue_after) {
        1
    } else {
        balancer.slots(key, query.limit_factor) - taken
    };
    let is_quick = backend.recent_latency.value(now) <= 1.0;
    (available > 0).then_some(2 * available + i64::from(is_quick))
}

/// Returns the backends of so many draws of the indexed selection that each of `ties` tied ones is most likely among
/// them.
fn selected_backends(
    balancer: &mut Balancer,
    now: Micros,
    request: RequestKey,
    ties: usize,
) -> BTreeSet<BackendKey> {
    let draws = ties * (12 + ties.max(1).ilog2() as usize);
    (0..draws)
        .filter_map(|_| balancer.select_backend(now, request))
        .collect()
}

/// Compares the choice with a scan; returns how many backends tied.
fn compare(
    balancer: &mut Balancer,
    now: Micros,
    request: RequestKey,
) -> Result<usize, Disagreement> {
    let scanned = scan(balancer, now, request);
    let ties = match &scanned {
        Found::Tied(tied) => tied.len(),
        Found::WithoutSlot(_) | Found::Nothing => 1,
    };
    let selected = selected_backends(balancer, now, request, ties);
    let agree = match &scanned {
        Found::Tied(tied) => selected == *tied,
        // No draw: any of those with the same limit left will do.
        Found::WithoutSlot(equal) => selected.len() == 1 && selected.is_subset(equal),
        Found::Nothing => selected.is_empty(),
    };
    if agree {
        Ok(ties)
    } else {
        Err(Disagreement { scanned, selected })
    }
}

#[test]
fn the_indexed_selection_samples_from_the_backends_that_a_plain_scan_finds() {
    let mut compared = 0;
    let mut with_ties = 0;
    for seed in 0..60 {
        let mut proxy = RandomProxy::new(seed);
        for step in 0..400 {
            proxy.step();
            if step % 4 > 0 {
                continue;
            }
            let now = proxy.now;
            proxy.balancer.reindex_due(now);
            let request = proxy.open_request();
            let ties = compare(&mut proxy.balancer, now, request).unwrap_or_else(
                |Disagreement { scanned, selected }| {
                    panic!("seed {seed}, step {step}: {scanned:?}, selected {selected:?}")
                },
            );
            compared += 1;
            with_ties += usize::from(ties > 1);
            proxy.balancer.requests.remove(request);
        }
    }
    assert!(
        compared == 6_000 && with_ties > 1_000,
        "{with_ties} of {compared} with a draw"
    );
}

#[test]
fn backends_that_tie_are_sampled_equally_often() {
    const DRAWS: usize = 400;
    let mut proxy = RandomProxy::new(11);
    let mut evaluated = 0;
    for _ in 0..300 {
        proxy.step();
        let now = proxy.now;
        proxy.balancer.reindex_due(now);
        let request = proxy.open_request();
        if let Found::Tied(tied) = scan(&proxy.balancer, now, request) {
            let mut drawn: Vec<BackendKey> = (0..DRAWS * tied.len())
                .filter_map(|_| proxy.balancer.select_backend(now, request))
                .collect();
            drawn.sort_unstable();
            for of_one in drawn.chunk_by(|one, next| one == next) {
                // Six standard deviations of a count with this mean.
                let deviation = of_one.len().abs_diff(DRAWS);
                assert!(
                    deviation * deviation <= 36 * DRAWS,
                    "{} of {DRAWS} draws among {}",
                    of_one.len(),
                    tied.len()
                );
            }
            evaluated += 1;
        }
        proxy.balancer.requests.remove(request);
    }
    assert!(evaluated > 50, "{evaluated} choices were evaluated");
}
