//! The fault schedule: the events of the timeline, expanded into single changes of single machines.

use super::client::TrafficShift;
use super::ids::{ProxyIndex, Rack};
use super::process::ProcessState;
use super::random::{Stream, stream};
use super::scenario::FleetScenario;
use super::scenario::timeline::{self, TimelineEvent};
use super::topology::Topology;
use crate::units::micros_from_seconds;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use tillerproxy::api::{BackendId, Micros, TenantIndex, Zone};

/// One change to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetChange {
    /// A backend begins to drain.
    DrainBackend(BackendId),
    /// The process or machine of a backend fails; the process is in this state afterwards.
    StopBackend(BackendId, ProcessState),
    /// A backend starts again, if its process is still in this state.
    StartBackend(BackendId, ProcessState),
    /// The work of a backend takes this many times as long as usual; a factor of 1 restores its usual speed.
    SlowBackend(BackendId, f64),
    /// A backend hangs: it accepts requests and answers none.
    HangBackend(BackendId),
    /// A hung backend answers again.
    ResumeBackend(BackendId),
    /// A backend's endpoint changes without a change of readiness.
    RepublishBackend(BackendId),
    /// The process or machine of a proxy fails; the process is in this state afterwards.
    StopProxy(ProxyIndex, ProcessState),
    /// A stopped proxy starts again.
    StartProxy(ProxyIndex),
    /// The regions are partitioned: messages between regions are dropped.
    PartitionRegions,
    /// The partition ends: messages between regions are delivered again.
    HealPartition,
    /// Discovery stops: watches end and calls fail.
    StopDiscovery,
    /// Discovery answers again.
    StartDiscovery,
    /// The standing watch of a proxy stalls.
    StallWatch(ProxyIndex),
    /// A surge of a tenant begins. The value is the index of the surge in [`FaultSchedule::surges`].
    BeginSurge(u32),
    /// A traffic shift begins.
    BeginShift(TrafficShift),
    /// A traffic shift ends.
    EndShift(TrafficShift),
}

/// A change to the fleet and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledChange {
    /// Time of the change.
    pub at: Micros,
    /// The change.
    pub change: FleetChange,
}

/// A surge: a tenant sends a multiple of its usual traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// The tenant.
    pub tenant: TenantIndex,
    /// End of the surge.
    pub until: Micros,
    /// The tenant's traffic as a multiple of its usual traffic.
    pub multiple: f64,
}

/// All changes of a run.
#[derive(Debug, Default)]
pub struct FaultSchedule {
    /// The changes in the order of the timeline, not sorted by time.
    pub changes: Vec<ScheduledChange>,
    /// The surges, which [`FleetChange::BeginSurge`] refers to by index.
    pub surges: Vec<Surge>,
}

impl FaultSchedule {
    /// Expands the timeline of a scenario into single changes of the fleet. The affected machines depend only on the
    /// scenario and the seed.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology, seed: u64) -> Self {
        let mut schedule = Self::default();
        for (index, event) in scenario.events.iter().enumerate() {
            let mut expansion = EventExpansion {
                schedule: &mut schedule,
                topology,
                random: stream(seed, Stream::Faults, index as u64),
                at: event.start_time(),
            };
            expansion.expand(event);
        }
        schedule
    }
}

/// The expansion of one event of the timeline.
struct EventExpansion<'a> {
    schedule: &'a mut FaultSchedule,
    topology: &'a Topology,
    random: SmallRng,
    /// Time at which the event begins.
    at: Micros,
}

