//! The load balancer between clients and proxies.

use super::ClientCall;
use super::weighted::WeightedChoice;
use crate::fleet::ids::ProxyIndex;
use crate::fleet::topology::Topology;
use tillerproxy::api::Zone;

/// A part of a zone's clients that goes to another zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShift {
    /// Whose clients.
    pub from: Zone,
    /// Where they go.
    pub to: Zone,
    /// The part of them.
    pub fraction: f64,
}

/// Distributes clients over the proxies of their zone that it holds for alive.
#[derive(Debug)]
pub struct FrontLoadBalancer {
    /// Whether each proxy is held for alive.
    alive: Vec<bool>,
    zones: Vec<ZoneProxies>,
    /// The shifts in effect.
    pub shifts: Vec<TrafficShift>,
}

/// The live proxies of one zone.
#[derive(Debug)]
struct ZoneProxies {
    proxies: Vec<ProxyIndex>,
    weights: WeightedChoice,
}

impl FrontLoadBalancer {
    /// Creates a load balancer that holds all proxies for alive.
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

    /// Holds a proxy for alive, or for dead, from now on.
    pub fn set_alive(&mut self, topology: &Topology, proxy: ProxyIndex, alive: bool) {
        self.alive[proxy.index()] = alive;
        let zone = topology.proxies[proxy.index()].zone;
        self.zones[zone.index()] = ZoneProxies::new(topology, zone, &self.alive);
    }

    /// Returns the proxy that a number in 0..1 chooses for a call: one of the client's zone, or of the next
    /// zone that has one.
    #[must_use]
    pub fn choose(&self, call: &ClientCall, drawn: f64) -> Option<ProxyIndex> {
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
