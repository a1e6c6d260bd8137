//! The backends of a fleet as discovery lists them: the JSON text of its responses, and the backends that the
//! program's own translator parses from it.

use super::scenario::FleetShape;
use super::setup::{machine_type_name, machine_type_names, zone_name, zone_names};
use crate::endpoint_list::ListBody;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use tillerproxy::api::Backend;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};
use tillerproxy::settings_json::Names;

pub use crate::endpoint_list::{Endpoint, EndpointState};

/// Backends of one deduplication cell.
const CELL_BACKENDS: u32 = 50;
/// Port of every backend.
const PORT: u16 = 3_000;
/// Backends of one `10.x.y.0/24` network.
const HOSTS_PER_NETWORK: u32 = 254;

/// The backends of a fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    zones: u32,
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
    let [_, _, network_high, network_low] = (number / HOSTS_PER_NETWORK).to_be_bytes();
    let host = (number % HOSTS_PER_NETWORK + 1) as u8;
    let ip = Ipv4Addr::new(10, network_high, network_low, host);
    Endpoint {
        id: format!("s-{id:08x}"),
        address: SocketAddr::from((ip, PORT)),
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