impl EventExpansion<'_> {
    fn expand(&mut self, event: &TimelineEvent) {
        match event {
            TimelineEvent::RollingRestart(event) => self.rolling_restart(event),
            TimelineEvent::ZoneLoss(event) => self.zone_loss(event),
            TimelineEvent::RackLoss(event) => self.rack_loss(event),
            TimelineEvent::RegionPartition(event) => self.region_partition(event),
            TimelineEvent::DiscoveryDown(event) => self.discovery_down(event),
            TimelineEvent::WatchStall(event) => self.watch_stall(event),
            TimelineEvent::ConfigBurst(event) => self.config_burst(event),
            TimelineEvent::TenantSurge(event) => self.tenant_surge(event),
            TimelineEvent::BackendSlow(event) => self.backend_slow(event),
            TimelineEvent::BackendHang(event) => self.backend_hang(event),
            TimelineEvent::BackendCrash(event) => self.backend_crash(event),
            TimelineEvent::ProxyRestart(event) => self.proxy_restart(event),
            TimelineEvent::TrafficShift(event) => self.traffic_shift(event),
        }
    }

    /// Adds a change to the schedule.
    fn push(&mut self, at: Micros, change: FleetChange) {
        self.schedule.changes.push(ScheduledChange { at, change });
    }

    /// Draws a fraction of the backends, in random order.
    fn sample_backends(&mut self, fraction: f64) -> Vec<BackendId> {
        let numbers = sample(self.topology.machines.len(), fraction, &mut self.random);
        numbers.into_iter().map(BackendId).collect()
    }

    /// Draws a fraction of the proxies, in random order.
    fn sample_proxies(&mut self, fraction: f64) -> Vec<ProxyIndex> {
        let indices = sample(self.topology.proxies.len(), fraction, &mut self.random);
        indices
            .into_iter()
            .map(|index| ProxyIndex(index as u16))
            .collect()
    }

    fn rolling_restart(&mut self, event: &timeline::RollingRestart) {
        let backends = self.sample_backends(event.fraction);
        for (backend, drains_at) in spread_over(&backends, self.at, event.over_s) {
            let stops_at = drains_at + micros_from_seconds(event.drain_s);
            let starts_at = stops_at + micros_from_seconds(event.down_s);
            let crashed = ProcessState::Crashed;
            self.push(drains_at, FleetChange::DrainBackend(backend));
            self.push(stops_at, FleetChange::StopBackend(backend, crashed));
            self.push(starts_at, FleetChange::StartBackend(backend, crashed));
        }
    }

    fn zone_loss(&mut self, event: &timeline::ZoneLoss) {
        let zone = Zone(event.zone);
        let backends: Vec<BackendId> = self.topology.backends_of_zone(zone).collect();
        self.stop_backends(&backends, ProcessState::Unreachable, event.return_after_s);
        let proxies: Vec<ProxyIndex> = self.topology.proxies_of_zone(zone).collect();
        for proxy in proxies {
            let unreachable = ProcessState::Unreachable;
            self.push(self.at, FleetChange::StopProxy(proxy, unreachable));
            if let Some(down_s) = event.return_after_s {
                let starts_at = self.at + micros_from_seconds(down_s);
                self.push(starts_at, FleetChange::StartProxy(proxy));
            }
        }
    }

    fn rack_loss(&mut self, event: &timeline::RackLoss) {
        let rack = Rack(event.rack);
        let backends: Vec<BackendId> = self
            .topology
            .backends_of_zone(Zone(event.zone))
            .filter(|&backend| self.topology.machines[backend.index()].rack == rack)
            .collect();
        self.stop_backends(&backends, ProcessState::Unreachable, event.return_after_s);
    }

    fn region_partition(&mut self, event: &timeline::RegionPartition) {
        let ends_at = self.at + micros_from_seconds(event.for_s);
        self.push(self.at, FleetChange::PartitionRegions);
        self.push(ends_at, FleetChange::HealPartition);
    }

    fn discovery_down(&mut self, event: &timeline::DiscoveryDown) {
        let ends_at = self.at + micros_from_seconds(event.for_s);
        self.push(self.at, FleetChange::StopDiscovery);
        self.push(ends_at, FleetChange::StartDiscovery);
    }

    fn watch_stall(&mut self, event: &timeline::WatchStall) {
        for proxy in self.sample_proxies(event.fraction) {
            self.push(self.at, FleetChange::StallWatch(proxy));
        }
    }

    fn config_burst(&mut self, event: &timeline::ConfigBurst) {
        let shuffled = self.sample_backends(1.0);
        let changed: Vec<BackendId> = shuffled
            .iter()
            .cycle()
            .take(event.endpoints as usize)
            .copied()
            .collect();
        for (backend, changes_at) in spread_over(&changed, self.at, event.over_s) {
            self.push(changes_at, FleetChange::RepublishBackend(backend));
        }
    }

    fn tenant_surge(&mut self, event: &timeline::TenantSurge) {
        let index = self.schedule.surges.len() as u32;
        self.push(self.at, FleetChange::BeginSurge(index));
        self.schedule.surges.push(Surge {
            tenant: TenantIndex(event.tenant),
            until: self.at + micros_from_seconds(event.for_s),
            multiple: event.multiple,
        });
    }

    fn backend_slow(&mut self, event: &timeline::BackendSlow) {
        let ends_at = self.at + micros_from_seconds(event.for_s);
        for backend in self.sample_backends(event.fraction) {
            self.push(self.at, FleetChange::SlowBackend(backend, event.factor));
            self.push(ends_at, FleetChange::SlowBackend(backend, 1.0));
        }
    }

    fn backend_hang(&mut self, event: &timeline::BackendHang) {
        let ends_at = self.at + micros_from_seconds(event.for_s);
        for backend in self.sample_backends(event.fraction) {
            self.push(self.at, FleetChange::HangBackend(backend));
            self.push(ends_at, FleetChange::ResumeBackend(backend));
        }
    }

    fn backend_crash(&mut self, event: &timeline::BackendCrash) {
        let backends = self.sample_backends(event.fraction);
        self.stop_backends(&backends, ProcessState::Crashed, event.return_after_s);
    }

    fn proxy_restart(&mut self, event: &timeline::ProxyRestart) {
        let proxies = self.sample_proxies(event.fraction);
        for (proxy, stops_at) in spread_over(&proxies, self.at, event.over_s) {
            let starts_at = stops_at + micros_from_seconds(event.down_s);
            let crashed = ProcessState::Crashed;
            self.push(stops_at, FleetChange::StopProxy(proxy, crashed));
            self.push(starts_at, FleetChange::StartProxy(proxy));
        }
    }

    fn traffic_shift(&mut self, event: &timeline::TrafficShift) {
        let shift = TrafficShift {
            from: Zone(event.from_zone),
            to: Zone(event.to_zone),
            fraction: event.fraction,
        };
        self.push(self.at, FleetChange::BeginShift(shift));
        if let Some(duration_s) = event.for_s {
            let ends_at = self.at + micros_from_seconds(duration_s);
            self.push(ends_at, FleetChange::EndShift(shift));
        }
    }

    /// Stops backends when the event begins, and starts them again `return_after_s` later. Without a `return_after_s`,
    /// they stay down.
    fn stop_backends(
        &mut self,
        backends: &[BackendId],
        state: ProcessState,
        return_after_s: Option<f64>,
    ) {
        for &backend in backends {
            self.push(self.at, FleetChange::StopBackend(backend, state));
            if let Some(down_s) = return_after_s {
                let starts_at = self.at + micros_from_seconds(down_s);
                self.push(starts_at, FleetChange::StartBackend(backend, state));
            }
        }
    }
}

/// Draws a fraction of the numbers below `count`, in random order.
fn sample(count: usize, fraction: f64, random: &mut SmallRng) -> Vec<u32> {
    let mut numbers: Vec<u32> = (0..count as u32).collect();
    numbers.shuffle(random);
    numbers.truncate((count as f64 * fraction).round() as usize);
    numbers
}

/// Assigns each item a time, evenly spaced over `over_s` seconds from `at`.
fn spread_over<T: Copy>(
    items: &[T],
    at: Micros,
    over_s: f64,
) -> impl Iterator<Item = (T, Micros)> + '_ {
    let interval = micros_from_seconds(over_s) as f64 / items.len().max(1) as f64;
    items
        .iter()
        .enumerate()
        .map(move |(rank, &item)| (item, at + (rank as f64 * interval) as Micros))
}
