//! Selection of a backend: the greatest available capacity, near zones first, ties at random.
//!
//! Zones are near if attempts there cost nothing extra: the proxy's own zone, or all zones where crossing them is cheap.

use super::Balancer;
use super::backends::{BackendKey, BackendState};
use super::index::{Candidates, Group, GroupKey, TiedCandidates};
use super::outliers::HealthState;
use super::requests::RequestKey;
use super::retries::RetryScope;
use crate::api::{Cell, Idempotency, Micros, Zone};
use fastrand::Rng;

#[cfg(test)]
mod tests;

/// Part of a backend's limit that requests over their tenant's quota may fill.
const OVER_QUOTA_LIMIT_FACTOR: f64 = 0.6;
/// A request that crosses zones at less than this part of its priority weight is not kept in its zone.
const FREE_CROSSING_COST: f64 = 0.01;
/// Available capacity of a backend that gets a single trial request.
const TRIAL_CAPACITY: i64 = 1;

/// What a request asks of a backend.
struct Query {
    scope: RetryScope,
    is_repeatable: bool,
    /// An attempt that is lost would time out soon.
    detects_loss_early: bool,
    /// The time after which an attempt of its class is overdue.
    overdue_after: Micros,
    /// Factor on limits.
    limit_factor: f64,
}

impl Query {
    /// Whether the backends of a zone, and of a cell where it is known, are in scope.
    fn covers(&self, zone: Zone, cell: Option<Cell>) -> bool {
        match self.scope {
            RetryScope::Zone(only) => zone == only,
            RetryScope::Cell(only) => cell == Some(only),
            RetryScope::Anywhere | RetryScope::Nowhere => true,
        }
    }
}

impl Balancer {
    /// Selects the backend of a request's next attempt, if one has available capacity.
    pub(super) fn select_backend(
        &mut self,
        now: Micros,
        request: RequestKey,
    ) -> Option<BackendKey> {
        let query = self.query(now, request)?;
        let attempts = &self.requests[request].attempts;
        let tried: Vec<BackendKey> = attempts.iter().map(|attempt| attempt.backend).collect();
        for &backend in &tried {
            self.index.set_indexed(&self.backends[backend], false);
        }
        let mut rng = self.rng.clone();
        let best = self
            .most_available(now, &query, &tried, &mut rng)
            .and_then(|candidates| self.index.sample(&candidates, &mut rng));
        self.rng = rng;
        // Departure: a proxy without a slot on any backend would serve nobody. It may have one request in flight.
        let selected = if best.is_none() && self.in_flight == 0 {
            self.greatest_limit(now, &query, &tried)
        } else {
            best
        };
        for backend in tried {
            self.reindex(now, backend);
        }
        selected
    }

    /// Whether attempts to a zone's backends cost nothing extra.
    fn is_near(&self, zone: Zone) -> bool {
        zone == self.settings.zone || self.settings.cross_zone_cost <= FREE_CROSSING_COST
    }

    /// Returns what a request asks of a backend; `None` where no attempt may start now.
    fn query(&self, now: Micros, request: RequestKey) -> Option<Query> {
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
        Some(Query {
            scope,
            is_repeatable,
            detects_loss_early: is_repeatable && is_quick,
            overdue_after: self.latencies.overdue_after(request.class, class),
            limit_factor: self.capacity.limit_factor() * quota_factor,
        })
    }

    /// Whether this proxy has as much in flight as it may. What is overdue was lost, or its backend gets nothing for it.
    fn is_in_flight_bound_reached(&self, now: Micros) -> bool {
        let Some(max_in_flight) = self.capacity.max_in_flight() else {
            return false;
        };
        let not_overdue = |&key: &BackendKey| self.backends[key].in_flight.not_overdue_count(now);
        self.index.compared().iter().map(not_overdue).sum::<u32>() >= max_in_flight
    }

    /// Returns the backends of the greatest preference, near ones first.
    ///
    /// Departure: where crossing zones has a cost, other zones are used when the own one has no available capacity.
    fn most_available(
        &self,
        now: Micros,
        query: &Query,
        tried: &[BackendKey],
        rng: &mut Rng,
    ) -> Option<Candidates> {
        let mut near = TiedCandidates::default();
        let mut far = TiedCandidates::default();
        for key in self.compared(query, tried) {
            let Some(preference) = self.preference(now, query, key) else {
                continue;
            };
            let tied = if self.is_near(self.backends[key].zone) {
                &mut near
            } else {
                &mut far
            };
            tied.offer(preference, Candidates::One(key), rng);
        }
        self.offer_groups(query, true, &mut near, rng);
        if !near.is_empty() {
            return near.into_best();
        }
        self.offer_groups(query, false, &mut far, rng);
        far.into_best()
    }

