//! Selection of a backend: the greatest available capacity, near zones first, ties broken at random.
//!
//! A zone is near if attempts to its backends cost nothing extra: the proxy's own zone, or every zone if the cost of
//! crossing zones is negligible.

use super::Balancer;
use super::backends::{BackendKey, BackendState};
use super::index::{Candidates, Group, GroupKey, TiedCandidates};
use super::outliers::OutlierState;
use super::requests::RequestKey;
use super::retries::RetryScope;
use crate::api::{Cell, Idempotency, Micros, Zone};
use fastrand::Rng;

#[cfg(test)]
mod tests;

/// Fraction of a backend's limit that requests over their tenant's quota may use.
const OVER_QUOTA_LIMIT_FACTOR: f64 = 0.6;
/// Maximum cost of crossing zones, as a fraction of a request's priority weight, at which every zone counts as near.
const MAX_NEGLIGIBLE_CROSSING_COST: f64 = 0.01;
/// Available capacity, in slots, of an unresponsive backend that may receive a trial request: room for that one
/// request.
const TRIAL_CAPACITY: i64 = 1;

/// Conditions that the backend of a request's next attempt must meet.
struct Criteria {
    /// Backends that the attempt may be sent to, given the request's idempotency.
    scope: RetryScope,
    /// Whether the request may be sent again after an attempt that failed.
    is_repeatable: bool,
    /// Whether an attempt that is lost would time out long before the request's deadline.
    detects_loss_early: bool,
    /// Time after which an attempt of the request's class is overdue.
    overdue_after: Micros,
    /// Factor by which the limit of each backend is scaled before it is rounded to slots.
    limit_factor: f64,
}

impl Criteria {
    /// Reports whether backends of this zone and cell are in scope. If `cell` is `None`, a scope that is limited to one
    /// cell does not cover them.
    fn covers(&self, zone: Zone, cell: Option<Cell>) -> bool {
        match self.scope {
            RetryScope::Zone(only) => zone == only,
            RetryScope::Cell(only) => cell == Some(only),
            RetryScope::Anywhere | RetryScope::Nowhere => true,
        }
    }
}

impl Balancer {
    /// Selects the backend of a request's next attempt. Returns `None` if no attempt may start now, or if no eligible
    /// backend has available capacity and this proxy has attempts in flight.
    pub(super) fn select_backend(
        &mut self,
        now: Micros,
        request: RequestKey,
    ) -> Option<BackendKey> {
        let criteria = self.criteria(now, request)?;
        let attempts = &self.requests[request].attempts;
        let tried: Vec<BackendKey> = attempts.iter().map(|attempt| attempt.backend).collect();
        for &backend in &tried {
            self.index.set_indexed(&self.backends[backend], false);
        }
        // The methods below borrow `self`, so they draw random numbers from a copy of the generator, which then
        // replaces the generator.
        let mut rng = self.rng.clone();
        let best = self
            .most_available(now, &criteria, &tried, &mut rng)
            .and_then(|candidates| self.index.pick_random(&candidates, &mut rng));
        self.rng = rng;
        // Deviation: a proxy that has no slot on any backend would never serve a request, so it sends a request to a
        // backend without a slot if it has nothing in flight.
        let selected = if best.is_none() && self.in_flight == 0 {
            self.backend_with_greatest_limit(now, &criteria, &tried)
        } else {
            best
        };
        for backend in tried {
            self.reindex(now, backend);
        }
        selected
    }

    /// Reports whether attempts to a zone's backends cost nothing extra.
    fn is_near(&self, zone: Zone) -> bool {
        zone == self.settings.zone || self.settings.cross_zone_cost <= MAX_NEGLIGIBLE_CROSSING_COST
    }

    /// Returns the criteria for the backend of a request's next attempt, or `None` if no attempt may start now.
    fn criteria(&self, now: Micros, request: RequestKey) -> Option<Criteria> {
        let scope = self.next_attempt_scope(now, request);
        if scope == RetryScope::Nowhere || self.is_in_flight_bound_reached(now) {
            return None;
        }
        let request = &self.requests[request];
        let class = self.settings.class(request.class);
        let is_repeatable = class.idempotency != Idempotency::NonIdempotent;
        let is_quick = self.latencies.is_quick(request.class, class);
        let quota_factor = if request.over_quota {
            OVER_QUOTA_LIMIT_FACTOR
        } else {
            1.0
        };
        Some(Criteria {
            scope,
            is_repeatable,
            detects_loss_early: is_repeatable && is_quick,
            overdue_after: self.latencies.overdue_after(request.class, class),
            limit_factor: self.capacity.limit_factor() * quota_factor,
        })
    }

