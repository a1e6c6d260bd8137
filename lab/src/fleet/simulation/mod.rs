//! The simulation: one fleet under one policy in virtual time.
//!
//! Everything that takes time is an event (`SimEvent`). What clients do stands in `clients.rs`, the way of an
//! attempt in `attempts.rs`, discovery and the timeline in `control.rs`.

mod attempts;
mod clients;
mod control;

use super::backend::{ColdStart, EmulatedBackend};
use super::client::Demand;
use super::discovery::ProxyNumber;
use super::events::EventQueue;
use super::faults::Plan;
use super::metrics::{Metrics, RunFigures};
use super::policy::{PolicyFactory, TrueState};
use super::proxy::{HollowProxy, KnownBackend, ProxyLife, Watcher};
use super::random::{Stream, stream};
use super::report::PolicyReport;
use super::request::{Attempt, TrackedRequest};
use super::rules::{Allowed, RuleChecker};
use super::scenario::{FleetScenario, milliseconds, seconds};
use super::slab::RefSlab;
use super::topology::{Latencies, Machine, Topology};
use clients::ClientSide;
use control::ControlSide;
use indicatif::ProgressBar;
use rand::Rng;
use rand::rngs::SmallRng;
use tillerproxy::api::{
    Action, DiscoveryMode, Event, LoadReportFields, Micros, Permissions, Readiness, RequestId,
    SafetyLimits, Settings, SettingsError, Tenant, Zone,
};

/// How often the progress bar moves, in virtual time.
const PROGRESS_EVERY: Micros = 100_000;
/// Time that the run goes on for after the longest deadline.
const AFTERMATH: Micros = 100_000;
/// The place of a request that has ended.
const NO_PLACE: u32 = u32::MAX;
/// Positions of the values in a load report (`backend.rs`).
const REPORT_FIELDS: LoadReportFields = LoadReportFields {
    in_flight: Some(0),
    queued: Some(1),
    service_time_ms: Some(2),
};

/// Something that happens at a point in virtual time. Requests, attempts, calls and replies are named by
/// their place in the simulation's tables, and the event counts as a reference to it.
#[derive(Clone, Copy, Debug)]
enum SimEvent {
    /// The next call of an arrival stream.
    Arrival { stream: u32 },
    /// A client tries again.
    Retry { call: u32 },
    /// A request reaches its proxy.
    ReachProxy { request: u32 },
    /// The client's time for a request is up, and the slack that the rules give.
    ClientTimeout { request: u32 },
    /// A client leaves before its answer.
    ClientLeaves { request: u32 },
    /// An attempt reaches its backend.
    ReachBackend { attempt: u32 },
    /// A core has finished with an attempt.
    WorkDone { attempt: u32 },
    /// An attempt's outcome reaches its proxy.
    ReachBack { attempt: u32 },
    /// A proxy gives an attempt up.
    AttemptTimeout { attempt: u32 },
    /// A timer of a policy.
    PolicyTimer {
        proxy: ProxyNumber,
        incarnation: u32,
        token: u32,
    },
    /// A proxy's call reaches discovery.
    CallArrives { proxy: ProxyNumber, serial: u32 },
    /// Discovery handles what waits for its turn.
    DiscoveryTurn,
    /// The wait of a watch is over.
    WatchOver { proxy: ProxyNumber, serial: u32 },
    /// A reply of discovery reaches a proxy.
    ReplyArrives { reply: u32 },
    /// A proxy drops a call that has not been answered.
    CallTimeout { proxy: ProxyNumber, serial: u32 },
    /// Discovery notices the oldest change that it has not noticed.
    Notice,
    /// Discovery publishes what it has noticed.
    Publish,
    /// A change of the timeline.
    Change { index: u32 },
    /// The front notices whether a proxy lives.
    FrontNotices { proxy: ProxyNumber },
    /// The progress bar moves.
    Progress,
}

