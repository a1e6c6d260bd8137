//! The table of backends, and the state that the policies keep of each backend.

use super::connections::ConnectionIdleTimes;
use super::in_flight::InFlight;
use super::index::IndexEntry;
use super::latency::RecentLatency;
use super::limits::BackendLimit;
use super::outliers::OutlierDetector;
use super::slow_start::SlowStartBudget;
use crate::api::{BackendId, Cell, MachineType, Micros, Zone};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

#[cfg(test)]
mod tests;

/// Table key of a backend, valid while the backend is in the [`BackendTable`].
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

/// Identity of one backend and the state that each policy keeps of it.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(crate) id: BackendId,
    pub(crate) zone: Zone,
    pub(crate) machine_type: MachineType,
    pub(crate) cell: Cell,
    /// Last start of the backend's process; `None` if it is too long ago to matter.
    pub(crate) started_at: Option<Micros>,
    /// Whether discovery lists the backend. A backend that is not listed is removed once no request refers to it.
    pub(crate) listed: bool,
    /// Whether the backend may receive requests: it is listed and not draining.
    pub(crate) ready: bool,
    /// Number of complete lists that had been received when a list last contained the backend.
    pub(crate) last_seen_generation: u32,
    /// Number of attempts, of all open requests, that refer to the backend by its table key.
    pub(crate) references: u32,
    pub(crate) in_flight: InFlight,
    pub(crate) limit: BackendLimit,
    pub(crate) recent_latency: RecentLatency,
    pub(crate) outlier_detector: OutlierDetector,
    /// Time until which the backend counts as having no capacity because it rejected a request.
    pub(crate) rejecting_until: Micros,
    /// Slow-start budget of this proxy for the backend; `None` if the backend is not in slow start.
    pub(crate) slow_start: Option<SlowStartBudget>,
    pub(crate) connections: ConnectionIdleTimes,
    pub(crate) index_entry: IndexEntry,
}

impl BackendState {
    /// Clears the limit, connections, failures and ejection of the backend's previous process, and sets its slow-start
    /// budget.
    ///
    /// Attempts in flight still count until they end, and a trial request stays in flight. The time of the last
    /// rejection and the recent latency are kept.
    pub(crate) fn restart(&mut self, now: Micros, slow_start: Option<SlowStartBudget>) {
        self.limit.reset(now);
        self.connections.clear();
        self.outlier_detector.reset();
        self.slow_start = slow_start;
    }
}

/// Table of the backends that are listed or that an open request refers to.
///
/// A key is reused only when no attempt refers to it. Otherwise the attempt's outcome would be recorded for the new
/// backend.
#[derive(Default)]
pub(crate) struct BackendTable {
    entries: Vec<BackendState>,
    free: Vec<BackendKey>,
    by_id: FxHashMap<BackendId, BackendKey>,
}

impl BackendTable {
    /// Returns the table key of a backend, or `None` if it is not in the table.
    pub(crate) fn find(&self, id: BackendId) -> Option<BackendKey> {
        self.by_id.get(&id).copied()
    }

    /// Adds a backend that is not in the table yet and returns its key.
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

    /// Returns all keys, including those of unused entries, which are neither listed nor ready.
    pub(crate) fn keys(&self) -> impl Iterator<Item = BackendKey> + use<> {
        (0..self.entries.len()).map(BackendKey::new)
    }

    /// Returns all entries, including unused ones, which are neither listed nor ready.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendState> {
        self.entries.iter()
    }

    /// Removes the reference of one attempt to a backend, and the backend itself if it is then no longer used.
    pub(crate) fn release(&mut self, key: BackendKey) {
        self[key].references -= 1;
        self.remove_if_unused(key);
    }

    /// Removes a backend if it is not listed and no open request refers to it.
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