    /// Reports whether this proxy has reached its bound on attempts in flight. Overdue attempts are not counted: either
    /// they were lost, or their backend receives nothing more because of them.
    fn is_in_flight_bound_reached(&self, now: Micros) -> bool {
        let Some(max_in_flight) = self.capacity.max_in_flight() else {
            return false;
        };
        // Every ready backend with attempts in flight is among the compared ones.
        let not_overdue = |&key: &BackendKey| self.backends[key].in_flight.not_overdue_count(now);
        self.index
            .individually_compared()
            .iter()
            .map(not_overdue)
            .sum::<u32>()
            >= max_in_flight
    }

    /// Returns the backends with the greatest preference in near zones or, if none there is available, in the other
    /// zones. Returns `None` if no backend is available.
    ///
    /// Deviation from comparison of capacity: if crossing zones has a cost, backends of other zones are selected only
    /// when none of the proxy's own zone has available capacity.
    fn most_available(
        &self,
        now: Micros,
        criteria: &Criteria,
        tried: &[BackendKey],
        rng: &mut Rng,
    ) -> Option<Candidates> {
        let mut near = TiedCandidates::default();
        let mut far = TiedCandidates::default();
        for key in self.compared_backends(criteria, tried) {
            let Some(preference) = self.preference(now, criteria, key) else {
                continue;
            };
            let tied = if self.is_near(self.backends[key].zone) {
                &mut near
            } else {
                &mut far
            };
            tied.offer(preference, Candidates::One(key), rng);
        }
        self.offer_groups(criteria, true, &mut near, rng);
        if !near.is_empty() {
            return near.into_best();
        }
        self.offer_groups(criteria, false, &mut far, rng);
        far.into_best()
    }

    /// Offers the indexed backends of the groups in near zones, or of those in all other zones.
    fn offer_groups(
        &self,
        criteria: &Criteria,
        in_near_zones: bool,
        tied: &mut TiedCandidates,
        rng: &mut Rng,
    ) {
        for (key, group) in self.index.keyed_groups() {
            let is_eligible =
                self.is_near(group.zone()) == in_near_zones && criteria.covers(group.zone(), None);
            if is_eligible
                && let Some((available, candidates)) =
                    self.most_available_of_group(key, group, criteria)
            {
                tied.offer(preference_of(available, true), candidates, rng);
            }
        }
    }

    /// Returns the backends in scope that are compared one by one and that the request has not tried.
    fn compared_backends(
        &self,
        criteria: &Criteria,
        tried: &[BackendKey],
    ) -> impl Iterator<Item = BackendKey> {
        let backends = match criteria.scope {
            RetryScope::Cell(cell) => self.index.cell(cell),
            _ => Some(self.index.individually_compared()),
        };
        let untried = backends
            .into_iter()
            .flatten()
            .copied()
            .filter(|key| !tried.contains(key));
        untried.filter(move |&key| {
            let backend = &self.backends[key];
            criteria.covers(backend.zone, Some(backend.cell))
        })
    }

    /// Returns a backend's preference, or `None` if it is not eligible or has no available capacity.
    ///
    /// Among backends with the same available capacity, one that was slow recently comes last: a request there holds
    /// its slot for long, and the backend's window may take many seconds to complete and lower its limit.
    fn preference(&self, now: Micros, criteria: &Criteria, key: BackendKey) -> Option<i64> {
        let backend = &self.backends[key];
        if !self.is_eligible(now, backend, criteria) {
            return None;
        }
        let is_trial = backend
            .in_flight
            .is_unresponsive(now, criteria.overdue_after);
        let available = if is_trial {
            TRIAL_CAPACITY
        } else {
            self.slots(key, criteria.limit_factor) - taken_slots(backend)
        };
        let is_quick = backend.recent_latency.value(now) <= 1.0;
        (available > 0).then(|| preference_of(available, is_quick))
    }

