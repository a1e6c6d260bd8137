//! Where machines stand, how fast they are, and what lies between them.

use super::random::{Stream, stream};
use super::scenario::{FleetScenario, Network, milliseconds};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use tillerproxy::api::{BackendId, Micros};

/// A backend's machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Its zone.
    pub zone: u16,
    /// Its rack, numbered inside the zone.
    pub rack: u16,
    /// Its kind.
    pub kind: u8,
    /// Its cell, numbered through the fleet.
    pub cell: u16,
    /// Requests that it works on at once.
    pub cores: u16,
    /// Speed of a core.
    pub speed: f64,
}

impl Machine {
    /// Milliseconds of standard work that it does in a millisecond when it is warm.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// A proxy's place.
#[derive(Clone, Copy, Debug)]
pub struct ProxyPlace {
    /// Its zone.
    pub zone: u16,
    /// Its part of its zone's traffic, unscaled.
    pub weight: f64,
}

/// Where everything stands.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of zones.
    pub zones: u16,
    /// Number of regions.
    pub regions: u16,
    /// Backends by id.
    pub machines: Vec<Machine>,
    /// Proxies by number.
    pub proxies: Vec<ProxyPlace>,
}

impl Topology {
    /// Places the machines of a scenario.
    #[must_use]
    pub fn new(scenario: &FleetScenario, seed: u64) -> Self {
        let mut random = stream(seed, Stream::Topology, 0);
        let fleet = &scenario.fleet;
        let machines = (0..fleet.backends)
            .map(|id| machine(scenario, id, &mut random))
            .collect();
        let skew = LogNormal::new(0.0, scenario.load.proxy_skew).ok();
        let mut place = |number: u32| ProxyPlace {
            zone: (number % u32::from(fleet.zones)) as u16,
            weight: skew.map_or(1.0, |skew| skew.sample(&mut random)),
        };
        let proxies = (0..fleet.proxies).map(&mut place).collect();
        Self {
            zones: fleet.zones,
            regions: fleet.regions,
            machines,
            proxies,
        }
    }

    /// The region of a zone.
    #[must_use]
    pub fn region(&self, zone: u16) -> u16 {
        (u32::from(zone) * u32::from(self.regions) / u32::from(self.zones)) as u16
    }

    /// Milliseconds of standard work that all backends do in a millisecond when they are warm.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.machines.iter().map(Machine::capacity).sum()
    }

    /// The ids of a zone's backends.
    pub fn backends_of_zone(&self, zone: u16) -> impl Iterator<Item = BackendId> + '_ {
        (0..self.machines.len() as BackendId)
            .filter(move |&id| self.machines[id as usize].zone == zone)
    }
}

fn machine(scenario: &FleetScenario, id: BackendId, random: &mut SmallRng) -> Machine {
    let fleet = &scenario.fleet;
    let zones = u32::from(fleet.zones);
    let (zone, rank) = (id % zones, id / zones);
    let kind = kind_by_share(scenario, random.random());
    let spec = &scenario.kinds[kind];
    let spread = spec.speed_spread * (2.0 * random.random::<f64>() - 1.0);
    Machine {
        zone: zone as u16,
        rack: (rank % u32::from(fleet.racks_per_zone)) as u16,
        kind: kind as u8,
        cell: (rank / fleet.cell_size * zones + zone) as u16,
        cores: spec.cores,
        speed: spec.speed * (1.0 + spread),
    }
}

fn kind_by_share(scenario: &FleetScenario, drawn: f64) -> usize {
    let total: f64 = scenario.kinds.iter().map(|kind| kind.share).sum();
    let mut rest = drawn * total;
    for (index, kind) in scenario.kinds.iter().enumerate() {
        rest -= kind.share;
        if rest < 0.0 {
            return index;
        }
    }
    scenario.kinds.len() - 1
}

/// One-way latencies between zones, with jitter.
#[derive(Debug)]
pub struct Latencies {
    zones: usize,
    by_pair: Vec<f64>,
    jitter: f64,
    random: SmallRng,
}

impl Latencies {
    /// The latencies of a topology.
    #[must_use]
    pub fn new(topology: &Topology, network: &Network, seed: u64) -> Self {
        let zones = usize::from(topology.zones);
        let between = |from: usize, to: usize| {
            let (from, to) = (from as u16, to as u16);
            let span = match (from == to, topology.region(from) == topology.region(to)) {
                (true, _) => network.same_zone_ms,
                (false, true) => network.same_region_ms,
                (false, false) => network.cross_region_ms,
            };
            milliseconds(span) as f64
        };
        let by_pair = (0..zones * zones)
            .map(|pair| between(pair / zones, pair % zones))
            .collect();
        Self {
            zones,
            by_pair,
            jitter: network.jitter,
            random: stream(seed, Stream::Network, 0),
        }
    }

    /// Draws the time that a message takes from one zone to another.
    pub fn draw(&mut self, from: u16, to: u16) -> Micros {
        let base = self.by_pair[usize::from(from) * self.zones + usize::from(to)];
        self.with_jitter(base)
    }

    /// Adds jitter to a span in microseconds.
    pub fn with_jitter(&mut self, base: f64) -> Micros {
        let extra: f64 = self.random.sample(Exp1);
        (base * (1.0 + self.jitter * extra)) as Micros
    }
}
