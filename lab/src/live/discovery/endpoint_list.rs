//! The endpoint list of discovery: endpoints, revisions, and serialized responses.

use crate::endpoint_list::{Endpoint, EndpointState, ListBody};
use bytes::Bytes;
use std::collections::HashMap;

/// All endpoints, each with the revision of its last change.
///
/// Serialized responses are cached until the next change, because most callers ask for the same few responses.
#[derive(Clone, Debug)]
pub struct EndpointList {
    endpoints: Vec<Endpoint>,
    /// Revision of the last change of each endpoint.
    changed_at: Vec<u64>,
    revision: u64,
    /// First revision of this list. A caller with an older revision receives the complete list.
    first_revision: u64,
    /// Response bodies by the revision of the caller; `None` for the complete list.
    cached_bodies: HashMap<Option<u64>, Bytes>,
}

impl EndpointList {
    /// Creates a list whose first revision is `revision`.
    #[must_use]
    pub fn new(endpoints: Vec<Endpoint>, revision: u64) -> Self {
        let changed_at = vec![revision; endpoints.len()];
        Self {
            endpoints,
            changed_at,
            revision,
            first_revision: revision,
            cached_bodies: HashMap::new(),
        }
    }

    /// Returns the list for a successor service: the same endpoints, with the next revision as the first one.
    #[must_use]
    pub fn successor(&self) -> Self {
        Self::new(self.endpoints.clone(), self.revision + 1)
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all endpoints, including removed ones.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Changes the endpoints at `indices` in one new revision and returns that revision.
    pub fn change(&mut self, indices: &[usize], mut change: impl FnMut(&mut Endpoint)) -> u64 {
        self.revision += 1;
        for &index in indices {
            change(&mut self.endpoints[index]);
            self.changed_at[index] = self.revision;
        }
        self.cached_bodies.clear();
        self.revision
    }

    /// Returns the body of the response to a caller that has revision `after`: the endpoints changed since then, or
    /// the complete list if `after` is `None` or not a revision of this list.
    ///
    /// # Errors
    /// The list can't be serialized.
    pub fn response_body(&mut self, after: Option<u64>) -> Result<Bytes, serde_json::Error> {
        let base = after.filter(|after| (self.first_revision..=self.revision).contains(after));
        if let Some(body) = self.cached_bodies.get(&base) {
            return Ok(body.clone());
        }
        let members = match base {
            Some(base) => self.changed_since(base),
            None => self.listed(),
        };
        let list = ListBody {
            revision: self.revision,
            complete: base.is_none(),
            members,
        };
        let body = Bytes::from(serde_json::to_vec(&list)?);
        self.cached_bodies.insert(base, body.clone());
        Ok(body)
    }

    /// Returns the active and draining endpoints.
    fn listed(&self) -> Vec<&Endpoint> {
        let is_listed = |endpoint: &&Endpoint| endpoint.state != EndpointState::Removed;
        self.endpoints.iter().filter(is_listed).collect()
    }

    /// Returns the endpoints changed after `revision`, including removed ones.
    fn changed_since(&self, revision: u64) -> Vec<&Endpoint> {
        let mut changed = Vec::new();
        for (endpoint, &changed_at) in self.endpoints.iter().zip(&self.changed_at) {
            if changed_at > revision {
                changed.push(endpoint);
            }
        }
        changed
    }
}
