//! Choice of a backend: the greatest room, in the near zones first, ties at random.

use super::Balancer;
use crate::api::{Cell, Idempotency, Micros, Zone};
use crate::index::{Candidates, Group, Ties};
use crate::spread::golden_ratio_position;
use crate::state::{Scope, Server};
use fastrand::Rng;

#[cfg(test)]
mod tests;

/// Servers that a proxy spreads its requests over, at the least, where its limits add up to fewer slots.
const MIN_SPREAD_SERVERS: f64 = 3.0;
/// Part of a server's limit that requests beyond their tenant's share may fill.
const OVER_SHARE_LIMIT: f64 = 0.6;
/// A crossing of zones that costs less than this part of a request's worth counts as free.
const FREE_CROSSING: f64 = 0.01;

impl Balancer {
    /// Departure: where a proxy's limits add up to few slots (many proxies with little traffic each), its
    /// slots spread over more servers, and the sum of its limits, with the square root of it for the chance
    /// that requests come together, bounds what it has out in all.
    pub(super) fn judge_pool(&mut self, now: Micros) {
        let common =
            |group: &Group| group.members.len() as f64 * self.common_limit(group.zone, group.kind);
        let beyond = |&index: &usize| {
            let server = &self.servers[index];
            self.limit(index) - self.common_limit(server.zone, server.kind)
        };
        let slots = self.index.groups.iter().map(common).sum::<f64>();
        let slots = slots + self.index.individual.iter().map(beyond).sum::<f64>();
        let turn = golden_ratio_position(self.settings.proxy_index);
        self.pool.judged_at = Some(now);
        self.pool.slots = slots;
        self.pool.limit_factor = if slots > 0.0 {
            (MIN_SPREAD_SERVERS / slots).max(1.0)
        } else {
            1.0
        };
        let most = if self.pool.limit_factor > 1.0 {
            (slots + slots.sqrt() + turn) as u32
        } else {
            u32::MAX
        };
        self.pool.max_in_flight = most.max(1);
    }

    /// Whether a zone's servers can be sent to without a price for the way.
    pub(super) fn near(&self, zone: Zone) -> bool {
        zone == self.settings.zone || self.settings.cross_zone_cost <= FREE_CROSSING
    }

    /// The server with the greatest room, in the own zone first.
    pub(super) fn pick(&mut self, now: Micros, slot: usize) -> Option<usize> {
        let query = self.query(now, slot)?;
        let tried: Vec<usize> = self.open[slot].attempts.iter().map(|a| a.server).collect();
        tried
            .iter()
            .for_each(|&server| self.index.flag(&self.servers[server], false));
        let mut rng = self.rng.clone();
        let best = self
            .best(now, &query, &tried, &mut rng)
            .and_then(|best| self.index.draw(&best, &mut rng));
        self.rng = rng;
        // Departure: a proxy that holds no slot on any server would serve nobody. One request may be out.
        let idle = self.in_flight == 0;
        let chosen = best.or_else(|| self.spare(now, &query, &tried).filter(|_| idle));
        tried
            .into_iter()
            .for_each(|server| self.reindex(now, server));
        chosen
    }

    /// What a request asks of a server; none where nothing may start for it now.
    fn query(&self, now: Micros, slot: usize) -> Option<Query> {
        let open = &self.open[slot];
        let scope = self.scope(now, open);
        // What is overdue was lost, or its server is barred for it.
        let out = |&s: &usize| {
            self.servers[s]
                .overdue_at
                .iter()
                .filter(|&&at| at >= now)
                .count() as u32
        };
        let bounded = self.pool.max_in_flight < u32::MAX;
        let full =
            bounded && self.index.scanned.iter().map(out).sum::<u32>() >= self.pool.max_in_flight;
        if scope == Scope::Nowhere || full {
            return None;
        }
        let repeatable =
            self.settings.classes[open.class].idempotency != Idempotency::NonIdempotent;
        Some(Query {
            scope,
            repeatable,
            detects_loss_early: repeatable && self.is_quick(open.class),
            overdue: self.overdue(open.class),
            limit_factor: self.pool.limit_factor
                * if open.over_share {
                    OVER_SHARE_LIMIT
                } else {
                    1.0
                },
        })
    }

    /// The servers of the highest rank, near ones first.
    fn best(
        &self,
        now: Micros,
        query: &Query,
        tried: &[usize],
        rng: &mut Rng,
    ) -> Option<Candidates> {
        let mut near = Ties::default();
        let mut far = Ties::default();
        for index in self.compared(query, tried) {
            let Some(rank) = self.rank(now, query, index) else {
                continue;
            };
            let ties = if self.near(self.servers[index].zone) {
                &mut near
            } else {
                &mut far
            };
            ties.offer(rank, Candidates::One(index), rng);
        }
        for (ties, wanted) in [(&mut near, true), (&mut far, false)] {
            for (number, group) in self.index.groups.iter().enumerate() {
                if self.near(group.zone) == wanted
                    && query.covers(group.zone, None)
                    && let Some((room, candidates)) = self.group_room(number, query.limit_factor)
                {
                    ties.offer(rank_of(room, true), candidates, rng);
                }
            }
            if ties.best.is_some() {
                return ties.best.take();
            }
        }
        None
    }

