//! The location and speed of the machines, and the network latencies between them.

use super::ids::{ProxyIndex, Rack, Region};
use super::random::{Stream, stream};
use super::scenario::{FleetScenario, NetworkSettings};
use crate::units::micros_from_milliseconds;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use tillerproxy::api::{BackendId, Cell, MachineType, Micros, Zone};

/// The machine of a backend.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Zone of the machine.
    pub zone: Zone,
    /// Rack of the machine, inside its zone.
    pub rack: Rack,
    /// Type of the machine.
    pub machine_type: MachineType,
    /// Cell of the machine: its backends share their idempotency keys.
    pub cell: Cell,
    /// Number of cores: requests that the backend works on at the same time.
    pub cores: u16,
    /// Speed of a core; at speed 1 a core does a millisecond of work in a millisecond.
    pub speed: f64,
}

impl Machine {
    /// Returns the capacity after the slow start: milliseconds of work done per millisecond.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// The location of a proxy and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLocation {
    /// Zone of the proxy.
    pub zone: Zone,
    /// Weight of the proxy among the proxies of its zone in the distribution of clients.
    pub traffic_weight: f64,
}

/// The locations of all machines.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of zones.
    pub zone_count: u16,
    /// Number of regions.
    pub region_count: u16,
    /// Machines of the backends, by backend id.
    pub machines: Vec<Machine>,
    /// Locations of the proxies, by proxy index.
    pub proxies: Vec<ProxyLocation>,
}

impl Topology {
    /// Places the machines of a scenario; speeds and traffic weights are drawn from the seed.
    #[must_use]
    pub fn new(scenario: &FleetScenario, seed: u64) -> Self {
        let mut random = stream(seed, Stream::Topology, 0);
        let fleet = &scenario.fleet;
        let machines = (0..fleet.backends)
            .map(|id| place_machine(scenario, BackendId(id), &mut random))
            .collect();
        let skew = LogNormal::new(0.0, scenario.load.proxy_skew).ok();
        let proxies = (0..fleet.proxies)
            .map(|index| ProxyLocation {
                zone: Zone((index % u32::from(fleet.zones)) as u16),
                traffic_weight: skew.map_or(1.0, |skew| skew.sample(&mut random)),
            })
            .collect();
        Self {
            zone_count: fleet.zones,
            region_count: fleet.regions,
            machines,
            proxies,
        }
    }

    /// Returns the region of a zone.
    #[must_use]
    pub fn region(&self, zone: Zone) -> Region {
        let regions = u32::from(self.region_count);
        let zones = u32::from(self.zone_count);
        Region((u32::from(zone.0) * regions / zones) as u16)
    }

    /// Returns the capacity of all backends after their slow start: milliseconds of work done per millisecond.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.machines.iter().map(Machine::capacity).sum()
    }

    /// Iterates over the backends of a zone.
    pub fn backends_of_zone(&self, zone: Zone) -> impl Iterator<Item = BackendId> + '_ {
        self.machines
            .iter()
            .zip(0..)
            .filter(move |(machine, _)| machine.zone == zone)
            .map(|(_, id)| BackendId(id))
    }

    /// Iterates over the proxies of a zone.
    pub fn proxies_of_zone(&self, zone: Zone) -> impl Iterator<Item = ProxyIndex> + '_ {
        self.proxies
            .iter()
            .zip(0..)
            .filter(move |(proxy, _)| proxy.zone == zone)
            .map(|(_, index)| ProxyIndex(index))
    }
}

/// Places the machine of a backend. Zone, rack and cell follow from the id, in turn; type and speed are drawn at
/// random.
fn place_machine(scenario: &FleetScenario, id: BackendId, random: &mut SmallRng) -> Machine {
    let fleet = &scenario.fleet;
    let zones = u32::from(fleet.zones);
    let zone = id.0 % zones;
    let rank_in_zone = id.0 / zones;
    let type_index = draw_machine_type(scenario, random.random());
    let machine_type = &scenario.machine_types[type_index];
    let speed_deviation = machine_type.speed_spread * (2.0 * random.random::<f64>() - 1.0);
    Machine {
        zone: Zone(zone as u16),
        rack: Rack((rank_in_zone % u32::from(fleet.racks_per_zone)) as u16),
        machine_type: MachineType(type_index as u8),
        cell: Cell((rank_in_zone / fleet.cell_size * zones + zone) as u16),
        cores: machine_type.cores,
        speed: machine_type.speed * (1.0 + speed_deviation),
    }
}

/// Returns the index of the machine type that a uniform draw in 0..1 selects.
fn draw_machine_type(scenario: &FleetScenario, drawn: f64) -> usize {
    let machine_types = &scenario.machine_types;
    let total: f64 = machine_types
        .iter()
        .map(|machine_type| machine_type.backend_weight)
        .sum();
    let mut remaining = drawn * total;
    for (index, machine_type) in machine_types.iter().enumerate() {
        remaining -= machine_type.backend_weight;
        if remaining < 0.0 {
            return index;
        }
    }
    machine_types.len() - 1
}

/// One-way latencies between zones, with jitter.
#[derive(Debug)]
pub struct Latencies {
    zone_count: usize,
    /// Latencies without jitter in microseconds, one row for each sending zone.
    by_zone_pair: Vec<f64>,
    /// Mean of the jitter, as a fraction of the latency.
    jitter: f64,
    random: SmallRng,
}

impl Latencies {
    /// Creates the latencies of a topology.
    #[must_use]
    pub fn new(topology: &Topology, network: &NetworkSettings, seed: u64) -> Self {
        let mut by_zone_pair = Vec::new();
        for from in 0..topology.zone_count {
            for to in 0..topology.zone_count {
                let latency_ms = latency_ms(topology, network, Zone(from), Zone(to));
                by_zone_pair.push(micros_from_milliseconds(latency_ms) as f64);
            }
        }
        Self {
            zone_count: usize::from(topology.zone_count),
            by_zone_pair,
            jitter: network.jitter,
            random: stream(seed, Stream::Network, 0),
        }
    }

    /// Draws the one-way latency of a message from one zone to another.
    pub fn draw(&mut self, from: Zone, to: Zone) -> Micros {
        let latency = self.by_zone_pair[from.index() * self.zone_count + to.index()];
        self.with_jitter(latency)
    }

    /// Adds exponentially distributed jitter to a latency in microseconds.
    pub fn with_jitter(&mut self, latency: f64) -> Micros {
        let drawn: f64 = self.random.sample(Exp1);
        (latency * (1.0 + self.jitter * drawn)) as Micros
    }
}

/// Returns the one-way latency between two zones without jitter, in milliseconds.
fn latency_ms(topology: &Topology, network: &NetworkSettings, from: Zone, to: Zone) -> f64 {
    if from == to {
        network.same_zone_ms
    } else if topology.region(from) == topology.region(to) {
        network.same_region_ms
    } else {
        network.cross_region_ms
    }
}