/// One fleet under one policy.
pub struct Simulation<'a> {
    scenario: &'a FleetScenario,
    factory: &'a PolicyFactory,
    topology: &'a Topology,
    plan: &'a Plan,
    seed: u64,
    settings: Settings,
    queue: EventQueue<SimEvent>,
    latencies: Latencies,
    clients: ClientSide,
    proxies: Vec<HollowProxy>,
    proxy_seeds: SmallRng,
    backends: Vec<EmulatedBackend>,
    cold: ColdStart,
    requests: RefSlab<TrackedRequest>,
    /// The place of each request, by id.
    places: Vec<u32>,
    attempts: RefSlab<Attempt>,
    /// Reused by every call of a policy.
    actions: Vec<Action>,
    partitioned: bool,
    control: ControlSide,
    checker: RuleChecker,
    metrics: Metrics,
    events: u64,
}

/// The decision module's settings of proxy 0; the others differ in number and zone.
fn settings(scenario: &FleetScenario, topology: &Topology, demand: &Demand) -> Settings {
    let tenants = scenario.tenants.as_ref();
    let tenant = |number: u16, allowance: f64| Tenant {
        quota_per_s: demand.tenant_share(number) * demand.rate * allowance,
    };
    let (permissions, safety) = (&scenario.permissions, &scenario.safety);
    Settings {
        proxy_index: 0,
        proxy_count: scenario.fleet.proxies,
        zone: Zone(0),
        zone_count: topology.zones,
        machine_type_count: scenario.kinds.len() as u8,
        discovery_mode: DiscoveryMode::Polled,
        key_affinity: false,
        classes: scenario
            .classes
            .iter()
            .map(super::scenario::Class::settings)
            .collect(),
        tenants: tenants
            .map(|tenants| {
                (0..tenants.count)
                    .map(|number| tenant(number, tenants.allowance))
                    .collect()
            })
            .unwrap_or_default(),
        over_quota_weight: tenants.map_or(1.0, |tenants| tenants.over_share_worth),
        cross_zone_cost: permissions.cross_zone_price,
        health_check_cost: 0.0,
        load_report: if scenario.backends.load_reports {
            REPORT_FIELDS
        } else {
            LoadReportFields::default()
        },
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: permissions.max_attempts,
            hedging: permissions.second_copies,
            cancellation: permissions.cancel,
            health_checks: false,
            idle_timeout: seconds(permissions.conn_idle_s),
            requests_per_connection: 1,
            max_retry_after: Some(milliseconds(permissions.retry_after_ms)),
        },
        safety: SafetyLimits {
            poll_interval: seconds(safety.ask_within_s),
            slow_start_initial_capacity: safety.cold_from,
            slow_start_duration: seconds(safety.cold_time_s),
            collapse_load_factor: safety.fall_multiple,
            collapse_time: seconds(safety.fall_time_s),
        },
    }
}

fn cold_start(scenario: &FleetScenario) -> ColdStart {
    let safety = &scenario.safety;
    ColdStart {
        from: safety.cold_from,
        time: seconds(safety.cold_time_s),
        fall_multiple: safety.fall_multiple,
        fall_time: seconds(safety.fall_time_s),
        mean_work: milliseconds(scenario.mean_work_ms()) as f64,
    }
}

fn allowed(scenario: &FleetScenario) -> Allowed {
    Allowed {
        max_attempts: scenario.permissions.max_attempts,
        second_copies: scenario.permissions.second_copies,
        drain_grace: seconds(scenario.safety.drain_grace_s),
    }
}

fn metrics(scenario: &FleetScenario, topology: &Topology) -> Metrics {
    let (duration, warmup) = (seconds(scenario.duration_s), seconds(scenario.warmup_s));
    Metrics::new(
        duration,
        warmup,
        scenario.classes.len(),
        topology.proxies.len(),
    )
}

