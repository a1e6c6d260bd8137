//! The published endpoint list with its revisions and a history of changes.

use std::collections::VecDeque;
use std::sync::Arc;
use tillerproxy::api::{Backend, BackendId, Readiness};

/// Revision of the endpoint list. Each changed endpoint increases it by one.
pub type Revision = u64;

/// An update of a proxy's endpoint list: the full list, or the endpoints that changed.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// Revision of the list after the update.
    pub revision: Revision,
    /// Whether `endpoints` is the full list; otherwise it holds only changed endpoints.
    pub complete: bool,
    /// The endpoints; empty if nothing changed.
    pub endpoints: Arc<[Backend]>,
}

/// Endpoints of the latest response of one kind, which further responses share.
#[derive(Debug)]
struct CachedEndpoints {
    /// For a delta, the revision that the caller has; for a full list, the list's own revision.
    revision: Revision,
    endpoints: Arc<[Backend]>,
}

impl CachedEndpoints {
    /// Returns the cached endpoints if they belong to this revision.
    fn at(cached: Option<&Self>, revision: Revision) -> Option<Arc<[Backend]>> {
        cached
            .filter(|cached| cached.revision == revision)
            .map(|cached| cached.endpoints.clone())
    }
}

/// The published endpoint list.
#[derive(Debug)]
pub(super) struct EndpointList {
    /// Endpoints by backend id, including removed ones.
    endpoints: Vec<Backend>,
    revision: Revision,
    /// Backend that each of the latest revisions changed, the oldest first.
    changes: VecDeque<BackendId>,
    /// Maximum length of `changes`.
    history_limit: usize,
    /// Cache of the latest delta and of the revision that it starts from. Most watches ask for the same delta.
    latest_delta: Option<CachedEndpoints>,
    /// Cache of the latest full list and of its revision.
    latest_full: Option<CachedEndpoints>,
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

    /// Publishes changed endpoints. Each one is a revision of its own.
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

    /// Returns the changes since a revision, or the full list if the history does not reach back that far.
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

    /// Returns the endpoints that changed since a revision within the history, sorted by id.
    fn delta(&mut self, known_revision: Revision) -> Arc<[Backend]> {
        if let Some(cached) = CachedEndpoints::at(self.latest_delta.as_ref(), known_revision) {
            return cached;
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
        self.latest_delta = Some(CachedEndpoints {
            revision: known_revision,
            endpoints: endpoints.clone(),
        });
        endpoints
    }

    /// Returns all endpoints that are not removed.
    fn full(&mut self) -> Arc<[Backend]> {
        if let Some(cached) = CachedEndpoints::at(self.latest_full.as_ref(), self.revision) {
            return cached;
        }
        let endpoints: Arc<[Backend]> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.readiness != Readiness::Removed)
            .copied()
            .collect();
        self.latest_full = Some(CachedEndpoints {
            revision: self.revision,
            endpoints: endpoints.clone(),
        });
        endpoints
    }
}
