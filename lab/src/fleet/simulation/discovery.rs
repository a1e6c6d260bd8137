//! Discovery in the simulation: calls of proxies, responses, detection and publication of changes.

use super::event::ResponseKey;
use super::{Simulation, SimulationEvent};
use crate::fleet::discovery::{
    Call, CallId, CallStatus, Discovery, ListUpdate, Response, ResponseBody,
};
use crate::fleet::ids::{ProxyIndex, Region};
use crate::fleet::proxy::{OutgoingCall, membership_event};
use crate::fleet::scenario::FleetScenario;
use crate::fleet::slab::RefSlab;
use crate::fleet::topology::{Machine, Topology};
use crate::units::micros_from_milliseconds;
use rand::Rng;
use std::collections::VecDeque;
use tillerproxy::api::{Backend, BackendId, Event, MembershipEvent, Micros, Readiness};

/// The region in which the discovery service is located.
const DISCOVERY_REGION: Region = Region(0);

/// Discovery and the messages to and from it.
pub(super) struct DiscoveryState {
    pub(super) service: Discovery,
    /// The current endpoint of each backend, whether published or not, by backend id.
    endpoints: Vec<Backend>,
    /// Changed endpoints that discovery has not yet detected, the oldest first.
    undetected: VecDeque<Backend>,
    /// Time of the first change that is detected and not yet published.
    unpublished_since: Micros,
    /// Whether the processing of the next entry of discovery's queue is scheduled.
    processing_scheduled: bool,
    /// The latest call of each proxy.
    latest_calls: Vec<Option<Call>>,
    responses: RefSlab<Option<Response>>,
}

impl DiscoveryState {
    /// Creates a discovery that lists all backends as ready.
    pub(super) fn new(scenario: &FleetScenario, topology: &Topology) -> Self {
        let proxies = topology.proxies.len();
        let endpoints: Vec<Backend> = topology
            .machines
            .iter()
            .zip(0..)
            .map(|(machine, id)| ready_endpoint(BackendId(id), machine))
            .collect();
        Self {
            service: Discovery::new(&scenario.discovery, endpoints.clone(), proxies),
            endpoints,
            undetected: VecDeque::new(),
            unpublished_since: 0,
            processing_scheduled: false,
            latest_calls: vec![None; proxies],
            responses: RefSlab::new(),
        }
    }
}

/// Returns the endpoint of a ready backend without a recent start.
fn ready_endpoint(id: BackendId, machine: &Machine) -> Backend {
    Backend {
        id,
        zone: machine.zone,
        machine_type: machine.machine_type,
        cell: machine.cell,
        readiness: Readiness::Ready,
        started_at: None,
    }
}

