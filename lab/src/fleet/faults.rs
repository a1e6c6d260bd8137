//! The timeline's events, worked out into single changes of single machines.

use super::backend::Life;
use super::client::TrafficShift;
use super::discovery::ProxyNumber;
use super::proxy::ProxyLife;
use super::random::{Stream, stream};
use super::scenario::timeline::TimelineEvent;
use super::scenario::{FleetScenario, seconds};
use super::topology::Topology;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use tillerproxy::api::{BackendId, Micros};

/// One change to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A backend drains: discovery will notice.
    Drain(BackendId),
    /// A backend's process or machine goes.
    StopBackend(BackendId, Life),
    /// A backend that went in this way starts, cold.
    StartBackend(BackendId, Life),
    /// A backend works so many times slower than usual; 1 ends it.
    Slow(BackendId, f64),
    /// A backend takes requests and answers none.
    Hang(BackendId),
    /// It answers again.
    Resume(BackendId),
    /// A backend's entry changes without a change of readiness.
    Republish(BackendId),
    /// A proxy's process or machine goes.
    StopProxy(ProxyNumber, ProxyLife),
    /// A proxy that went starts again.
    StartProxy(ProxyNumber),
    /// Nothing passes between regions, or everything again.
    Partition(bool),
    /// Discovery goes down or comes back.
    DiscoveryUp(bool),
    /// A proxy's watch becomes unresponsive.
    MuteWatch(ProxyNumber),
    /// A tenant's surge begins: its number among the surges.
    Surge(u32),
    /// A traffic shift begins or ends.
    Shift(TrafficShift, bool),
}

/// A surge of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Which tenant.
    pub tenant: u16,
    /// When it ends.
    pub until: Micros,
    /// How many times its usual traffic.
    pub multiple: f64,
}

/// All changes of a run, in the order of the timeline.
#[derive(Debug, Default)]
pub struct Plan {
    /// Changes and their times, not sorted.
    pub changes: Vec<(Micros, Change)>,
    /// The surges, by number.
    pub surges: Vec<Surge>,
}

