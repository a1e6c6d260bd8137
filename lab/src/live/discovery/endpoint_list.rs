//! The endpoint list of discovery: its entries, its revisions, and its serialized form.

use bytes::Bytes;
use serde::{Serialize, Serializer};
use std::collections::HashMap;
use std::net::SocketAddr;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// It takes requests.
    #[serde(rename = "active")]
    Active,
    /// It finishes the requests in flight and takes no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// It is removed; only deltas name it.
    #[serde(rename = "left")]
    Removed,
}

/// One endpoint, serialized as the discovery protocol has it.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// Its name.
    pub id: String,
    /// Where it listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// Its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: &'static str,
    /// Its deduplication cell.
    pub cell: u16,
    /// Its state.
    #[serde(rename = "phase")]
    pub state: EndpointState,
    /// Its fraction of a whole machine.
    #[serde(serialize_with = "serialize_one_decimal")]
    pub size: f64,
    /// Unix time of its last start, in milliseconds; 0 where that was long ago.
    #[serde(rename = "up_since_ms")]
    pub started_at_ms: u64,
}

fn serialize_one_decimal<S: Serializer>(size: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((size * 10.0).round() / 10.0)
}

/// The body of a response.
#[derive(Serialize)]
struct ListBody<'a> {
    revision: u64,
    complete: bool,
    members: Vec<&'a Endpoint>,
}

/// All endpoints, each with the revision that changed it last.
///
/// Serialized responses are cached until the next change, as most callers ask for the same few.
#[derive(Clone, Debug)]
pub struct EndpointList {
    endpoints: Vec<Endpoint>,
    /// Revision of the last change of each endpoint.
    changed_at: Vec<u64>,
    revision: u64,
    /// Revision of the first list; callers with an older one get the complete list.
    first_revision: u64,
    /// Bodies by the revision that the caller has; `None` for the complete list.
    cached_bodies: HashMap<Option<u64>, Bytes>,
}

impl EndpointList {
    /// Makes a list whose first revision is `revision`.
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

    /// Returns the list of a successor service: the same endpoints, with the next revision as its first.
    #[must_use]
    pub fn successor(&self) -> Self {
        Self::new(self.endpoints.clone(), self.revision + 1)
    }

    /// Returns the present revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the endpoints, removed ones included.
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

    /// Returns the body of the response to a caller that has revision `after`: the changes since then, or
    /// the complete list where `after` is `None` or not a revision of this list.
    ///
    /// # Errors
    /// Where the list can't be serialized.
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

    fn listed(&self) -> Vec<&Endpoint> {
        let is_listed = |endpoint: &&Endpoint| endpoint.state != EndpointState::Removed;
        self.endpoints.iter().filter(is_listed).collect()
    }

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
