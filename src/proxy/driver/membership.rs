//! Membership updates: changes of the endpoint list and failures of the watch on it.

use super::Driver;
use crate::api::{Backend, BackendId, Event, MembershipEvent, Micros};
use crate::proxy::messages::{Endpoint, MembershipUpdate};
use rustc_hash::FxHashSet;

impl Driver {
    /// Updates the table of listed backends and then notifies the balancer. The table is updated first, because the
    /// balancer may start an attempt on a backend that the update adds.
    pub(super) fn on_membership(&mut self, now: Micros, update: &MembershipUpdate) {
        let endpoints = update.endpoints();
        if update.is_complete_list() {
            self.remove_unlisted(endpoints);
        }
        self.apply_to_listed_backends(endpoints);
        let backends: Vec<Backend> = endpoints.iter().map(|endpoint| endpoint.backend).collect();
        let event = match update {
            MembershipUpdate::Delta(_) => MembershipEvent::Delta(&backends),
            MembershipUpdate::Full(_) => MembershipEvent::Full(&backends),
            MembershipUpdate::Cached(_) => MembershipEvent::Cached(&backends),
            MembershipUpdate::WatchFailed => MembershipEvent::WatchFailed,
            MembershipUpdate::WatchStalled => MembershipEvent::WatchStalled,
        };
        self.handle_event(now, Event::Membership(event));
    }

    /// Removes the backends that a complete list does not contain from the table.
    fn remove_unlisted(&self, endpoints: &[Endpoint]) {
        let listed: FxHashSet<BackendId> = endpoints
            .iter()
            .map(|endpoint| endpoint.backend.id)
            .collect();
        self.backend_client.retain(|id| listed.contains(&id));
    }

    /// Applies the endpoints to the table of listed backends, which holds their connections.
    fn apply_to_listed_backends(&self, endpoints: &[Endpoint]) {
        for Endpoint { backend, address } in endpoints {
            self.backend_client
                .update(backend.id, *address, backend.readiness, backend.started_at);
        }
    }
}