    /// Returns the greatest available capacity among the indexed backends of a group, and the backends that have it;
    /// `None` if no indexed backend has available capacity.
    ///
    /// Indexed backends are idle and have the same limit. Those with the highest slot offsets have one slot more than
    /// the others, since limit and offset are added and rounded down. If none of those with more slots is indexed, the
    /// available capacity is that of the others.
    fn most_available_of_group(
        &self,
        key: GroupKey,
        group: &Group,
        criteria: &Criteria,
    ) -> Option<(i64, Candidates)> {
        let machine_type_limit = self.machine_type_limit(group.zone(), group.machine_type());
        let limit = machine_type_limit * criteria.limit_factor;
        let fewer_slots = limit.floor();
        let more_slots = limit.floor() + 1.0;
        let expected_count = (limit - fewer_slots) * group.members().len() as f64;
        let has_more_slots = |rank| limit + self.slot_offset_of_rank(group, rank) >= more_slots;
        let with_more_slots = group.highest_offsets(expected_count as usize, has_more_slots);
        let by_slots = [
            (more_slots as i64, with_more_slots),
            (fewer_slots as i64, group.runs()),
        ];
        for (available, runs) in by_slots {
            let count = group.count(&runs);
            if available > 0 && count > 0 {
                let group = key;
                return Some((available, Candidates::Members { count, group, runs }));
            }
        }
        None
    }

    /// Returns the eligible backend with the greatest limit, or `None` if none is eligible. Used by a proxy that has
    /// nothing in flight and no slot.
    fn backend_with_greatest_limit(
        &self,
        now: Micros,
        criteria: &Criteria,
        tried: &[BackendKey],
    ) -> Option<BackendKey> {
        let unrounded_slots = |key| self.limit(key) * criteria.limit_factor + self.slot_offset(key);
        let compared = self
            .compared_backends(criteria, tried)
            .filter(|&key| self.is_eligible(now, &self.backends[key], criteria));
        let indexed = self
            .index
            .groups()
            .iter()
            .filter(|group| criteria.covers(group.zone(), None))
            .flat_map(Group::highest_of_runs);
        compared
            .chain(indexed)
            .max_by(|&a, &b| unrounded_slots(a).total_cmp(&unrounded_slots(b)))
    }

    /// Reports whether a backend may be selected for a request, apart from its available capacity.
    ///
    /// Backends that may not receive any request are already left out of the index (see `indexing`), but not out of the
    /// set of a cell's backends.
    fn is_eligible(&self, now: Micros, backend: &BackendState, criteria: &Criteria) -> bool {
        let is_trial_in_flight = backend.outlier_detector.is_trial_in_flight();
        match backend.outlier_detector.state(now) {
            OutlierState::Healthy => {}
            OutlierState::Ejected(_) => return false,
            // Deviation: a backend whose ejection time is over receives a single trial request, which must be
            // repeatable.
            OutlierState::HalfOpen => return !is_trial_in_flight && criteria.is_repeatable,
        }
        // Deviation: an unresponsive backend may be hanging and receives nothing more, except a single trial request if
        // the loss of that request would be detected early: the attempts in flight may have been lost between proxy and
        // backend.
        if backend
            .in_flight
            .is_unresponsive(now, criteria.overdue_after)
            && (is_trial_in_flight || !criteria.detects_loss_early)
        {
            return false;
        }
        // Deviation: a backend that rejected a request receives nothing for about the time that one request takes. It
        // responds at once and would otherwise look like the least loaded backend.
        if now < backend.rejecting_until {
            return false;
        }
        match &backend.slow_start {
            Some(budget) => budget.has_token(now),
            None => true,
        }
    }
}

/// Returns the number of taken slots of a backend.
///
/// Deviation: an overtaken attempt of a quick class takes no slot, because it was lost between proxy and backend. The
/// module documentation of `latency` defines both terms.
fn taken_slots(backend: &BackendState) -> i64 {
    i64::from(backend.in_flight.count()) - backend.in_flight.overtaken_count() as i64
}

/// Returns a backend's preference over others: by available capacity, then by whether it was quick recently.
fn preference_of(available: i64, is_quick: bool) -> i64 {
    2 * available + i64::from(is_quick)
}
