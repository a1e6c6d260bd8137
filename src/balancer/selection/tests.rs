//! Tests of selection: the indexed selection is compared with a scan of every backend after random events.

mod random_proxy;

use super::*;
use random_proxy::RandomProxy;
use std::collections::BTreeSet;

/// Backends that a scan found for one request.
#[derive(Debug, PartialEq)]
enum Found {
    /// The backends that tie for the greatest preference.
    Tied(BTreeSet<BackendKey>),
    /// Backends that tie for the greatest limit but have no slot. A proxy with nothing in flight may use one of them.
    WithoutSlot(BTreeSet<BackendKey>),
    /// The scan found no backend that the request may be sent to now.
    Nothing,
}

/// Results of the scan and of the indexed selection that differ although the request is the same.
struct Mismatch {
    scanned: Found,
    selected: BTreeSet<BackendKey>,
}

/// Selects backends for a request by comparing every backend in the table.
fn scan(balancer: &Balancer, now: Micros, request: RequestKey) -> Found {
    let Some(criteria) = balancer.criteria(now, request) else {
        return Found::Nothing;
    };
    let eligible = eligible_backends(balancer, now, request, &criteria);
    for is_near in [true, false] {
        let preferences: Vec<(i64, BackendKey)> = eligible
            .iter()
            .filter(|&&key| balancer.is_near(balancer.backends[key].zone) == is_near)
            .filter_map(|&key| Some((preference(balancer, now, key, &criteria)?, key)))
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
    let unrounded_slots =
        |key: BackendKey| balancer.limit(key) * criteria.limit_factor + balancer.slot_offset(key);
    let greatest = eligible
        .iter()
        .map(|&key| unrounded_slots(key))
        .max_by(f64::total_cmp);
    match greatest {
        Some(greatest) if balancer.in_flight == 0 => Found::WithoutSlot(
            eligible
                .into_iter()
                .filter(|&key| unrounded_slots(key) == greatest)
                .collect(),
        ),
        _ => Found::Nothing,
    }
}

/// Returns the backends that are eligible for a request and that it has not tried.
fn eligible_backends(
    balancer: &Balancer,
    now: Micros,
    request: RequestKey,
    criteria: &Criteria,
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
            criteria.covers(backend.zone, Some(backend.cell))
        })
        .filter(|&key| balancer.is_eligible(now, &balancer.backends[key], criteria))
        .collect()
}

/// Returns a backend's preference, or `None` if it has no available capacity.
fn preference(
    balancer: &Balancer,
    now: Micros,
    key: BackendKey,
    criteria: &Criteria,
) -> Option<i64> {
    let backend = &balancer.backends[key];
    let in_flight = &backend.in_flight;
    let taken = i64::from(in_flight.count()) - in_flight.overtaken_count() as i64;
    let available = if in_flight.is_unresponsive(now, criteria.overdue_after) {
        1
    } else {
        balancer.slots(key, criteria.limit_factor) - taken
    };
    let is_quick = backend.recent_latency.value(now) <= 1.0;
    (available > 0).then_some(2 * available + i64::from(is_quick))
}

/// Returns the backends that repeated indexed selections yield. There are enough repetitions for each of `ties` tied
/// backends to be drawn almost certainly.
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

/// Compares the indexed selection with a scan. Returns the number of backends that tied.
fn compare(balancer: &mut Balancer, now: Micros, request: RequestKey) -> Result<usize, Mismatch> {
    let scanned = scan(balancer, now, request);
    let ties = match &scanned {
        Found::Tied(tied) => tied.len(),
        Found::WithoutSlot(_) | Found::Nothing => 1,
    };
    let selected = selected_backends(balancer, now, request, ties);
    let agree = match &scanned {
        Found::Tied(tied) => selected == *tied,
        // Selected without a random draw: any of the backends that tie is correct.
        Found::WithoutSlot(equal) => selected.len() == 1 && selected.is_subset(equal),
        Found::Nothing => selected.is_empty(),
    };
    if agree {
        Ok(ties)
    } else {
        Err(Mismatch { scanned, selected })
    }
}

#[test]
fn indexed_selection_returns_exactly_the_tied_backends_that_a_full_scan_finds() {
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
                |Mismatch { scanned, selected }| {
                    panic!(
                        "seed {seed}, step {step}: the scan found {scanned:?}, but the indexed selection returned \
                         {selected:?}"
                    )
                },
            );
            compared += 1;
            with_ties += usize::from(ties > 1);
            proxy.balancer.requests.remove(request);
        }
    }
    assert!(
        compared == 6_000 && with_ties > 1_000,
        "{with_ties} of {compared} selections had ties"
    );
}

#[test]
fn tied_backends_are_selected_equally_often() {
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
            for draws_of_one in drawn.chunk_by(|one, next| one == next) {
                // The number of draws of each tied backend may deviate from the expected number by at most six standard
                // deviations.
                let deviation = draws_of_one.len().abs_diff(DRAWS);
                assert!(
                    deviation * deviation <= 36 * DRAWS,
                    "drawn {} times instead of {DRAWS}, {} backends tied",
                    draws_of_one.len(),
                    tied.len()
                );
            }
            evaluated += 1;
        }
        proxy.balancer.requests.remove(request);
    }
    assert!(
        evaluated > 50,
        "only {evaluated} selections had a tie to evaluate"
    );
}
