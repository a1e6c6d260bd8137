//! Applies the fault schedule: changes the state of backends, proxies and discovery, and begins and ends partitions,
//! surges and shifts of traffic.

use super::{Simulation, SimulationEvent};
use crate::fleet::faults::FleetChange;
use crate::fleet::ids::ProxyIndex;
use crate::fleet::process::ProcessState;
use crate::units::micros_from_seconds;
use rand::Rng;
use tillerproxy::api::{Backend, BackendId, Event, MembershipEvent, Micros, Readiness};

impl Simulation<'_> {
    /// Applies a change of the fault schedule, by its index.
    pub(super) fn on_fleet_change(&mut self, now: Micros, index: u32) {
        match self.schedule.changes[index as usize].change {
            FleetChange::DrainBackend(backend) => self.drain_backend(backend),
            FleetChange::StopBackend(backend, state) => {
                if self.backends[backend.index()].is_running() {
                    self.stop_backend(now, backend, state);
                }
            }
            FleetChange::StartBackend(backend, state) => self.start_backend(now, backend, state),
            FleetChange::SlowBackend(backend, factor) => {
                self.backends[backend.index()].slowdown = factor;
            }
            FleetChange::HangBackend(backend) => self.backends[backend.index()].hung = true,
            FleetChange::ResumeBackend(backend) => self.resume_backend(now, backend),
            FleetChange::RepublishBackend(backend) => self.republish(backend),
            FleetChange::StopProxy(proxy, state) => self.stop_proxy(now, proxy, state),
            FleetChange::StartProxy(proxy) => self.start_proxy(now, proxy),
            FleetChange::PartitionRegions => self.partitioned = true,
            FleetChange::HealPartition => self.partitioned = false,
            FleetChange::StopDiscovery => self.stop_discovery(now),
            FleetChange::StartDiscovery => self.discovery.service.start(),
            FleetChange::StallWatch(proxy) => self.discovery.service.stall_watch(proxy),
            FleetChange::BeginSurge(surge) => self.begin_surge(now, surge),
            FleetChange::BeginShift(shift) => self.clients.front_load_balancer.shifts.push(shift),
            FleetChange::EndShift(shift) => {
                self.clients
                    .front_load_balancer
                    .shifts
                    .retain(|&other| other != shift);
            }
        }
    }

    fn drain_backend(&mut self, backend: BackendId) {
        if self.backends[backend.index()].is_running() {
            self.change_readiness(backend, Readiness::Draining);
        }
    }

    /// Stops a backend: its attempts end, and its endpoint is removed from the list.
    pub(super) fn stop_backend(&mut self, now: Micros, backend: BackendId, state: ProcessState) {
        tracing::trace!(backend = backend.0, now, ?state, "backend stopped");
        let lost = self.backends[backend.index()].stop(state);
        self.end_lost_attempts(lost, state);
        self.change_endpoint(backend, Readiness::Removed, None);
    }

    /// Starts a backend if its process is still in `stopped_state`, in which the event of the timeline left the
    /// process.
    fn start_backend(&mut self, now: Micros, backend: BackendId, stopped_state: ProcessState) {
        let target = &mut self.backends[backend.index()];
        if target.state == stopped_state && target.start(now) {
            self.checker.on_backend_start();
            self.change_endpoint(backend, Readiness::Ready, Some(now));
        }
    }

    /// Stops a proxy. A crash resets the connections of its clients; the front load balancer detects the stop later.
    fn stop_proxy(&mut self, now: Micros, proxy: ProxyIndex, state: ProcessState) {
        let target = &mut self.proxies[proxy.index()];
        if !target.is_running() {
            return;
        }
        target.state = state;
        target.incarnation += 1;
        if state == ProcessState::Crashed {
            self.reset_clients(now, proxy);
        }
        let detection_delay = micros_from_seconds(self.scenario.clients.dead_proxy_detection_s);
        let event = SimulationEvent::LoadBalancerDetectsProxyState { proxy };
        self.queue.push_after(detection_delay, event);
    }

    /// Starts the process of a proxy, with the endpoint list that its former process held as cached list.
    fn start_proxy(&mut self, now: Micros, proxy: ProxyIndex) {
        let seed = self.proxy_seeds.random();
        let target = &self.proxies[proxy.index()];
        if target.is_running() {
            return;
        }
        let settings = self.proxy_settings(proxy, target.zone);
        let Ok(policy) = (self.factory)(settings, seed, now) else {
            return;
        };
        let target = &mut self.proxies[proxy.index()];
        target.state = ProcessState::Running;
        target.policy = policy;
        target.watcher.restart();
        let endpoints = target.cached_endpoints(self.discovery.service.endpoints());
        self.start_policy(proxy, &endpoints);
        let event = SimulationEvent::LoadBalancerDetectsProxyState { proxy };
        self.queue.push(now, event);
    }

    /// Passes the cached endpoint list to the policy of a proxy that starts.
    pub(super) fn start_policy(&mut self, proxy: ProxyIndex, cached: &[Backend]) {
        let event = Event::Membership(MembershipEvent::Cached(cached));
        self.notify_policy(self.queue.now(), proxy, event);
    }

    /// Updates the front load balancer with the state of a proxy.
    pub(super) fn on_load_balancer_detects_proxy_state(&mut self, proxy: ProxyIndex) {
        let alive = self.proxies[proxy.index()].is_running();
        self.clients
            .front_load_balancer
            .set_alive(self.topology, proxy, alive);
    }
}