    /// Offers the indexed backends of all near, or all far, groups.
    fn offer_groups(&self, query: &Query, near: bool, tied: &mut TiedCandidates, rng: &mut Rng) {
        for (key, group) in self.index.keyed_groups() {
            let is_eligible =
                self.is_near(group.zone()) == near && query.covers(group.zone(), None);
            if is_eligible
                && let Some((available, candidates)) =
                    self.most_available_of_group(key, group, query)
            {
                tied.offer(preference_of(available, true), candidates, rng);
            }
        }
    }

    /// Returns the backends that are compared one by one.
    fn compared(&self, query: &Query, tried: &[BackendKey]) -> impl Iterator<Item = BackendKey> {
        let backends = match query.scope {
            RetryScope::Cell(cell) => self.index.cell(cell),
            _ => Some(self.index.compared()),
        };
        let untried = backends
            .into_iter()
            .flatten()
            .copied()
            .filter(|key| !tried.contains(key));
        untried.filter(move |&key| {
            let backend = &self.backends[key];
            query.covers(backend.zone, Some(backend.cell))
        })
    }

    /// Returns a backend's preference if it may have the request. Of the same available capacity, a backend that was slow
    /// recently comes last: a request there holds its slot for long, and its window may take many seconds to complete.
    fn preference(&self, now: Micros, query: &Query, key: BackendKey) -> Option<i64> {
        let backend = &self.backends[key];
        if !self.is_eligible(now, backend, query) {
            return None;
        }
        let is_trial = backend.in_flight.is_unresponsive(now, query.overdue_after);
        let available = if is_trial {
            TRIAL_CAPACITY
        } else {
            self.slots(key, query.limit_factor) - taken_slots(backend)
        };
        let is_quick = backend.recent_latency.value(now) <= 1.0;
        (available > 0).then(|| preference_of(available, is_quick))
    }

    /// Returns the greatest available capacity among the indexed backends of a group, and those that have it. All have
    /// the same limit, so those of the highest slot offsets have a slot more than the others.
    fn most_available_of_group(
        &self,
        key: GroupKey,
        group: &Group,
        query: &Query,
    ) -> Option<(i64, Candidates)> {
        let machine_type_limit = self.machine_type_limit(group.zone(), group.machine_type());
        let limit = machine_type_limit * query.limit_factor;
        let fewer_slots = limit.floor();
        let more_slots = limit.floor() + 1.0;
        let expected = (limit - fewer_slots) * group.members().len() as f64;
        let has_more_slots = |rank| limit + self.slot_offset_of_rank(group, rank) >= more_slots;
        let with_more_slots = group.highest(expected as usize, has_more_slots);
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

    /// Returns the backend with the greatest limit although no whole slot, for a proxy that has nothing in flight.
    fn greatest_limit(
        &self,
        now: Micros,
        query: &Query,
        tried: &[BackendKey],
    ) -> Option<BackendKey> {
        let limit = |key| self.limit(key) * query.limit_factor + self.slot_offset(key);
        let compared = self
            .compared(query, tried)
            .filter(|&key| self.is_eligible(now, &self.backends[key], query));
        let indexed = self
            .index
            .groups()
            .iter()
            .filter(|group| query.covers(group.zone(), None))
            .flat_map(Group::highest_of_runs);
        compared
            .chain(indexed)
            .max_by(|&a, &b| limit(a).total_cmp(&limit(b)))
    }

    /// Whether a backend may be selected for a request at all, apart from its available capacity. Backends that no request
    /// could go to are left out of the index before (`indexing`); this is about the rest.
    fn is_eligible(&self, now: Micros, backend: &BackendState, query: &Query) -> bool {
        let is_trial_in_flight = backend.health.is_trial_in_flight();
        match backend.health.state(now) {
            HealthState::Healthy => {}
            HealthState::Ejected(_) => return false,
            // Departure: a backend whose ejection is over gets one trial, of a request that can be repeated.
            HealthState::HalfOpen => return !is_trial_in_flight && query.is_repeatable,
        }
        // Departure: a backend with attempts in flight that gave no response for long may hang and gets nothing more. Where the requests may
        // have been lost on the way, it gets one trial, of a request that times out soon.
        if backend.in_flight.is_unresponsive(now, query.overdue_after)
            && (is_trial_in_flight || !query.detects_loss_early)
        {
            return false;
        }
        // Departure: a backend that rejects requests answers at once and so looks the least loaded of all. It gets nothing
        // for about the time in which one of its requests ends.
        if now < backend.rejecting_until {
            return false;
        }
        match &backend.slow_start {
            Some(budget) => budget.has_token(now),
            None => true,
        }
    }
}

/// Returns how many slots of a backend are taken.
///
/// Departure: a quick attempt that was overtaken was lost on the way; it takes no slot.
fn taken_slots(backend: &BackendState) -> i64 {
    i64::from(backend.in_flight.count()) - backend.in_flight.overtaken_count() as i64
}

/// Returns how a backend compares with others: by its available capacity, then by whether it was quick recently.
fn preference_of(available: i64, is_quick: bool) -> i64 {
    2 * available + i64::from(is_quick)
}