impl<'a> Simulation<'a> {
    /// A fleet whose proxies all hold the whole list, before its first request.
    ///
    /// # Errors
    /// Where the policy does not take its settings.
    pub fn new(
        scenario: &'a FleetScenario,
        topology: &'a Topology,
        plan: &'a Plan,
        factory: &'a PolicyFactory,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let demand = Demand::new(scenario, topology);
        let settings = settings(scenario, topology, &demand);
        let queue_limit = scenario.backends.queue;
        let backend = |&machine: &Machine| EmulatedBackend::new(machine, queue_limit);
        let mut simulation = Self {
            scenario,
            factory,
            topology,
            plan,
            seed,
            queue: EventQueue::new(),
            latencies: Latencies::new(topology, &scenario.network, seed),
            clients: ClientSide::new(scenario, topology, demand, &settings, seed),
            settings,
            proxies: Vec::with_capacity(topology.proxies.len()),
            proxy_seeds: stream(seed, Stream::Proxies, 0),
            backends: topology.machines.iter().map(backend).collect(),
            cold: cold_start(scenario),
            requests: RefSlab::new(),
            places: Vec::new(),
            attempts: RefSlab::new(),
            actions: Vec::new(),
            partitioned: false,
            control: ControlSide::new(scenario, topology),
            checker: RuleChecker::new(allowed(scenario)),
            metrics: metrics(scenario, topology),
            events: 0,
        };
        simulation.start_proxies()?;
        simulation.schedule_start();
        Ok(simulation)
    }

    fn start_proxies(&mut self) -> Result<(), SettingsError> {
        let list = self.control.discovery.list().to_vec();
        let known = KnownBackend {
            readiness: Readiness::Ready,
            started: None,
            barred_at: None,
        };
        for (number, place) in (0..).zip(&self.topology.proxies) {
            let settings = Settings {
                proxy_index: u32::from(number),
                zone: Zone(place.zone),
                ..self.settings.clone()
            };
            let policy = (self.factory)(settings, self.proxy_seeds.random(), 0)?;
            let mut watcher = Watcher::new(number, self.settings.proxy_count);
            watcher.revision = Some(self.control.discovery.revision());
            self.proxies.push(HollowProxy {
                zone: place.zone,
                life: ProxyLife::Up,
                incarnation: 1,
                policy,
                watcher,
                known: vec![known; list.len()],
            });
            self.begin_policy(number, &list);
        }
        Ok(())
    }

    fn schedule_start(&mut self) {
        if self.scenario.discovery.standing_watches {
            self.open_standing_watches();
        }
        for (index, &(at, _)) in (0..).zip(&self.plan.changes) {
            self.queue.push(at, SimEvent::Change { index });
        }
        self.schedule_arrival(0);
        self.queue.push(0, SimEvent::Progress);
    }

    /// Plays the scenario to its end and until all requests have ended.
    pub fn run(&mut self, progress: &ProgressBar) {
        let deadline = self
            .settings
            .classes
            .iter()
            .map(|class| class.timeout)
            .max()
            .unwrap_or_default();
        let end = seconds(self.scenario.duration_s) + deadline + AFTERMATH;
        progress.set_length(end / 1_000);
        while let Some((now, event)) = self.queue.pop() {
            if now > end {
                break;
            }
            self.events += 1;
            if matches!(event, SimEvent::Progress) {
                progress.set_position(now / 1_000);
                self.queue.push_after(PROGRESS_EVERY, SimEvent::Progress);
            } else {
                self.on_event(now, event);
            }
        }
    }

