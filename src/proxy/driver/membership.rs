//! Membership updates: changes of the endpoint list, and failures of the watch on it.

use super::Driver;
use crate::api::{Backend, BackendId, Event, MembershipEvent, Micros};
use crate::proxy::messages::{Endpoint, MembershipUpdate};
use rustc_hash::FxHashSet;

impl Driver {
    /// Updates the table of listed backends, then notifies the balancer. The table comes first because the balancer may
    /// start an attempt on a backend that the update adds.
    pub(super) fn on_membership(&mut self, now: Micros, update: &MembershipUpdate) {
        let endpoints = update.endpoints();
        if update.is_complete_list() {
            self.remove_unlisted(endpoints);
        }
        self.update_endpoints(endpoints);
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

    fn remove_unlisted(&self, endpoints: &[Endpoint]) {
        let listed: FxHashSet<BackendId> = endpoints
            .iter()
            .map(|endpoint| endpoint.backend.id)
            .collect();
        self.backend_client.retain(|id| listed.contains(&id));
    }

    fn update_endpoints(&self, endpoints: &[Endpoint]) {
        for Endpoint { backend, address } in endpoints {
            self.backend_client
                .update(backend.id, *address, backend.readiness, backend.started_at);
        }
    }
}
