//! The endpoint list of discovery: entries, revisions, and serialized responses.

use bytes::Bytes;
use serde::{Serialize, Serializer};
use std::collections::HashMap;
use std::net::SocketAddr;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[serde(rename = "active")]
    Active,
    /// The endpoint finishes the requests in flight and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// The endpoint is removed. Deltas contain it; complete lists do not.
    #[serde(rename = "left")]
    Removed,
}

/// An endpoint, serialized in the format of the discovery protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// Unique name.
    pub id: String,
    /// Listen address.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// Name of the zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Number of the deduplication cell.
    pub cell: u32,
    /// Current state.
    #[serde(rename = "phase")]
    pub state: EndpointState,
    /// Fraction of a machine that the endpoint may use, serialized with one decimal.
    #[serde(serialize_with = "serialize_one_decimal")]
    pub size: f64,
    /// Unix time of the last start, in milliseconds; 0 if the start was long ago.
    #[serde(rename = "up_since_ms")]
    pub started_at_ms: u64,
}

fn serialize_one_decimal<S: Serializer>(size: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((size * 10.0).round() / 10.0)
}

impl Endpoint {
    /// Returns the same endpoint in another state.
    #[must_use]
    pub fn in_state(&self, state: EndpointState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the same endpoint with a process that started at a Unix time in milliseconds.
    #[must_use]
    pub fn restarted_at(&self, unix_ms: u64) -> Self {
        Self {
            started_at_ms: unix_ms,
            ..self.clone()
        }
    }
}

/// Body of a response of discovery; `Members` is a sequence of endpoints.
#[derive(Debug, Serialize)]
pub struct ListBody<Members> {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the body is a complete list; otherwise it is a delta.
    pub complete: bool,
    /// Endpoints of the list or of the delta.
    pub members: Members,
}

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
