//! Endpoints and response bodies in the JSON format of the discovery protocol. `slopes` and `live` generate them.

use serde::{Serialize, Serializer};
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
    /// The endpoint is removed. Deltas list it; complete lists do not.
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

/// Serializes a number rounded to one decimal.
fn serialize_one_decimal<S: Serializer>(size: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((size * 10.0).round() / 10.0)
}

impl Endpoint {
    /// Returns a copy of the endpoint in another state.
    #[must_use]
    pub fn in_state(&self, state: EndpointState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns a copy of the endpoint whose process started at `unix_ms`, a Unix time in milliseconds.
    #[must_use]
    pub fn restarted_at(&self, unix_ms: u64) -> Self {
        Self {
            started_at_ms: unix_ms,
            ..self.clone()
        }
    }
}

/// Body of a discovery response; `Members` is a sequence of [`Endpoint`].
#[derive(Debug, Serialize)]
pub struct ListBody<Members> {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the body is a complete list; otherwise it is a delta.
    pub complete: bool,
    /// Endpoints of the list or of the delta.
    pub members: Members,
}
