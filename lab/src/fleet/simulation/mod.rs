//! The simulation: one fleet under one policy in virtual time.
//!
//! Each step that takes time ends with an event (`SimulationEvent`). `clients` handles the events of clients,
//! `attempts` those of attempts, `discovery` those of discovery, and `changes` those of the fault schedule.

mod attempts;
mod changes;
mod clients;
mod discovery;
mod event;
mod setup;

use super::backend::{EmulatedBackend, SlowStartModel};
use super::client::TrafficMix;
use super::events::EventQueue;
use super::faults::FaultSchedule;
use super::ids::ProxyIndex;
use super::metrics::{Metrics, RunSummary};
use super::policy::{PolicyFactory, TrueLoad};
use super::process::ProcessState;
use super::proxy::{EmulatedProxy, KnownBackend, Watcher};
use super::random::{Stream, stream};
use super::report::{BackendLoad, PolicyReport};
use super::request::{Attempt, AttemptKey, RequestKey, TrackedRequest};
use super::rules::RuleChecker;
use super::scenario::FleetScenario;
use super::slab::RefSlab;
use super::topology::{Latencies, ProxyLocation, Topology};
use crate::units::{MICROS_PER_MILLISECOND, micros_from_seconds};
use clients::ClientState;
use discovery::DiscoveryState;
use event::SimulationEvent;
use indicatif::ProgressBar;
use rand::Rng;
use rand::rngs::SmallRng;
use tillerproxy::api::{
    Action, Event, Micros, Readiness, RequestId, Settings, SettingsError, Zone,
};

/// Interval between updates of the progress bar, in virtual time.
const PROGRESS_INTERVAL: Micros = 100 * MICROS_PER_MILLISECOND;
/// Time for which the simulation runs beyond the deadline of the last calls.
const TIME_AFTER_LAST_DEADLINE: Micros = 100 * MICROS_PER_MILLISECOND;

