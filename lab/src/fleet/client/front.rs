//! The front load balancer, which distributes clients over the proxies.

use super::ClientCall;
use super::weighted::WeightedChoice;
use crate::fleet::ids::ProxyIndex;
use crate::fleet::topology::Topology;
use tillerproxy::api::Zone;

/// A traffic shift: a fraction of a zone's clients is sent to another zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShift {
    /// Zone that the clients leave.
    pub from: Zone,
    /// Zone that the clients are sent to.
    pub to: Zone,
    /// Fraction of the zone's clients, 0 to 1.
    pub fraction: f64,
}

/// A load balancer that distributes clients over the proxies of their zone that it considers alive.
#[derive(Debug)]
pub struct FrontLoadBalancer {
    /// Whether the load balancer considers a proxy alive, by proxy index.
    alive: Vec<bool>,
    /// The live proxies by zone.
    zones: Vec<ZoneProxies>,
    /// The traffic shifts in effect.
    pub shifts: Vec<TrafficShift>,
}

/// The live proxies of one zone, weighted by their traffic.
#[derive(Debug)]
struct ZoneProxies {
    proxies: Vec<ProxyIndex>,
    weights: WeightedChoice,
}

impl FrontLoadBalancer {
    /// Creates a load balancer that considers all proxies alive.
    #[must_use]
    pub fn new(topology: &Topology) -> Self {
        let alive = vec![true; topology.proxies.len()];
        let zones = (0..topology.zone_count)
            .map(|zone| ZoneProxies::new(topology, Zone(zone), &alive))
            .collect();
        Self {
            alive,
            zones,
            shifts: Vec::new(),
        }
    }

    /// Marks a proxy as alive or dead.
    pub fn set_alive(&mut self, topology: &Topology, proxy: ProxyIndex, alive: bool) {
        self.alive[proxy.index()] = alive;
        let zone = topology.proxies[proxy.index()].zone;
        self.zones[zone.index()] = ZoneProxies::new(topology, zone, &self.alive);
    }

    /// Returns the proxy that a uniform draw in 0..1 selects for a call: a live proxy of the client's zone, or of the
    /// next zone that has one. `None` if no proxy is alive.
    #[must_use]
    pub fn choose_proxy(&self, call: &ClientCall, drawn: f64) -> Option<ProxyIndex> {
        let shift = self
            .shifts
            .iter()
            .find(|shift| shift.from == call.zone && call.shift_draw < shift.fraction);
        let first_zone = shift.map_or(call.zone, |shift| shift.to).index();
        let zone_count = self.zones.len();
        (0..zone_count)
            .map(|step| &self.zones[(first_zone + step) % zone_count])
            .find_map(|zone| zone.choose(drawn))
    }
}

impl ZoneProxies {
    fn new(topology: &Topology, zone: Zone, alive: &[bool]) -> Self {
        let proxies: Vec<ProxyIndex> = topology
            .proxies_of_zone(zone)
            .filter(|proxy| alive[proxy.index()])
            .collect();
        let weights = proxies
            .iter()
            .map(|proxy| topology.proxies[proxy.index()].traffic_weight);
        Self {
            weights: WeightedChoice::new(weights),
            proxies,
        }
    }

    fn choose(&self, drawn: f64) -> Option<ProxyIndex> {
        let position = self.weights.choose(drawn)?;
        Some(self.proxies[position])
    }
}
