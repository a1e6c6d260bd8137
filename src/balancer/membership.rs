//! Membership: updates of the backends from discovery, and the calls to discovery that request them.

use super::Balancer;
use super::backends::{BackendKey, BackendState};
use super::in_flight::InFlight;
use super::index::{Change, IndexEntry};
use super::slow_start::SlowStartBudget;
use super::timers::Timer;
use crate::api::{Action, Backend, DiscoveryMode, MachineType, MembershipEvent, Micros, Readiness};

impl Balancer {
    /// Applies a membership update, or starts the next call to discovery after one that failed.
    pub(super) fn on_membership(
        &mut self,
        now: Micros,
        event: MembershipEvent<'_>,
        out: &mut Vec<Action>,
    ) {
        match event {
            MembershipEvent::Delta(backends) => self.apply_list(now, backends, false, out),
            MembershipEvent::Full(backends) => self.apply_list(now, backends, true, out),
            MembershipEvent::Cached(backends) => {
                if self.settings.discovery_mode == DiscoveryMode::Polled {
                    let delay = self.subscription.first_delay(&self.settings, &mut self.rng);
                    subscribe_after(delay, out);
                }
                self.apply_list(now, backends, true, out);
            }
            MembershipEvent::WatchFailed => {
                let delay = self.subscription.next_delay(&self.settings, &mut self.rng);
                subscribe_after(delay, out);
            }
            // Deviation: there is no backoff after a stalled watch, because this proxy soon counts as notified of any
            // change that the watch has missed.
            MembershipEvent::WatchStalled => out.push(Action::Subscribe),
        }
    }

    /// Applies a list of backends. With `is_complete`, backends that the list lacks are removed.
    fn apply_list(
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

    /// Marks the backends that are not on the last complete list as removed.
    fn remove_unlisted(&mut self, changes: &mut Vec<Change>) {
        let generation = self.list_generation;
        for key in self.backends.keys() {
            let backend = &self.backends[key];
            if backend.listed && backend.last_seen_generation != generation {
                self.set_readiness(key, Readiness::Removed, changes);
            }
        }
    }

    /// Adds or updates one backend of a list. Adds the backend to `changes` if it became ready, stopped being ready or
    /// restarted.
    fn update_backend(&mut self, now: Micros, update: &Backend, changes: &mut Vec<Change>) {
        let key = match self.backends.find(update.id) {
            Some(key) => key,
            None if update.readiness == Readiness::Removed => return,
            None => self.insert_backend(now, update),
        };
        let backend = &mut self.backends[key];
        backend.last_seen_generation = self.list_generation;
        if backend.started_at != update.started_at {
            backend.started_at = update.started_at;
            changes.push(change_of(key, backend));
            self.restart_backend(now, key);
        }
        self.set_readiness(key, update.readiness, changes);
    }

    /// Adds a backend that is not in the table yet. A machine type that the settings do not include is replaced by the
    /// one with the highest number that they include.
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

    /// Sets whether a backend is listed and ready, and removes it from the table if it is no longer used.
    fn set_readiness(&mut self, key: BackendKey, readiness: Readiness, changes: &mut Vec<Change>) {
        let is_ready = readiness == Readiness::Ready;
        let backend = &mut self.backends[key];
        if backend.ready != is_ready {
            changes.push(change_of(key, backend));
            self.index.set_cell_member(backend.cell, key, is_ready);
        }
        backend.listed = readiness != Readiness::Removed;
        backend.ready = is_ready;
        self.backends.remove_if_unused(key);
    }

    /// Resets the state of a backend that is new or whose process has restarted. The backend is in slow start if its
    /// process started within the duration of slow start.
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

/// Returns the change of a backend for the index.
fn change_of(key: BackendKey, backend: &BackendState) -> Change {
    Change {
        backend: key,
        group: backend.index_entry.group,
        id: backend.id,
    }
}

/// Requests the next call to discovery after a delay, or at once if the delay is 0.
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