/// One fleet under one policy.
pub struct Simulation<'a> {
    scenario: &'a FleetScenario,
    factory: &'a PolicyFactory,
    topology: &'a Topology,
    schedule: &'a FaultSchedule,
    seed: u64,
    /// The settings of proxy 0; those of the other proxies differ in index and zone.
    settings: Settings,
    queue: EventQueue<SimulationEvent>,
    latencies: Latencies,
    /// Whether the regions are partitioned: messages between regions are dropped.
    partitioned: bool,
    clients: ClientState,
    proxies: Vec<EmulatedProxy>,
    proxy_seeds: SmallRng,
    backends: Vec<EmulatedBackend>,
    slow_start: SlowStartModel,
    discovery: DiscoveryState,
    requests: RefSlab<TrackedRequest>,
    /// Keys of the requests by request id; `None` once the request and all its attempts have ended.
    request_keys: Vec<Option<RequestKey>>,
    attempts: RefSlab<Attempt>,
    /// Buffer for the actions of a policy, kept between events to reuse its memory.
    actions: Vec<Action>,
    checker: RuleChecker,
    metrics: Metrics,
    /// Number of events handled so far.
    events: u64,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet before its first call. Every proxy holds the full endpoint list.
    ///
    /// # Errors
    /// [`SettingsError`] if the policy rejects its settings.
    pub fn new(
        scenario: &'a FleetScenario,
        topology: &'a Topology,
        schedule: &'a FaultSchedule,
        factory: &'a PolicyFactory,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let traffic = TrafficMix::new(scenario, topology);
        let settings = setup::settings(scenario, topology, &traffic);
        let queue_limit = scenario.backends.queue_limit;
        let backends = topology
            .machines
            .iter()
            .map(|&machine| EmulatedBackend::new(machine, queue_limit))
            .collect();
        let mut simulation = Self {
            scenario,
            factory,
            topology,
            schedule,
            seed,
            queue: EventQueue::new(),
            latencies: Latencies::new(topology, &scenario.network, seed),
            partitioned: false,
            clients: ClientState::new(scenario, topology, traffic, &settings, seed),
            settings,
            proxies: Vec::with_capacity(topology.proxies.len()),
            proxy_seeds: stream(seed, Stream::Proxies, 0),
            backends,
            slow_start: setup::slow_start_model(scenario),
            discovery: DiscoveryState::new(scenario, topology),
            requests: RefSlab::new(),
            request_keys: Vec::new(),
            attempts: RefSlab::new(),
            actions: Vec::new(),
            checker: RuleChecker::new(setup::rule_limits(scenario)),
            metrics: setup::metrics(scenario, topology),
            events: 0,
        };
        simulation.create_proxies()?;
        simulation.schedule_first_events();
        Ok(simulation)
    }

    /// Returns the settings of a proxy.
    fn proxy_settings(&self, proxy: ProxyIndex, zone: Zone) -> Settings {
        Settings {
            proxy_index: u32::from(proxy.0),
            zone,
            ..self.settings.clone()
        }
    }

    fn create_proxies(&mut self) -> Result<(), SettingsError> {
        let endpoints = self.discovery.service.endpoints().to_vec();
        for (location, index) in self.topology.proxies.iter().zip(0..) {
            let index = ProxyIndex(index);
            let proxy = self.create_proxy(index, location, endpoints.len())?;
            self.proxies.push(proxy);
            self.start_policy(index, &endpoints);
        }
        Ok(())
    }

    fn create_proxy(
        &mut self,
        index: ProxyIndex,
        location: &ProxyLocation,
        backends: usize,
    ) -> Result<EmulatedProxy, SettingsError> {
        let settings = self.proxy_settings(index, location.zone);
        let policy = (self.factory)(settings, self.proxy_seeds.random(), 0)?;
        let mut watcher = Watcher::new(index, self.settings.proxy_count);
        watcher.revision = Some(self.discovery.service.revision());
        let known = KnownBackend {
            readiness: Readiness::Ready,
            started_at: None,
            unavailable_since: None,
        };
        Ok(EmulatedProxy {
            zone: location.zone,
            state: ProcessState::Running,
            incarnation: 1,
            policy,
            watcher,
            known_backends: vec![known; backends],
        })
    }

    fn schedule_first_events(&mut self) {
        if self.scenario.discovery.standing_watches {
            self.open_standing_watches();
        }
        for (scheduled, index) in self.schedule.changes.iter().zip(0..) {
            let event = SimulationEvent::FleetChanges { index };
            self.queue.push(scheduled.at, event);
        }
        self.schedule_arrival(0);
        self.queue.push(0, SimulationEvent::UpdateProgress);
    }

    /// Runs the simulation until the deadlines of the last calls have passed.
    pub fn run(&mut self, progress: &ProgressBar) {
        let end = self.end();
        progress.set_length(end / MICROS_PER_MILLISECOND);
        while let Some((now, event)) = self.queue.pop() {
            if now > end {
                break;
            }
            self.events += 1;
            if matches!(event, SimulationEvent::UpdateProgress) {
                progress.set_position(now / MICROS_PER_MILLISECOND);
                self.queue
                    .push_after(PROGRESS_INTERVAL, SimulationEvent::UpdateProgress);
            } else {
                self.on_event(now, event);
            }
        }
    }

    /// Returns the virtual time at which the simulation ends.
    fn end(&self) -> Micros {
        let timeouts = self.settings.classes.iter().map(|class| class.timeout);
        let longest_timeout = timeouts.max().unwrap_or_default();
        micros_from_seconds(self.scenario.duration_s) + longest_timeout + TIME_AFTER_LAST_DEADLINE
    }

    /// Dispatches an event to its handler.
    fn on_event(&mut self, now: Micros, event: SimulationEvent) {
        match event {
            SimulationEvent::CallArrives { process } => self.on_call_arrives(now, process),
            SimulationEvent::ClientRetries { call } => self.on_client_retries(now, call),
            SimulationEvent::RequestReachesProxy { request } => {
                self.on_request_reaches_proxy(now, request)
            }
            SimulationEvent::ClientTimeout { request } => self.on_client_timeout(now, request),
            SimulationEvent::ClientDisconnects { request } => {
                self.on_client_disconnects(now, request)
            }
            SimulationEvent::AttemptReachesBackend { attempt } => {
                self.on_attempt_reaches_backend(now, attempt)
            }
            SimulationEvent::WorkFinishes { attempt } => self.on_work_finishes(now, attempt),
            SimulationEvent::OutcomeReachesProxy { attempt } => {
                self.on_outcome_reaches_proxy(now, attempt)
            }
            SimulationEvent::AttemptTimeout { attempt } => self.on_attempt_timeout(now, attempt),
            SimulationEvent::PolicyTimer {
                proxy,
                incarnation,
                token,
            } => self.on_policy_timer(now, proxy, incarnation, token),
            SimulationEvent::CallReachesDiscovery(call) => {
                self.on_call_reaches_discovery(now, call)
            }
            SimulationEvent::DiscoveryProcessesEntry => self.on_discovery_processes_entry(now),
            SimulationEvent::WatchExpires(call) => self.on_watch_expires(now, call),
            SimulationEvent::ResponseReachesProxy { response } => {
                self.on_response_reaches_proxy(now, response)
            }
            SimulationEvent::CallTimeout(call) => self.on_call_timeout(now, call),
            SimulationEvent::DiscoveryDetects => self.on_discovery_detects(now),
            SimulationEvent::DiscoveryPublishes => self.on_discovery_publishes(now),
            SimulationEvent::FleetChanges { index } => self.on_fleet_change(now, index),
            SimulationEvent::LoadBalancerDetectsProxyState { proxy } => {
                self.on_load_balancer_detects_proxy_state(proxy)
            }
            SimulationEvent::UpdateProgress => {}
        }
    }

    /// Passes an event to the policy of a proxy and applies the resulting actions.
    fn notify_policy(&mut self, now: Micros, proxy: ProxyIndex, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        let true_load: &dyn TrueLoad = &self.backends;
        self.proxies[proxy.index()]
            .policy
            .handle(now, event, true_load, &mut actions);
        for action in actions.drain(..) {
            self.apply(now, proxy, action);
        }
        self.actions = actions;
    }

    /// Applies one action of a proxy's policy.
    fn apply(&mut self, now: Micros, proxy: ProxyIndex, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => self.send(now, request, backend, deadline),
            Action::Reject {
                request,
                retry_after,
            } => self.reject(now, request, retry_after),
            Action::Fail { request } => self.fail(now, request),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::SetTimer { after, token } => self.set_timer(proxy, after, token),
            Action::Subscribe => self.subscribe(proxy),
            // The settings permit no health checks and the fleet emulates no individual connections, so these actions
            // have no effect.
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) => {}
            Action::Log(event) => tracing::trace!(proxy = proxy.0, "{event}"),
        }
    }

    fn set_timer(&mut self, proxy: ProxyIndex, after: Micros, token: u32) {
        let event = SimulationEvent::PolicyTimer {
            proxy,
            incarnation: self.proxies[proxy.index()].incarnation,
            token,
        };
        self.queue.push_after(after, event);
    }

    fn on_policy_timer(&mut self, now: Micros, proxy: ProxyIndex, incarnation: u32, token: u32) {
        let target = &self.proxies[proxy.index()];
        if target.is_running() && target.incarnation == incarnation {
            self.notify_policy(now, proxy, Event::Timer(token));
        }
    }

    /// Returns whether a partition separates two zones.
    fn is_partitioned(&self, from: Zone, to: Zone) -> bool {
        self.partitioned && self.topology.region(from) != self.topology.region(to)
    }

    /// Returns the key of a request; `None` once the request and all its attempts have ended.
    fn request_key(&self, request: RequestId) -> Option<RequestKey> {
        self.request_keys.get(request.index()).copied().flatten()
    }

    /// Drops a reference to a request; after the last one the request's id has no key any more.
    fn release_request(&mut self, request: RequestKey) {
        let TrackedRequest { id, call, .. } = self.requests[request];
        if self.requests.release(request) {
            self.request_keys[id.index()] = None;
            self.clients.calls.release(call);
        }
    }

    /// Drops a reference to an attempt; after the last one its reference to the request is dropped too.
    fn release_attempt(&mut self, attempt: AttemptKey) {
        let request = self.attempts[attempt].request;
        if self.attempts.release(attempt) {
            self.release_request(request);
        }
    }

    /// Returns the measurements of the run, under the name of its policy.
    #[must_use]
    pub fn report(&self, policy: &str) -> PolicyReport {
        let classes = self.scenario.classes.iter();
        self.metrics.report(RunSummary {
            policy: policy.to_owned(),
            class_names: classes.map(|class| class.name.clone()).collect(),
            backend_load: BackendLoad::of(&self.backends),
            rules: self.checker.counts,
            events: self.events,
            elapsed: self.queue.now(),
        })
    }
}
