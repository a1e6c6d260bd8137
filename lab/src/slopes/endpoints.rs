//! The backends of a fleet as discovery lists them: the JSON text of its responses, and the backends that the
//! program's own translator parses from it.

use super::scenario::FleetShape;
use super::setup::{machine_type_name, machine_type_names, zone_name, zone_names};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashSet;
use tillerproxy::api::Backend;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};
use tillerproxy::settings_json::Names;

/// Backends of one deduplication cell.
const CELL_BACKENDS: u32 = 50;
/// Port of every backend.
const PORT: u16 = 3_000;
/// Backends of one `10.x.y.0/24` network.
const HOSTS_PER_NETWORK: u32 = 254;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// It takes requests.
    #[serde(rename = "active")]
    Active,
    /// It finishes the requests in flight and takes no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// It is removed.
    #[serde(rename = "left")]
    Removed,
}

/// One endpoint, serialized as the discovery protocol has it.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    id: String,
    #[serde(rename = "host_port")]
    address: String,
    #[serde(rename = "locality")]
    zone: String,
    #[serde(rename = "flavor")]
    machine_type: String,
    cell: u32,
    #[serde(rename = "phase")]
    state: EndpointState,
    size: f64,
    #[serde(rename = "up_since_ms")]
    started_at_ms: u64,
}

/// The body of a response of discovery.
#[derive(Serialize)]
struct ListBody<'a> {
    revision: u64,
    complete: bool,
    members: &'a [Endpoint],
}

/// The backends of a fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    zones: u32,
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

    /// Returns the same endpoint with a process that started at that Unix time, in milliseconds.
    #[must_use]
    pub fn restarted_at(&self, unix_ms: u64) -> Self {
        Self {
            started_at_ms: unix_ms,
            ..self.clone()
        }
    }
}

impl Endpoints {
    /// Generates `count` endpoints that started long ago, with random names; the same seed gives the same.
    #[must_use]
    pub fn generate(count: u32, fleet: &FleetShape, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut used_ids = HashSet::new();
        let mut endpoints = Vec::new();
        for number in 0..count {
            let id = unused_id(&mut random, &mut used_ids);
            endpoints.push(endpoint(number, id, fleet));
        }
        Self {
            endpoints,
            zones: fleet.zones,
        }
    }

    /// Returns all endpoints.
    #[must_use]
    pub fn all(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the endpoints of one zone, each in that state.
    #[must_use]
    pub fn of_zone(&self, zone: u32, state: EndpointState) -> Vec<Endpoint> {
        // Endpoints are assigned to the zones in turn.
        let first = (zone % self.zones) as usize;
        let members = self.endpoints.iter().skip(first);
        members
            .step_by(self.zones as usize)
            .map(|endpoint| endpoint.in_state(state))
            .collect()
    }
}

/// Draws an id that is not in use.
fn unused_id(random: &mut SmallRng, used_ids: &mut HashSet<u32>) -> u32 {
    loop {
        let id: u32 = random.random();
        if used_ids.insert(id) {
            return id;
        }
    }
}

fn endpoint(number: u32, id: u32, fleet: &FleetShape) -> Endpoint {
    let network = number / HOSTS_PER_NETWORK;
    let host = number % HOSTS_PER_NETWORK + 1;
    Endpoint {
        id: format!("s-{id:08x}"),
        address: format!("10.{}.{}.{host}:{PORT}", network / 256, network % 256),
        zone: zone_name(number % fleet.zones),
        machine_type: machine_type_name(number / fleet.zones % fleet.machine_types),
        cell: number / CELL_BACKENDS,
        state: EndpointState::Active,
        size: 1.0,
        started_at_ms: 0,
    }
}

/// Serializes a response with these endpoints; `complete` for a complete list.
#[must_use]
pub fn list_text(revision: u64, complete: bool, members: &[Endpoint]) -> Vec<u8> {
    let body = ListBody {
        revision,
        complete,
        members,
    };
    serde_json::to_vec(&body).expect("strings and numbers can be serialized")
}

/// Makes the program's translator for a fleet of this shape.
#[must_use]
pub fn translator(fleet: &FleetShape) -> Translator {
    let names = Names {
        zones: zone_names(fleet),
        machine_types: machine_type_names(fleet),
        ..Names::default()
    };
    Translator::new(Clock::start(), &names)
}

/// Parses the backends of a response.
///
/// # Errors
/// Where the translator rejects the text.
pub fn parse_backends(
    translator: &mut Translator,
    text: &[u8],
) -> Result<Vec<Backend>, DiscoveryError> {
    let list = translator.parse(text)?;
    let endpoints = list.endpoints.into_iter();
    Ok(endpoints.map(|endpoint| endpoint.backend).collect())
}
