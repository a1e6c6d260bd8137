//! The backends of a fleet as discovery tells them: the JSON text of its answers, and the module's entries
//! that the program's own translator makes of it.

use super::scenario::FleetShape;
use super::setup::{kind_name, kind_names, zone_name, zone_names};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashSet;
use tillerproxy::api::Backend;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::config::Names;
use tillerproxy::proxy::discovery::{DiscoveryError, EndpointList, Translator};

/// Backends of one cell.
const CELL_BACKENDS: u32 = 50;
/// Port of every backend.
const PORT: u16 = 3_000;
/// Hosts of one `10.x.y.0/24` network.
const HOSTS: u32 = 254;

/// State of a backend in discovery's words.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes requests.
    Active,
    /// Drains.
    Leaving,
    /// Removed.
    Left,
}

/// One entry of discovery's list.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: u32,
    phase: Phase,
    size: f64,
    up_since_ms: u64,
}

/// The body of an answer of discovery.
#[derive(Serialize)]
struct Answer<'a> {
    revision: u64,
    complete: bool,
    members: &'a [Endpoint],
}

/// The backends of a fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    entries: Vec<Endpoint>,
    zones: u32,
}

impl Endpoint {
    /// The same backend in another phase.
    #[must_use]
    pub fn in_phase(&self, phase: Phase) -> Self {
        Self {
            phase,
            ..self.clone()
        }
    }

    /// The same backend with a process that started at that Unix time, milliseconds.
    #[must_use]
    pub fn restarted_at(&self, unix_ms: u64) -> Self {
        Self {
            up_since_ms: unix_ms,
            ..self.clone()
        }
    }
}

impl Endpoints {
    /// So many backends that started long ago, with random names; the same seed gives the same.
    #[must_use]
    pub fn generate(count: u32, fleet: &FleetShape, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut taken = HashSet::new();
        let mut unused_id = || {
            loop {
                let id: u32 = random.random();
                if taken.insert(id) {
                    return id;
                }
            }
        };
        let entries = (0..count)
            .map(|number| endpoint(number, unused_id(), fleet))
            .collect();
        Self {
            entries,
            zones: fleet.zones,
        }
    }

    /// All entries.
    #[must_use]
    pub fn all(&self) -> &[Endpoint] {
        &self.entries
    }

    /// The entries of one zone, each in that phase.
    #[must_use]
    pub fn of_zone(&self, zone: u32, phase: Phase) -> Vec<Endpoint> {
        let step = self.zones as usize;
        let members = self
            .entries
            .iter()
            .skip((zone % self.zones) as usize)
            .step_by(step);
        members.map(|entry| entry.in_phase(phase)).collect()
    }
}

fn endpoint(number: u32, id: u32, fleet: &FleetShape) -> Endpoint {
    let network = number / HOSTS;
    let host = number % HOSTS + 1;
    Endpoint {
        id: format!("s-{id:08x}"),
        host_port: format!("10.{}.{}.{host}:{PORT}", network / 256, network % 256),
        locality: zone_name(number % fleet.zones),
        flavor: kind_name(number / fleet.zones % fleet.kinds),
        cell: number / CELL_BACKENDS,
        phase: Phase::Active,
        size: 1.0,
        up_since_ms: 0,
    }
}

/// JSON text of an answer with these entries; `complete` for a whole list.
#[must_use]
pub fn answer_text(revision: u64, complete: bool, members: &[Endpoint]) -> Vec<u8> {
    serde_json::to_vec(&Answer {
        revision,
        complete,
        members,
    })
    .expect("plain data becomes JSON")
}

/// The program's translator for a fleet of this shape.
#[must_use]
pub fn translator(fleet: &FleetShape) -> Translator {
    let names = Names {
        zones: zone_names(fleet),
        machine_types: kind_names(fleet),
        ..Names::default()
    };
    Translator::new(Clock::start(), &names)
}

/// The module's entries of an answer.
///
/// # Errors
/// Where the translator refuses the text.
pub fn entries_of(
    translator: &mut Translator,
    text: &[u8],
) -> Result<Vec<Backend>, DiscoveryError> {
    Ok(entries_in(translator.parse(text)?))
}

fn entries_in(list: EndpointList) -> Vec<Backend> {
    list.endpoints
        .into_iter()
        .map(|listed| listed.backend)
        .collect()
}
