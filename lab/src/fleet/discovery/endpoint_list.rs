//! The endpoint list with its revisions and a history of changes.

use std::collections::VecDeque;
use std::sync::Arc;
use tillerproxy::api::{Backend, BackendId, Readiness};

/// A version of the list; each changed endpoint raises it by one.
pub type Revision = u64;

/// What brings a proxy's list up to date.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The revision that it leads to.
    pub revision: Revision,
    /// Whether `endpoints` is the full list; otherwise it holds those that changed.
    pub complete: bool,
    /// The endpoints, perhaps none.
    pub endpoints: Arc<[Backend]>,
}

/// The published endpoints.
#[derive(Debug)]
pub(super) struct EndpointList {
    /// By backend id, removed ones included.
    endpoints: Vec<Backend>,
    revision: Revision,
    /// The backend that each revision changed, the latest last.
    changes: VecDeque<BackendId>,
    history_limit: usize,
    /// The latest delta and the revision that it starts from: most watches share it.
    latest_delta: Option<(Revision, Arc<[Backend]>)>,
    /// The latest full list and its revision.
    latest_full: Option<(Revision, Arc<[Backend]>)>,
}

impl EndpointList {
    pub(super) fn new(endpoints: Vec<Backend>, history_limit: usize) -> Self {
        Self {
            endpoints,
            revision: 1,
            changes: VecDeque::new(),
            history_limit,
            latest_delta: None,
            latest_full: None,
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn endpoints(&self) -> &[Backend] {
        &self.endpoints
    }

    /// Publishes changed endpoints; each one is a revision.
    pub(super) fn publish(&mut self, changed: Vec<Backend>) {
        for endpoint in changed {
            self.endpoints[endpoint.id.index()] = endpoint;
            self.revision += 1;
            self.changes.push_back(endpoint.id);
        }
        let excess = self.changes.len().saturating_sub(self.history_limit);
        self.changes.drain(..excess);
        self.latest_delta = None;
    }

    /// Returns what changed since a revision, or the full list where that is too long ago.
    pub(super) fn since(&mut self, known_revision: Option<Revision>) -> ListUpdate {
        let oldest = self.revision - self.changes.len() as Revision;
        let delta_from = known_revision.filter(|known| (oldest..=self.revision).contains(known));
        let endpoints = match delta_from {
            Some(known) => self.delta(known),
            None => self.full(),
        };
        ListUpdate {
            revision: self.revision,
            complete: delta_from.is_none(),
            endpoints,
        }
    }

    fn delta(&mut self, known_revision: Revision) -> Arc<[Backend]> {
        if let Some((from, endpoints)) = &self.latest_delta
            && *from == known_revision
        {
            return endpoints.clone();
        }
        let new_changes = (self.revision - known_revision) as usize;
        let known_changes = self.changes.len() - new_changes;
        let mut changed: Vec<BackendId> = self.changes.range(known_changes..).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        let endpoints: Arc<[Backend]> = changed
            .iter()
            .map(|&id| self.endpoints[id.index()])
            .collect();
        self.latest_delta = Some((known_revision, endpoints.clone()));
        endpoints
    }

    fn full(&mut self) -> Arc<[Backend]> {
        if let Some((revision, endpoints)) = &self.latest_full
            && *revision == self.revision
        {
            return endpoints.clone();
        }
        let endpoints: Arc<[Backend]> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.readiness != Readiness::Removed)
            .copied()
            .collect();
        self.latest_full = Some((self.revision, endpoints.clone()));
        endpoints
    }
}
