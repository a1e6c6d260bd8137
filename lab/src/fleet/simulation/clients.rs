//! Clients in the simulation: arrivals, attempts, answers, timeouts and disconnections.

use super::{Simulation, SimulationEvent};
use crate::fleet::client::{
    ArrivalProcess, ArrivalSettings, AttemptFailure, ClientBehavior, ClientCall, FrontLoadBalancer,
    TenantQuotas, TrafficMix,
};
use crate::fleet::ids::ProxyIndex;
use crate::fleet::metrics::CallEnd;
use crate::fleet::process::ProcessState;
use crate::fleet::request::{CallKey, RequestKey, RequestState, TrackedRequest};
use crate::fleet::scenario::FleetScenario;
use crate::fleet::slab::RefSlab;
use crate::fleet::topology::Topology;
use crate::units::{micros_from_milliseconds, micros_from_seconds};
use tillerproxy::api::{Event, Micros, Request, RequestId, Settings};

/// The clients of the simulation.
pub(super) struct ClientState {
    traffic: TrafficMix,
    /// Tenant quotas; a call over its tenant's quota has a lower priority weight.
    quotas: TenantQuotas,
    /// Arrival processes: the usual traffic at index 0, then one for each surge that has begun.
    arrivals: Vec<ArrivalProcess>,
    pub(super) front_load_balancer: FrontLoadBalancer,
    behavior: ClientBehavior,
    pub(super) calls: RefSlab<ClientCall>,
}

impl ClientState {
    /// Creates the clients before their first call.
    pub(super) fn new(
        scenario: &FleetScenario,
        topology: &Topology,
        traffic: TrafficMix,
        settings: &Settings,
        seed: u64,
    ) -> Self {
        let usual_traffic = ArrivalSettings {
            calls_per_s: traffic.calls_per_s,
            begins_at: 0,
            ends_at: micros_from_seconds(scenario.duration_s),
            tenant: None,
        };
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s);
        Self {
            quotas: TenantQuotas::new(quotas),
            arrivals: vec![ArrivalProcess::new(usual_traffic, seed, 0)],
            traffic,
            front_load_balancer: FrontLoadBalancer::new(topology),
            behavior: ClientBehavior::new(&scenario.clients, seed),
            calls: RefSlab::new(),
        }
    }
}

