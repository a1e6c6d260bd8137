//! Membership: what discovery says of the backends, and when it is called.

use super::{Balancer, SECOND, TIMER_SUBSCRIBE};
use crate::api::{
    Action, Backend, DiscoveryMode, MachineType, MembershipEvent, Micros, Readiness, Zone,
};
use crate::index::{Change, sync};
use crate::state::{ColdBudget, LimitSource, Server, Stamped, Window};

/// All proxies together call discovery this often: when they start, and after calls that failed.
const FIRST_CALL_EVERY: Micros = SECOND / 50;
const CALL_EVERY: Micros = SECOND / 5;
/// The longest wait ahead of a call and the time that one takes at the most, with a second to spare.
const CALL_TAKES: Micros = 8 * SECOND;
/// A proxy has to know a change 6 s after discovery had it and could be reached; a call takes 3.5 s at most.
const LONGEST_WAIT: Micros = 5 * SECOND / 2;

impl Balancer {
    pub(super) fn on_membership(
        &mut self,
        now: Micros,
        news: MembershipEvent<'_>,
        out: &mut Vec<Action>,
    ) {
        let (entries, complete) = match news {
            MembershipEvent::Delta(entries) => (entries, false),
            MembershipEvent::Full(entries) => (entries, true),
            MembershipEvent::Cached(entries) => {
                if self.settings.discovery_mode == DiscoveryMode::Polled {
                    self.subscribe(0, FIRST_CALL_EVERY, out);
                }
                (entries, true)
            }
            MembershipEvent::WatchFailed => return self.resubscribe_later(out),
            // Departure: what a silent subscription misses counts as known soon, so it is renewed at once.
            MembershipEvent::WatchStalled => return out.push(Action::Subscribe),
        };
        self.subscribe_failures = 0;
        self.generation += u32::from(complete);
        let mut changed = Vec::new();
        for entry in entries {
            self.update(now, entry, &mut changed);
        }
        if complete {
            let named = |s: &Server| !s.listed || s.seen == self.generation;
            let gone: Vec<_> = (0..self.servers.len())
                .filter(|&i| !named(&self.servers[i]))
                .collect();
            gone.into_iter()
                .for_each(|index| self.list(index, false, false, &mut changed));
        }
        self.regroup(now, changed);
        self.serve_queue(now, out);
    }

    /// A call failed or the subscription broke: ask again, later each time and not all proxies at once.
    pub(super) fn resubscribe_later(&mut self, out: &mut Vec<Action>) {
        let wait = (SECOND / 8) << self.subscribe_failures.min(4);
        self.subscribe_failures += 1;
        self.subscribe(wait, CALL_EVERY, out);
    }

    /// Asks discovery. Departure: not at once, but `wait` from now and at random in the time that all proxies
    /// take at one call `every` so long, within what the rules allow; together they would keep it overbooked.
    pub(super) fn subscribe(&mut self, wait: Micros, every: Micros, out: &mut Vec<Action>) {
        // A proxy is held to what it could have asked from four times `ask_within` after a call that failed.
        let most = self
            .settings
            .safety
            .poll_interval
            .saturating_mul(4)
            .saturating_sub(CALL_TAKES)
            .max(SECOND);
        let most = most.min(LONGEST_WAIT);
        let wait = wait.min(most / 2);
        let span = wait
            .max(u64::from(self.settings.proxy_count - 1) * every)
            .min(most - wait);
        let after = wait + self.rng.u64(0..=span);
        let later = Action::SetTimer {
            after,
            token: TIMER_SUBSCRIBE,
        };
        out.push(if after > 0 { later } else { Action::Subscribe });
    }

    /// Takes one entry of a list; a server whose place in the index changes with it is added to `changed`.
    fn update(&mut self, now: Micros, entry: &Backend, changed: &mut Vec<Change>) {
        let ready = entry.readiness == Readiness::Ready;
        let listed = entry.readiness != Readiness::Removed;
        let index = match self.servers.find(entry.id) {
            Some(index) => index,
            None if !listed => return,
            None => self.insert(now, entry),
        };
        let server = &mut self.servers[index];
        server.seen = self.generation;
        if server.started != entry.started_at {
            server.started = entry.started_at;
            changed.push(Change {
                place: index,
                group: server.group,
                id: entry.id,
            });
            self.restarted(now, index);
        }
        self.list(index, listed, ready, changed);
    }

    fn insert(&mut self, now: Micros, entry: &Backend) -> usize {
        let kind = entry.machine_type.min(MachineType(
            self.settings.machine_type_count.saturating_sub(1),
        ));
        let group = self.index.group_of(entry.zone, kind);
        let &Backend {
            id,
            zone,
            cell,
            started_at: started,
            ..
        } = entry;
        let server = Server {
            id,
            zone,
            kind,
            cell,
            group,
            started,
            unanswered_since: now,
            ..Server::default()
        };
        let index = self.servers.insert(server);
        self.restarted(now, index);
        index
    }

    /// Whether a server is listed and ready from now on; one that is gone is forgotten once nothing names it.
    fn list(&mut self, index: usize, listed: bool, ready: bool, changed: &mut Vec<Change>) {
        let server = &mut self.servers[index];
        if server.ready != ready {
            changed.push(Change {
                place: index,
                group: server.group,
                id: server.id,
            });
            sync(
                self.index.cells.entry(server.cell).or_default(),
                index,
                ready,
            );
        }
        (server.listed, server.ready) = (listed, ready);
        self.servers.forget_if_gone(index);
    }

    /// A server's process is new: what was known of the old one counts no more.
    pub(super) fn restarted(&mut self, now: Micros, index: usize) {
        let tokens = self.rng.f64();
        let server = &mut self.servers[index];
        server.limit_source = LimitSource::Kind;
        server.report_factor = Stamped {
            value: 1.0,
            at: now,
        };
        server.window = Window {
            since: now,
            ..Window::default()
        };
        server.connections_used_at.clear();
        server.failures = 0.0;
        server.ejected_until = None;
        server.strikes = 0;
        let started = server
            .started
            .filter(|&t| now < t.saturating_add(self.settings.safety.slow_start_duration));
        server.cold = started.map(|started| ColdBudget {
            started,
            tokens,
            filled_at: now,
            rate: 0.0,
        });
    }

    /// This proxy's part of a server of a zone: the inverse of how many proxies use it. Departure: bounds
    /// and steps of a limit are the server's, so that the admitted sum does not grow with the bank.
    pub(super) fn share(&self, zone: Zone) -> f64 {
        let balancers = f64::from(self.settings.proxy_count);
        let local = (balancers / f64::from(self.settings.zone_count)).max(1.0);
        1.0 / if zone == self.settings.zone {
            local
        } else {
            balancers
        }
    }
}
