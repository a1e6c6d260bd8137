//! Endpoints of a generated fleet: the JSON bodies of discovery's responses that list them, and the backends that
//! tillerproxy's own translator parses from such a body.

use super::scenario::FleetShape;
use super::setup::{machine_type_name, machine_type_names, zone_name, zone_names};
use crate::endpoint_list::{Endpoint, EndpointState, ListBody};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use tillerproxy::api::Backend;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};
use tillerproxy::settings_json::Names;

/// Number of backends in one deduplication cell.
const CELL_BACKENDS: u32 = 50;
/// Listen port of every backend.
const PORT: u16 = 3_000;
/// Number of backends in one `10.x.y.0/24` network: its host addresses 1 to 254.
const HOSTS_PER_NETWORK: u32 = 254;

/// The endpoints of a generated fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    /// Number of zones of the fleet.
    zones: u32,
}

impl Endpoints {
    /// Generates `count` active endpoints with random ids and a start time of 0 (the Unix epoch, so that none is in
    /// slow start). The same seed generates the same endpoints.
    #[must_use]
    pub fn generate(count: u32, fleet: &FleetShape, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut used_ids = HashSet::new();
        let mut endpoints = Vec::new();
        for number in 0..count {
            let id = draw_unused_id(&mut random, &mut used_ids);
            endpoints.push(generate_endpoint(number, id, fleet));
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

    /// Returns copies of the endpoints in `zone`, with their state set to `state`.
    #[must_use]
    pub fn in_zone(&self, zone: u32, state: EndpointState) -> Vec<Endpoint> {
        // Endpoints are assigned to the zones in turn.
        let first = (zone % self.zones) as usize;
        self.endpoints
            .iter()
            .skip(first)
            .step_by(self.zones as usize)
            .map(|endpoint| endpoint.in_state(state))
            .collect()
    }
}

/// Draws random ids until one is not in `used_ids`, and adds it to them.
fn draw_unused_id(random: &mut SmallRng, used_ids: &mut HashSet<u32>) -> u32 {
    loop {
        let id: u32 = random.random();
        if used_ids.insert(id) {
            return id;
        }
    }
}

/// Creates the endpoint with this number in the fleet, counted from 0. The number determines its address, zone, machine
/// type and cell.
fn generate_endpoint(number: u32, id: u32, fleet: &FleetShape) -> Endpoint {
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

/// Serializes the JSON body of a discovery response: a complete list, or a delta if `complete` is false.
#[must_use]
pub fn serialize_list(revision: u64, complete: bool, members: &[Endpoint]) -> Vec<u8> {
    let body = ListBody {
        revision,
        complete,
        members,
    };
    serde_json::to_vec(&body).expect("endpoints contain only values that JSON can represent")
}

/// Creates a translator that knows the zones and machine types of `fleet`.
#[must_use]
pub fn new_translator(fleet: &FleetShape) -> Translator {
    let names = Names {
        zones: zone_names(fleet),
        machine_types: machine_type_names(fleet),
        ..Names::default()
    };
    Translator::new(Clock::start(), &names)
}

/// Parses the JSON body of a discovery response and returns the backends that it lists.
///
/// # Errors
/// Returns an error if the translator rejects the body.
pub fn parse_backends(
    translator: &mut Translator,
    body: &[u8],
) -> Result<Vec<Backend>, DiscoveryError> {
    let list = translator.parse(body)?;
    let endpoints = list.endpoints.into_iter();
    Ok(endpoints.map(|endpoint| endpoint.backend).collect())
}