/// Calls to discovery and their responses.
impl Simulation<'_> {
    /// Opens a standing watch for every proxy, as if the watch had begun at a random time before the simulation.
    pub(super) fn open_standing_watches(&mut self) {
        for index in 0..self.proxies.len() {
            let OutgoingCall { call, timeout } = self.proxies[index].watcher.continue_watch();
            let remaining: f64 = self.proxy_seeds.random();
            let wait = (call.wait as f64 * remaining) as Micros;
            let times_out_at = timeout - call.wait + wait;
            let event = SimulationEvent::CallTimeout(call.id);
            self.queue.push(times_out_at, event);
            let status = self.discovery.service.receive(0, Call { wait, ..call });
            self.handle_status(status);
        }
        self.discovery.service.traffic = Default::default();
    }

    /// Begins or continues the watch of a proxy, unless the proxy has a pending call.
    pub(super) fn subscribe(&mut self, proxy: ProxyIndex) {
        if let Some(outgoing) = self.proxies[proxy.index()].watcher.subscribe() {
            self.call_discovery(outgoing);
        }
    }

    /// Sends a proxy's call to discovery and schedules the call's timeout.
    fn call_discovery(&mut self, outgoing: OutgoingCall) {
        let OutgoingCall { call, timeout } = outgoing;
        self.discovery.latest_calls[call.id.proxy.index()] = Some(call);
        let latency = micros_from_milliseconds(self.scenario.discovery.latency_ms);
        let arrival = SimulationEvent::CallReachesDiscovery(call.id);
        self.queue.push_after(latency, arrival);
        let timeout_event = SimulationEvent::CallTimeout(call.id);
        self.queue.push_after(timeout, timeout_event);
    }

    /// Returns whether a partition separates a proxy from discovery.
    fn is_partitioned_from_discovery(&self, proxy: ProxyIndex) -> bool {
        let zone = self.proxies[proxy.index()].zone;
        self.partitioned && self.topology.region(zone) != DISCOVERY_REGION
    }

    /// Delivers a proxy's call to discovery, unless a later call has replaced it or a partition drops it.
    pub(super) fn on_call_reaches_discovery(&mut self, now: Micros, id: CallId) {
        let latest = self.discovery.latest_calls[id.proxy.index()];
        let Some(call) = latest.filter(|call| call.id == id) else {
            return;
        };
        if self.is_partitioned_from_discovery(id.proxy) {
            return;
        }
        let status = self.discovery.service.receive(now, call);
        self.handle_status(status);
        self.record_discovery_traffic(now);
    }

    /// Schedules what follows from the status of a call: its response, its expiry or its processing.
    fn handle_status(&mut self, status: CallStatus) {
        match status {
            CallStatus::Answered(response) => self.send_response(response),
            CallStatus::Standing { call, wait } => {
                let event = SimulationEvent::WatchExpires(call);
                self.queue.push_after(wait, event);
            }
            CallStatus::Queued => self.schedule_processing(),
        }
    }

    /// Schedules the processing of the next queue entry, unless that is already scheduled or the queue is empty.
    fn schedule_processing(&mut self) {
        if self.discovery.processing_scheduled {
            return;
        }
        if let Some(time) = self.discovery.service.next_processing_time() {
            self.discovery.processing_scheduled = true;
            self.queue
                .push_after(time, SimulationEvent::DiscoveryProcessesEntry);
        }
    }

    /// Processes the next entry of discovery's queue.
    pub(super) fn on_discovery_processes_entry(&mut self, now: Micros) {
        self.discovery.processing_scheduled = false;
        if let Some(status) = self.discovery.service.process_next(now) {
            self.handle_status(status);
        }
        self.schedule_processing();
        self.record_discovery_traffic(now);
    }

    /// Answers a standing watch whose wait is over.
    pub(super) fn on_watch_expires(&mut self, now: Micros, call: CallId) {
        if let Some(response) = self.discovery.service.expire_watch(call) {
            self.send_response(response);
            self.record_discovery_traffic(now);
        }
    }

    fn send_response(&mut self, response: Response) {
        let latency = micros_from_milliseconds(self.scenario.discovery.latency_ms);
        let response = self.discovery.responses.insert(Some(response), 1);
        let event = SimulationEvent::ResponseReachesProxy { response };
        self.queue.push_after(latency, event);
    }

    /// Delivers a response to its proxy. A response to a call that the proxy has dropped is ignored.
    pub(super) fn on_response_reaches_proxy(&mut self, now: Micros, key: ResponseKey) {
        let response = self.discovery.responses[key].take();
        self.discovery.responses.release(key);
        let Some(Response { call, body }) = response else {
            return;
        };
        if !self.proxies[call.proxy.index()].is_running()
            || self.is_partitioned_from_discovery(call.proxy)
        {
            return;
        }
        let watcher = &mut self.proxies[call.proxy.index()].watcher;
        if !watcher.complete(call.serial) {
            return;
        }
        match body {
            ResponseBody::List(update) => self.on_list_update(now, call.proxy, &update),
            ResponseBody::Failed => {
                watcher.on_failure();
                let event = Event::Membership(MembershipEvent::WatchFailed);
                self.notify_policy(now, call.proxy, event);
            }
        }
    }

    /// Applies an update of the endpoint list at a proxy, continues the proxy's watch and notifies its policy.
    fn on_list_update(&mut self, now: Micros, proxy: ProxyIndex, update: &ListUpdate) {
        let target = &mut self.proxies[proxy.index()];
        let next_call = target.watcher.on_response(update.revision);
        target.apply(now, update);
        self.metrics.on_update(now, proxy, update.revision);
        self.call_discovery(next_call);
        if update.complete || !update.endpoints.is_empty() {
            let event = Event::Membership(membership_event(update));
            self.notify_policy(now, proxy, event);
        }
    }

    /// Drops a pending call that has no response and notifies the policy of the stalled watch.
    pub(super) fn on_call_timeout(&mut self, now: Micros, call: CallId) {
        let target = &mut self.proxies[call.proxy.index()];
        if target.is_running() && target.watcher.complete(call.serial) {
            target.watcher.on_failure();
            let event = Event::Membership(MembershipEvent::WatchStalled);
            self.notify_policy(now, call.proxy, event);
        }
    }

    /// Records the traffic of discovery up to now.
    pub(super) fn record_discovery_traffic(&mut self, now: Micros) {
        let traffic = self.discovery.service.traffic;
        self.metrics.on_discovery_traffic(now, traffic);
    }
}

