//! The table of backends, and what each policy keeps of one backend.

use super::connections::ConnectionUse;
use super::in_flight::InFlight;
use super::index::IndexEntry;
use super::latency::RecentLatency;
use super::limits::BackendLimit;
use super::outliers::Health;
use super::slow_start::SlowStartBudget;
use crate::api::{BackendId, Cell, MachineType, Micros, Zone};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

#[cfg(test)]
mod tests;

/// Key of a backend in the [`BackendTable`]. It stays the same as long as the backend is in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BackendKey(u32);

impl BackendKey {
    fn new(index: usize) -> Self {
        Self(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// One backend: who it is, and the state of each policy about it.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(crate) id: BackendId,
    pub(crate) zone: Zone,
    pub(crate) machine_type: MachineType,
    pub(crate) cell: Cell,
    /// When its process last started; `None`: long ago.
    pub(crate) started_at: Option<Micros>,
    /// Discovery lists it. A backend that is not listed is forgotten once no request refers to it.
    pub(crate) listed: bool,
    /// It may be sent to.
    pub(crate) ready: bool,
    /// The last complete list that had it.
    pub(crate) last_seen_generation: u32,
    /// Attempts of open requests that refer to its key.
    pub(crate) references: u32,
    pub(crate) in_flight: InFlight,
    pub(crate) limit: BackendLimit,
    pub(crate) recent_latency: RecentLatency,
    pub(crate) health: Health,
    /// It rejected a request and until then counts as having no capacity.
    pub(crate) rejecting_until: Micros,
    /// While it warms up: what this proxy may send it.
    pub(crate) slow_start: Option<SlowStartBudget>,
    pub(crate) connections: ConnectionUse,
    pub(crate) index_entry: IndexEntry,
}

impl BackendState {
    /// Forgets the limit, connections, failures and ejection of the backend's previous process. Attempts that are still in
    /// flight stay counted until they end, and so do a trial request among them, the time of its last rejection and its
    /// recent latency.
    pub(crate) fn restart(&mut self, now: Micros, slow_start: Option<SlowStartBudget>) {
        self.limit.reset(now);
        self.connections.clear();
        self.health.reset();
        self.slow_start = slow_start;
    }
}

/// The backends that are listed or that an open request refers to.
///
/// A key is used again only when no attempt refers to it: the attempt's outcome would be credited to the new backend.
#[derive(Default)]
pub(crate) struct BackendTable {
    entries: Vec<BackendState>,
    free: Vec<BackendKey>,
    by_id: FxHashMap<BackendId, BackendKey>,
}

impl BackendTable {
    /// Finds the key of a backend.
    pub(crate) fn find(&self, id: BackendId) -> Option<BackendKey> {
        self.by_id.get(&id).copied()
    }

    /// Adds a backend that is not in the table.
    pub(crate) fn insert(&mut self, backend: BackendState) -> BackendKey {
        let key = self
            .free
            .pop()
            .unwrap_or(BackendKey::new(self.entries.len()));
        self.by_id.insert(backend.id, key);
        match self.entries.get_mut(key.index()) {
            Some(unused) => *unused = backend,
            None => self.entries.push(backend),
        }
        key
    }

    /// Returns all keys, those of unused entries included; an unused entry is neither listed nor ready.
    pub(crate) fn keys(&self) -> impl Iterator<Item = BackendKey> + use<> {
        (0..self.entries.len()).map(BackendKey::new)
    }

    /// Returns all entries, the unused ones included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.entries.iter()
    }

    /// Notes that an attempt of an open request no longer refers to a backend.
    pub(crate) fn release(&mut self, key: BackendKey) {
        self[key].references -= 1;
        self.remove_if_unused(key);
    }

    /// Removes a backend that is not listed and that no open request refers to.
    pub(crate) fn remove_if_unused(&mut self, key: BackendKey) {
        let backend = &self[key];
        let is_used = backend.listed || backend.references > 0;
        if is_used || self.find(backend.id) != Some(key) {
            return;
        }
        let id = backend.id;
        self.by_id.remove(&id);
        self[key] = BackendState::default();
        self.free.push(key);
    }
}

impl Index<BackendKey> for BackendTable {
    type Output = BackendState;

    fn index(&self, key: BackendKey) -> &BackendState {
        &self.entries[key.index()]
    }
}

impl IndexMut<BackendKey> for BackendTable {
    fn index_mut(&mut self, key: BackendKey) -> &mut BackendState {
        &mut self.entries[key.index()]
    }
}