    /// The servers that are compared one by one.
    fn compared(&self, query: &Query, tried: &[usize]) -> impl Iterator<Item = usize> {
        let servers = match query.scope {
            Scope::Cell(cell) => self.index.cells.get(&cell),
            _ => Some(&self.index.scanned),
        };
        let in_scope = |server: &Server| query.covers(server.zone, Some(server.cell));
        let servers = servers
            .into_iter()
            .flatten()
            .copied()
            .filter(|index| !tried.contains(index));
        servers.filter(move |&index| in_scope(&self.servers[index]))
    }

    /// A server's rank if it may have the request. Of the same room, one that was slow of late comes last:
    /// what goes there holds its slot for long, and its window may take many seconds to fill.
    fn rank(&self, now: Micros, query: &Query, index: usize) -> Option<i64> {
        let server = &self.servers[index];
        if !self.available(now, server, query) {
            return None;
        }
        // Departure: a quick attempt that its server passed over was lost on the way; it holds no slot.
        let taken = i64::from(server.in_flight) - server.passed_over() as i64;
        let trial = server.is_unresponsive(now, query.overdue);
        let room = if trial {
            1
        } else {
            self.slots(index, query.limit_factor) - taken
        };
        (room > 0).then(|| rank_of(room, server.recent_latency(now) <= 1.0))
    }

    /// The most room that indexed servers of a group have, and those that have it. All have the same limit,
    /// so those of the highest slot offsets have a slot more than the others.
    fn group_room(&self, number: usize, factor: f64) -> Option<(i64, Candidates)> {
        let group = &self.index.groups[number];
        let limit = self.common_limit(group.zone, group.kind) * factor;
        let (least, more) = (limit.floor(), limit.floor() + 1.0);
        let expected = (limit - least) * group.members.len() as f64;
        let highest = group.highest(expected as usize, |rank| {
            limit + self.slot_offset_of(group, rank) >= more
        });
        let rooms = [(more as i64, highest), (least as i64, group.runs())];
        rooms
            .into_iter()
            .filter(|(room, _)| *room > 0)
            .find_map(|(room, runs)| {
                let count = group.count(&runs);
                (count > 0).then_some((room, Candidates::Members(count, number, runs)))
            })
    }

    /// The server with most of its limit left although no whole slot, for a proxy that has nothing out.
    fn spare(&self, now: Micros, query: &Query, tried: &[usize]) -> Option<usize> {
        let left = |index: usize| self.limit(index) * query.limit_factor + self.slot_offset(index);
        let compared = self.compared(query, tried);
        let compared = compared.filter(|&index| self.available(now, &self.servers[index], query));
        let groups = self
            .index
            .groups
            .iter()
            .filter(|group| query.covers(group.zone, None));
        compared
            .chain(groups.flat_map(Group::tops))
            .max_by(|&a, &b| left(a).total_cmp(&left(b)))
    }

    /// Whether a server may be chosen at all, apart from its room.
    fn available(&self, now: Micros, server: &Server, query: &Query) -> bool {
        if let Some(until) = server.ejected_until {
            // Departure: an ejected server gets one trial, of a request that can be repeated.
            return now >= until && !server.trial_in_flight && query.repeatable;
        }
        // Departure: a server that owes answers and gave none for long may hang: nothing more goes
        // there. Where what it owes may have been lost on the way, it gets one trial that is given up soon.
        if server.is_unresponsive(now, query.overdue)
            && (server.trial_in_flight || !query.detects_loss_early)
        {
            return false;
        }
        // Departure: a server that turns requests away answers at once and so looks the emptiest of all. It
        // is left alone for about the time in which one of its requests ends.
        if now < server.full_until {
            return false;
        }
        server
            .cold
            .as_ref()
            .is_none_or(|cold| cold.available(now) >= 1.0)
    }
}

/// What a request asks of a server.
struct Query {
    scope: Scope,
    repeatable: bool,
    /// An attempt that was lost would be given up soon.
    detects_loss_early: bool,
    overdue: Micros,
    /// The factor on limits.
    limit_factor: f64,
}

impl Query {
    /// Whether servers of a zone, and of a cell where it is known, are in scope.
    fn covers(&self, zone: Zone, cell: Option<Cell>) -> bool {
        match self.scope {
            Scope::Zone(only) => zone == only,
            Scope::Cell(only) => cell == Some(only),
            Scope::Anywhere | Scope::Nowhere => true,
        }
    }
}

/// How a server compares with others, from its room and whether it was quick of late.
fn rank_of(room: i64, quick: bool) -> i64 {
    2 * room + i64::from(quick)
}