impl Simulation<'_> {
    /// Schedules the next call of an arrival process, if the process has one.
    pub(super) fn schedule_arrival(&mut self, process: u32) {
        if let Some(at) = self.clients.arrivals[process as usize].next_arrival() {
            let event = SimulationEvent::CallArrives { process };
            self.queue.push(at, event);
        }
    }

    /// Begins a tenant's surge as an additional arrival process.
    pub(super) fn begin_surge(&mut self, now: Micros, index: u32) {
        let surge = self.schedule.surges[index as usize];
        let traffic = &self.clients.traffic;
        let usual_rate = traffic.calls_per_s * traffic.tenant_fraction(surge.tenant);
        let additional_traffic = ArrivalSettings {
            calls_per_s: usual_rate * (surge.multiple - 1.0),
            begins_at: now,
            ends_at: surge.until,
            tenant: Some(surge.tenant),
        };
        // Stream 0 belongs to the usual traffic.
        let stream_index = u64::from(index) + 1;
        let arrivals = ArrivalProcess::new(additional_traffic, self.seed, stream_index);
        let process = self.clients.arrivals.len() as u32;
        self.clients.arrivals.push(arrivals);
        self.schedule_arrival(process);
    }

    /// Starts a new call of an arrival process and schedules the next one.
    pub(super) fn on_call_arrives(&mut self, now: Micros, process: u32) {
        let arrivals = &mut self.clients.arrivals[process as usize];
        let mut call = arrivals.draw_call(now, &self.clients.traffic);
        call.priority_weight = self.scenario.classes[call.class.index()].priority_weight;
        if !self.clients.quotas.try_take(now, call.tenant) {
            call.priority_weight *= self.settings.over_quota_weight;
        }
        self.schedule_arrival(process);
        let key = self.clients.calls.insert(call, 1);
        self.start_client_attempt(now, key, call.proxy_draw);
    }

    /// Starts the next attempt of a call after its backoff, unless the call has ended.
    pub(super) fn on_client_retries(&mut self, now: Micros, call: CallKey) {
        if self.clients.calls[call].ended {
            self.clients.calls.release(call);
            return;
        }
        let proxy_draw = self.clients.behavior.draw_proxy();
        self.start_client_attempt(now, call, proxy_draw);
    }

    /// Starts the next attempt of a client; `proxy_draw` selects the proxy. Takes over one reference to the call.
    fn start_client_attempt(&mut self, now: Micros, key: CallKey, proxy_draw: f64) {
        self.metrics.attempts.client_attempts += 1;
        self.clients.calls[key].attempts += 1;
        let call = self.clients.calls[key];
        let Some(proxy) = self
            .clients
            .front_load_balancer
            .choose_proxy(&call, proxy_draw)
        else {
            self.end_call(key, CallEnd::Failed);
            self.clients.calls.release(key);
            return;
        };
        let class = &self.scenario.classes[call.class.index()];
        let deadline = self.clients.behavior.attempt_deadline(now, &call, class);
        let request = self.add_request(key, proxy, deadline);
        self.schedule_request(request, deadline);
        if call.attempts == 1
            && let Some(at) = self.clients.behavior.disconnects_at(&call, class)
        {
            self.requests.retain(request);
            let event = SimulationEvent::ClientDisconnects { request };
            self.queue.push(at, event);
        }
    }

    /// Adds the request of a client's attempt.
    fn add_request(&mut self, call: CallKey, proxy: ProxyIndex, deadline: Micros) -> RequestKey {
        let id = RequestId(self.request_keys.len() as u32);
        let class = self.clients.calls[call].class;
        let request = TrackedRequest::new(id, call, class, proxy, deadline);
        // Two pending events refer to the request: its arrival at the proxy and the client's timeout.
        let key = self.requests.insert(request, 2);
        self.request_keys.push(Some(key));
        key
    }

    /// Schedules the arrival of a request at its proxy and the client's timeout.
    fn schedule_request(&mut self, request: RequestKey, deadline: Micros) {
        let latency = self.client_latency();
        let event = SimulationEvent::RequestReachesProxy { request };
        self.queue.push_after(latency, event);
        let grace = micros_from_milliseconds(self.scenario.safety.answer_grace_ms);
        let timeout = SimulationEvent::ClientTimeout { request };
        self.queue.push(deadline + grace, timeout);
    }

    /// Draws the latency of one message between a client and a proxy.
    fn client_latency(&mut self) -> Micros {
        let latency = micros_from_milliseconds(self.scenario.clients.latency_ms) as f64;
        self.latencies.with_jitter(latency)
    }

    /// Delivers a request to its proxy, or ends the client's attempt if the proxy does not run.
    pub(super) fn on_request_reaches_proxy(&mut self, now: Micros, key: RequestKey) {
        let request = self.requests[key];
        if request.is_pending() {
            match self.proxies[request.proxy.index()].state {
                ProcessState::Running => self.accept_request(now, key),
                ProcessState::Crashed => {
                    let latency = self.client_latency();
                    self.end_client_attempt(key, now + latency, AttemptFailure::Unreachable);
                }
                ProcessState::Unreachable => {
                    let timeout =
                        micros_from_milliseconds(self.scenario.network.connect_timeout_ms);
                    self.end_client_attempt(key, now + timeout, AttemptFailure::Unreachable);
                }
            }
        }
        self.release_request(key);
    }

    /// Passes a request to the policy of its proxy.
    fn accept_request(&mut self, now: Micros, key: RequestKey) {
        let tracked = &mut self.requests[key];
        let proxy = tracked.proxy;
        tracked.accepted_by = Some(self.proxies[proxy.index()].incarnation);
        let call = &self.clients.calls[tracked.call];
        let request = Request {
            id: tracked.id,
            class: tracked.class,
            tenant: call.tenant,
            key: Some(call.key),
            timeout: tracked.deadline.saturating_sub(now),
            expected_work: None,
            is_retry: call.attempts > 1,
        };
        self.checker.on_accepted();
        self.notify_policy(now, proxy, Event::Request(request));
    }

    /// Ends a request with a rejection by the proxy.
    pub(super) fn reject(&mut self, now: Micros, id: RequestId, retry_after: Micros) {
        self.answer(now, id, AttemptFailure::Rejected { retry_after });
    }

    /// Ends a request with a failure reported by the proxy.
    pub(super) fn fail(&mut self, now: Micros, id: RequestId) {
        self.answer(now, id, AttemptFailure::Failed);
    }

    /// Ends a request with a final answer that the proxy gives without a backend's response.
    fn answer(&mut self, now: Micros, id: RequestId, failure: AttemptFailure) {
        let Some(key) = self.request_key(id) else {
            self.checker.on_action_after_end();
            return;
        };
        let request = &self.requests[key];
        let class = &self.settings.classes[request.class.index()];
        let rejected = matches!(failure, AttemptFailure::Rejected { .. });
        self.checker.on_answer(now, request, class, rejected);
        if request.is_pending() {
            self.requests[key].state = RequestState::Answered;
            let latency = self.client_latency();
            self.end_client_attempt(key, now + latency, failure);
        }
    }

    /// Sends a backend's response to the client as the final answer. The call is served if the response arrives before
    /// the client's deadline.
    pub(super) fn send_response_to_client(&mut self, now: Micros, key: RequestKey) {
        self.requests[key].state = RequestState::Answered;
        let at = now + self.client_latency();
        let request = &self.requests[key];
        if at > request.deadline {
            self.end_client_attempt(key, at, AttemptFailure::TimedOut);
            return;
        }
        let call = request.call;
        let ClientCall {
            started_at, class, ..
        } = self.clients.calls[call];
        let objective_ms = self.scenario.classes[class.index()].latency_objective_ms;
        let latency = at - started_at;
        let end = CallEnd::Served {
            latency,
            within_objective: latency <= micros_from_milliseconds(objective_ms),
        };
        self.end_call(call, end);
    }

    /// Ends a client's attempt that was not served. The client is notified at `at`, and then retries the call or ends
    /// it.
    fn end_client_attempt(&mut self, key: RequestKey, at: Micros, failure: AttemptFailure) {
        let request = &mut self.requests[key];
        request.abandon();
        let failure = if at > request.deadline {
            AttemptFailure::TimedOut
        } else {
            failure
        };
        let call_key = request.call;
        let call = self.clients.calls[call_key];
        if call.ended {
            return;
        }
        let class = &self.scenario.classes[call.class.index()];
        if let Some(backoff) = self.clients.behavior.backoff(at, &call, class, failure) {
            self.clients.calls.retain(call_key);
            let event = SimulationEvent::ClientRetries { call: call_key };
            self.queue.push(at + backoff, event);
            return;
        }
        self.end_call(call_key, call_end(failure));
    }

    /// Ends a call and records how it ended. A call that has already ended is left unchanged.
    fn end_call(&mut self, key: CallKey, end: CallEnd) {
        let call = &mut self.clients.calls[key];
        if call.ended {
            return;
        }
        call.ended = true;
        let class = &self.scenario.classes[call.class.index()];
        self.metrics
            .on_call_end(call, class.late_weight_factor, end);
    }

    /// Returns whether the process that accepted a request still runs.
    fn is_accepting_process_running(&self, request: &TrackedRequest) -> bool {
        let proxy = &self.proxies[request.proxy.index()];
        proxy.is_running() && request.accepted_by == Some(proxy.incarnation)
    }

    /// Ends a client's attempt that has no answer at its deadline plus the grace period.
    pub(super) fn on_client_timeout(&mut self, now: Micros, key: RequestKey) {
        let request = self.requests[key];
        if request.is_pending() {
            self.end_client_attempt(key, now, AttemptFailure::TimedOut);
            if self.is_accepting_process_running(&request) {
                self.checker.on_unanswered();
                let event = Event::ClientDisconnected(request.id);
                self.notify_policy(now, request.proxy, event);
            }
        }
        self.release_request(key);
    }

    /// Ends a call whose client disconnects before its response.
    pub(super) fn on_client_disconnects(&mut self, now: Micros, key: RequestKey) {
        let request = self.requests[key];
        if request.is_pending() {
            self.requests[key].abandon();
            self.end_call(request.call, CallEnd::Disconnected);
            if self.is_accepting_process_running(&request) {
                let event = Event::ClientDisconnected(request.id);
                self.notify_policy(now, request.proxy, event);
            }
        }
        self.release_request(key);
    }

    /// Fails the accepted requests of a proxy that crashed: their clients' connections are reset.
    pub(super) fn reset_clients(&mut self, now: Micros, proxy: ProxyIndex) {
        let reset: Vec<RequestKey> = self
            .requests
            .keys()
            .filter(|&key| {
                let request = &self.requests[key];
                request.proxy == proxy && request.accepted_by.is_some() && request.is_pending()
            })
            .collect();
        for key in reset {
            let latency = self.client_latency();
            self.end_client_attempt(key, now + latency, AttemptFailure::Failed);
        }
    }
}

/// Returns the end of a call whose last attempt ended with a failure.
fn call_end(failure: AttemptFailure) -> CallEnd {
    match failure {
        AttemptFailure::Rejected { .. } => CallEnd::Rejected,
        AttemptFailure::Failed | AttemptFailure::Unreachable => CallEnd::Failed,
        AttemptFailure::TimedOut => CallEnd::TimedOut,
    }
}
