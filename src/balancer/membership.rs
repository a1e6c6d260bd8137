//! Membership: changes of the backends, and the calls to discovery that bring them.

use super::Balancer;
use super::backends::{BackendKey, BackendState};
use super::in_flight::InFlight;
use super::index::{Change, IndexEntry};
use super::slow_start::SlowStartBudget;
use super::timers::Timer;
use crate::api::{Action, Backend, DiscoveryMode, MachineType, MembershipEvent, Micros, Readiness};

impl Balancer {
    pub(super) fn on_membership(
        &mut self,
        now: Micros,
        event: MembershipEvent<'_>,
        out: &mut Vec<Action>,
    ) {
        match event {
            MembershipEvent::Delta(backends) => self.take_list(now, backends, false, out),
            MembershipEvent::Full(backends) => self.take_list(now, backends, true, out),
            MembershipEvent::Cached(backends) => {
                if self.settings.discovery_mode == DiscoveryMode::Polled {
                    let delay = self.subscription.first_delay(&self.settings, &mut self.rng);
                    subscribe_after(delay, out);
                }
                self.take_list(now, backends, true, out);
            }
            MembershipEvent::WatchFailed => {
                let delay = self.subscription.next_delay(&self.settings, &mut self.rng);
                subscribe_after(delay, out);
            }
            // Departure: a change that a stalled watch misses counts as known soon, so there is no backoff.
            MembershipEvent::WatchStalled => out.push(Action::Subscribe),
        }
    }

    fn take_list(
        &mut self,
        now: Micros,
        backends: &[Backend],
        is_complete: bool,
        out: &mut Vec<Action>,
    ) {
        self.subscription.reset();
        self.list_generation += u32::from(is_complete);
        let mut changes = Vec::new();
        for backend in backends {
            self.update_backend(now, backend, &mut changes);
        }
        if is_complete {
            self.remove_unlisted(&mut changes);
        }
        self.apply_changes(now, changes);
        self.serve_queue(now, out);
    }

    /// Removes the backends that the last complete list lacks.
    fn remove_unlisted(&mut self, changes: &mut Vec<Change>) {
        let generation = self.list_generation;
        for key in self.backends.keys() {
            let backend = &self.backends[key];
            if backend.listed && backend.last_seen_generation != generation {
                self.set_listed(key, false, false, changes);
            }
        }
    }

    /// Takes one backend of a list; if its position in the index changes with it, it is added to `changes`.
    fn update_backend(&mut self, now: Micros, update: &Backend, changes: &mut Vec<Change>) {
        let is_listed = update.readiness != Readiness::Removed;
        let is_ready = update.readiness == Readiness::Ready;
        let key = match self.backends.find(update.id) {
            Some(key) => key,
            None if !is_listed => return,
            None => self.insert_backend(now, update),
        };
        let backend = &mut self.backends[key];
        backend.last_seen_generation = self.list_generation;
        if backend.started_at != update.started_at {
            backend.started_at = update.started_at;
            changes.push(change_of(key, backend));
            self.restart_backend(now, key);
        }
        self.set_listed(key, is_listed, is_ready, changes);
    }

    fn insert_backend(&mut self, now: Micros, update: &Backend) -> BackendKey {
        let last_machine_type = MachineType(self.settings.machine_type_count.saturating_sub(1));
        let machine_type = update.machine_type.min(last_machine_type);
        let group = self.index.find_or_add_group(update.zone, machine_type);
        let key = self.backends.insert(BackendState {
            id: update.id,
            zone: update.zone,
            machine_type,
            cell: update.cell,
            started_at: update.started_at,
            in_flight: InFlight::new(now),
            index_entry: IndexEntry::new(group),
            ..BackendState::default()
        });
        self.restart_backend(now, key);
        key
    }

    /// Sets whether a backend is listed and ready.
    fn set_listed(
        &mut self,
        key: BackendKey,
        is_listed: bool,
        is_ready: bool,
        changes: &mut Vec<Change>,
    ) {
        let backend = &mut self.backends[key];
        if backend.ready != is_ready {
            changes.push(change_of(key, backend));
            self.index.set_cell_member(backend.cell, key, is_ready);
        }
        backend.listed = is_listed;
        backend.ready = is_ready;
        self.backends.remove_if_unused(key);
    }

    /// Takes note that a backend's process is new. It warms up if it started within the slow start's duration.
    fn restart_backend(&mut self, now: Micros, key: BackendKey) {
        let tokens = self.rng.f64();
        let backend = &mut self.backends[key];
        let slow_start = backend
            .started_at
            .map(|started_at| SlowStartBudget::new(now, started_at, tokens))
            .filter(|budget| !budget.is_over(now, &self.settings.safety));
        backend.restart(now, slow_start);
    }
}

fn change_of(key: BackendKey, backend: &BackendState) -> Change {
    Change {
        backend: key,
        group: backend.index_entry.group,
        id: backend.id,
    }
}

fn subscribe_after(delay: Micros, out: &mut Vec<Action>) {
    let action = if delay > 0 {
        Action::SetTimer {
            after: delay,
            token: Timer::Subscribe.token(),
        }
    } else {
        Action::Subscribe
    };
    out.push(action);
}