/// Changes of the endpoint list.
impl Simulation<'_> {
    /// Changes the readiness of an endpoint and keeps its start time.
    pub(super) fn change_readiness(&mut self, backend: BackendId, readiness: Readiness) {
        let started_at = self.discovery.endpoints[backend.index()].started_at;
        self.change_endpoint(backend, readiness, started_at);
    }

    /// Changes an endpoint. Discovery detects the change after the detection delay.
    pub(super) fn change_endpoint(
        &mut self,
        backend: BackendId,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        let endpoint = &mut self.discovery.endpoints[backend.index()];
        endpoint.readiness = readiness;
        endpoint.started_at = started_at;
        self.discovery.undetected.push_back(*endpoint);
        let delay = micros_from_milliseconds(self.scenario.discovery.detection_delay_ms);
        self.queue
            .push_after(delay, SimulationEvent::DiscoveryDetects);
    }

    /// Publishes an endpoint again, with the same readiness and start time.
    pub(super) fn republish(&mut self, backend: BackendId) {
        let readiness = self.discovery.endpoints[backend.index()].readiness;
        self.change_readiness(backend, readiness);
    }

    /// Detects the oldest undetected change; the first unpublished one schedules the next publication.
    pub(super) fn on_discovery_detects(&mut self, now: Micros) {
        let Some(endpoint) = self.discovery.undetected.pop_front() else {
            return;
        };
        if self.discovery.service.detect(endpoint) {
            let settings = &self.scenario.discovery;
            let interval = micros_from_milliseconds(settings.publish_interval_ms).max(1);
            self.discovery.unpublished_since =
                now - micros_from_milliseconds(settings.detection_delay_ms);
            self.queue.push_after(
                interval - now % interval,
                SimulationEvent::DiscoveryPublishes,
            );
        }
    }

    /// Publishes all detected changes and answers the standing watches.
    pub(super) fn on_discovery_publishes(&mut self, now: Micros) {
        let responses = self.discovery.service.publish();
        let proxies = self.proxies.iter();
        let running_proxies = proxies.filter(|proxy| proxy.is_running()).count();
        self.metrics.on_publication(
            self.discovery.service.revision(),
            self.discovery.unpublished_since,
            running_proxies,
        );
        for response in responses {
            self.send_response(response);
        }
        self.schedule_processing();
        self.record_discovery_traffic(now);
    }

    /// Stops discovery: watches end and queued calls fail.
    pub(super) fn stop_discovery(&mut self, now: Micros) {
        for response in self.discovery.service.stop() {
            self.send_response(response);
        }
        self.record_discovery_traffic(now);
    }
}