    fn on_event(&mut self, now: Micros, event: SimEvent) {
        match event {
            SimEvent::Arrival { stream } => self.on_arrival(now, stream),
            SimEvent::Retry { call } => self.on_retry(now, call),
            SimEvent::ReachProxy { request } => self.on_reach_proxy(now, request),
            SimEvent::ClientTimeout { request } => self.on_client_timeout(now, request),
            SimEvent::ClientLeaves { request } => self.on_client_leaves(now, request),
            SimEvent::ReachBackend { attempt } => self.on_reach_backend(now, attempt),
            SimEvent::WorkDone { attempt } => self.on_work_done(now, attempt),
            SimEvent::ReachBack { attempt } => self.on_reach_back(now, attempt),
            SimEvent::AttemptTimeout { attempt } => self.on_attempt_timeout(now, attempt),
            SimEvent::PolicyTimer {
                proxy,
                incarnation,
                token,
            } => {
                self.on_policy_timer(now, proxy, incarnation, token);
            }
            SimEvent::CallArrives { proxy, serial } => self.on_call_arrives(now, proxy, serial),
            SimEvent::DiscoveryTurn => self.on_discovery_turn(now),
            SimEvent::WatchOver { proxy, serial } => self.on_watch_over(now, proxy, serial),
            SimEvent::ReplyArrives { reply } => self.on_reply(now, reply),
            SimEvent::CallTimeout { proxy, serial } => self.on_call_timeout(now, proxy, serial),
            SimEvent::Notice => self.on_notice(now),
            SimEvent::Publish => self.on_publish(now),
            SimEvent::Change { index } => self.on_change(now, index),
            SimEvent::FrontNotices { proxy } => self.on_front_notices(proxy),
            SimEvent::Progress => {}
        }
    }

    /// Gives an event to a proxy's policy and carries out what it decides.
    fn tell_policy(&mut self, now: Micros, proxy: ProxyNumber, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        let truth: &dyn TrueState = &self.backends;
        self.proxies[usize::from(proxy)]
            .policy
            .handle(now, event, truth, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, proxy, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Micros, proxy: ProxyNumber, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                deadline: give_up_at,
                ..
            } => {
                self.send(now, request, backend, give_up_at);
            }
            Action::Reject {
                request,
                retry_after,
            } => self.answer(now, request, Some(retry_after)),
            Action::Fail { request } => self.answer(now, request, None),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::SetTimer { after, token } => {
                let incarnation = self.proxies[usize::from(proxy)].incarnation;
                self.queue.push_after(
                    after,
                    SimEvent::PolicyTimer {
                        proxy,
                        incarnation,
                        token,
                    },
                );
            }
            Action::Subscribe => {
                if let Some(outgoing) = self.proxies[usize::from(proxy)].watcher.subscribe() {
                    self.call_discovery(outgoing);
                }
            }
            // Probes are not permitted; connections are not emulated one by one.
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) => {}
            Action::Log(line) => tracing::trace!(proxy, "{line}"),
        }
    }

    fn on_policy_timer(&mut self, now: Micros, proxy: ProxyNumber, incarnation: u32, token: u32) {
        let target = &self.proxies[usize::from(proxy)];
        if target.life == ProxyLife::Up && target.incarnation == incarnation {
            self.tell_policy(now, proxy, Event::Timer(token));
        }
    }

    /// The place of a request that has not ended, attempts and all.
    fn place_of(&self, request: RequestId) -> Option<u32> {
        self.places
            .get(request as usize)
            .copied()
            .filter(|&place| place != NO_PLACE)
    }

    fn release_request(&mut self, request: u32) {
        let TrackedRequest { id, call, .. } = self.requests[request];
        if self.requests.release(request) {
            self.places[id as usize] = NO_PLACE;
            self.clients.calls.release(call);
        }
    }

    fn release_attempt(&mut self, attempt: u32) {
        let request = self.attempts[attempt].request;
        if self.attempts.release(attempt) {
            self.release_request(request);
        }
    }

    /// What was measured.
    #[must_use]
    pub fn report(&self, policy: &str) -> PolicyReport {
        self.metrics.report(RunFigures {
            policy: policy.to_owned(),
            class_names: self
                .scenario
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            taken: self
                .backends
                .iter()
                .map(|backend| backend.arrived)
                .collect(),
            rules: self.checker.counts,
            events: self.events,
            elapsed: self.queue.now(),
        })
    }
}
