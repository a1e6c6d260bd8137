//! The backends that discovery lists.

use super::endpoint::Endpoint;
use crate::api::{BackendId, Micros, Readiness};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The listed backends by their ids.
#[derive(Default)]
pub(super) struct Endpoints {
    listed: RefCell<FxHashMap<BackendId, Rc<Endpoint>>>,
}

impl Endpoints {
    pub(super) fn len(&self) -> usize {
        self.listed.borrow().len()
    }

    pub(super) fn get(&self, id: BackendId) -> Option<Rc<Endpoint>> {
        self.listed.borrow().get(&id).cloned()
    }

    /// Applies what discovery says of one backend.
    pub(super) fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        let mut listed = self.listed.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts in flight hold it until they end; a backend of its id later is another one.
            if let Some(endpoint) = listed.remove(&id) {
                endpoint.remove();
            }
            return;
        }
        let endpoint = listed
            .entry(id)
            .or_insert_with(|| Endpoint::new(address, started_at));
        endpoint.update(address, readiness, started_at);
    }

    /// Removes the backends that a complete list does not name.
    pub(super) fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.listed.borrow_mut().retain(|&id, endpoint| {
            let keep = is_listed(id);
            if !keep {
                endpoint.remove();
            }
            keep
        });
    }

    /// Calls `visit` with each backend.
    pub(super) fn for_each(&self, visit: impl Fn(&Endpoint)) {
        for endpoint in self.listed.borrow().values() {
            visit(endpoint);
        }
    }

    /// Closes the connection of all that has been idle for longest. Returns whether there was one.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let listed = self.listed.borrow();
        let idle_since = listed.values().filter_map(|endpoint| {
            let since = endpoint.oldest_idle_since()?;
            Some((since, endpoint))
        });
        let Some((_, endpoint)) = idle_since.min_by_key(|(since, _)| *since) else {
            return false;
        };
        endpoint.close_oldest_idle();
        true
    }
}
