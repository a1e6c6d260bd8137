//! The table of the backends that discovery lists.

use super::backend_connections::BackendConnections;
use crate::api::{BackendId, Micros, Readiness};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The connections of each listed backend.
#[derive(Default)]
pub(super) struct ListedBackends {
    by_id: RefCell<FxHashMap<BackendId, Rc<BackendConnections>>>,
}

impl ListedBackends {
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    pub(super) fn get(&self, id: BackendId) -> Option<Rc<BackendConnections>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// Applies the entry of the endpoint list for one backend.
    pub(super) fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        let mut by_id = self.by_id.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts in flight keep the `BackendConnections` until they end. If a backend with the same id is listed
            // later, it gets a new `BackendConnections`.
            if let Some(backend) = by_id.remove(&id) {
                backend.remove();
            }
            return;
        }
        let backend = by_id
            .entry(id)
            .or_insert_with(|| BackendConnections::new(address, started_at));
        backend.update(address, readiness, started_at);
    }

    /// Removes the backends for which `is_listed` returns false.
    pub(super) fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.by_id.borrow_mut().retain(|&id, backend| {
            let keep = is_listed(id);
            if !keep {
                backend.remove();
            }
            keep
        });
    }

    /// Calls `visit` with the connections of each backend.
    pub(super) fn for_each(&self, visit: impl Fn(&BackendConnections)) {
        for backend in self.by_id.borrow().values() {
            visit(backend);
        }
    }

    /// Closes the connection to any backend that has been idle for longest. Returns whether there was an idle
    /// connection.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let by_id = self.by_id.borrow();
        let idle_since = by_id.values().filter_map(|backend| {
            let since = backend.oldest_idle_since()?;
            Some((since, backend))
        });
        let Some((_, backend)) = idle_since.min_by_key(|(since, _)| *since) else {
            return false;
        };
        backend.close_oldest_idle();
        true
    }
}