impl Plan {
    /// Works out a scenario's timeline: whom it hits depends on the seed alone.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology, seed: u64) -> Self {
        let mut plan = Self::default();
        for (index, event) in scenario.events.iter().enumerate() {
            let mut random = stream(seed, Stream::Faults, index as u64);
            plan.add(event, topology, &mut random);
        }
        plan
    }

    fn push(&mut self, at: Micros, change: Change) {
        self.changes.push((at, change));
    }

    fn add(&mut self, event: &TimelineEvent, topology: &Topology, random: &mut SmallRng) {
        let at = event.at();
        match *event {
            TimelineEvent::RollingRestart {
                over_s,
                fraction,
                drain_s,
                down_s,
                ..
            } => {
                self.rolling_restart(topology, random, at, fraction, [over_s, drain_s, down_s]);
            }
            TimelineEvent::ZoneLoss {
                zone,
                return_after_s,
                ..
            } => {
                self.zone_loss(topology, at, zone, return_after_s);
            }
            TimelineEvent::RackLoss {
                zone,
                rack,
                return_after_s,
                ..
            } => {
                let inside = |&id: &BackendId| topology.machines[id as usize].rack == rack;
                let lost = topology
                    .backends_of_zone(zone)
                    .filter(inside)
                    .collect::<Vec<_>>();
                self.lose_backends(&lost, at, Life::Vanished, return_after_s);
            }
            TimelineEvent::RegionPartition { for_s, .. } => {
                self.push(at, Change::Partition(true));
                self.push(at + seconds(for_s), Change::Partition(false));
            }
            TimelineEvent::DiscoveryDown { for_s, .. } => {
                self.push(at, Change::DiscoveryUp(false));
                self.push(at + seconds(for_s), Change::DiscoveryUp(true));
            }
            TimelineEvent::DiscoverySilent { fraction, .. } => {
                for proxy in chosen(topology.proxies.len(), fraction, random) {
                    self.push(at, Change::MuteWatch(proxy as ProxyNumber));
                }
            }
            TimelineEvent::ConfigBurst {
                entries, over_s, ..
            } => {
                self.config_burst(topology, random, at, entries, over_s);
            }
            TimelineEvent::TenantSurge {
                for_s,
                tenant,
                multiple,
                ..
            } => {
                self.push(at, Change::Surge(self.surges.len() as u32));
                self.surges.push(Surge {
                    tenant,
                    until: at + seconds(for_s),
                    multiple,
                });
            }
            TimelineEvent::BackendSlow {
                for_s,
                fraction,
                factor,
                ..
            } => {
                for id in chosen(topology.machines.len(), fraction, random) {
                    self.push(at, Change::Slow(id, factor));
                    self.push(at + seconds(for_s), Change::Slow(id, 1.0));
                }
            }
            TimelineEvent::BackendHang {
                for_s, fraction, ..
            } => {
                for id in chosen(topology.machines.len(), fraction, random) {
                    self.push(at, Change::Hang(id));
                    self.push(at + seconds(for_s), Change::Resume(id));
                }
            }
            TimelineEvent::BackendCrash {
                fraction,
                return_after_s,
                ..
            } => {
                let lost = chosen(topology.machines.len(), fraction, random);
                self.lose_backends(&lost, at, Life::Dead, return_after_s);
            }
            TimelineEvent::ProxyRestart {
                over_s,
                fraction,
                down_s,
                ..
            } => {
                let proxies = chosen(topology.proxies.len(), fraction, random);
                for (proxy, begins) in spread_over(&proxies, at, over_s) {
                    self.push(
                        begins,
                        Change::StopProxy(proxy as ProxyNumber, ProxyLife::Dead),
                    );
                    self.push(
                        begins + seconds(down_s),
                        Change::StartProxy(proxy as ProxyNumber),
                    );
                }
            }
            TimelineEvent::TrafficShift {
                for_s,
                from_zone,
                to_zone,
                fraction,
                ..
            } => {
                let shift = TrafficShift {
                    from: from_zone,
                    to: to_zone,
                    fraction,
                };
                self.push(at, Change::Shift(shift, true));
                if let Some(span) = for_s {
                    self.push(at + seconds(span), Change::Shift(shift, false));
                }
            }
        }
    }

    fn rolling_restart(
        &mut self,
        topology: &Topology,
        random: &mut SmallRng,
        at: Micros,
        fraction: f64,
        [over_s, drain_s, down_s]: [f64; 3],
    ) {
        let backends = chosen(topology.machines.len(), fraction, random);
        for (id, begins) in spread_over(&backends, at, over_s) {
            let stops = begins + seconds(drain_s);
            self.push(begins, Change::Drain(id));
            self.push(stops, Change::StopBackend(id, Life::Dead));
            self.push(
                stops + seconds(down_s),
                Change::StartBackend(id, Life::Dead),
            );
        }
    }

    fn zone_loss(
        &mut self,
        topology: &Topology,
        at: Micros,
        zone: u16,
        return_after_s: Option<f64>,
    ) {
        let lost: Vec<BackendId> = topology.backends_of_zone(zone).collect();
        self.lose_backends(&lost, at, Life::Vanished, return_after_s);
        for (proxy, place) in (0..).zip(&topology.proxies) {
            if place.zone != zone {
                continue;
            }
            self.push(at, Change::StopProxy(proxy, ProxyLife::Vanished));
            if let Some(span) = return_after_s {
                self.push(at + seconds(span), Change::StartProxy(proxy));
            }
        }
    }

    fn lose_backends(
        &mut self,
        lost: &[BackendId],
        at: Micros,
        life: Life,
        return_after_s: Option<f64>,
    ) {
        for &id in lost {
            self.push(at, Change::StopBackend(id, life));
            if let Some(span) = return_after_s {
                self.push(at + seconds(span), Change::StartBackend(id, life));
            }
        }
    }

    fn config_burst(
        &mut self,
        topology: &Topology,
        random: &mut SmallRng,
        at: Micros,
        entries: u32,
        over_s: f64,
    ) {
        let order = chosen(topology.machines.len(), 1.0, random);
        let repeated: Vec<BackendId> = order
            .iter()
            .cycle()
            .take(entries as usize)
            .copied()
            .collect();
        for (id, when) in spread_over(&repeated, at, over_s) {
            self.push(when, Change::Republish(id));
        }
    }
}

/// A random part of 0..count, in random order.
fn chosen(count: usize, fraction: f64, random: &mut SmallRng) -> Vec<u32> {
    let mut all: Vec<u32> = (0..count as u32).collect();
    all.shuffle(random);
    all.truncate((count as f64 * fraction).round() as usize);
    all
}

/// Spaces things evenly over a span that begins at `at`.
fn spread_over(
    things: &[u32],
    at: Micros,
    over_s: f64,
) -> impl Iterator<Item = (u32, Micros)> + '_ {
    let step = seconds(over_s) as f64 / things.len().max(1) as f64;
    things
        .iter()
        .enumerate()
        .map(move |(rank, &thing)| (thing, at + (rank as f64 * step) as Micros))
}
