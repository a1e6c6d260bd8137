//! Clients in the simulation: arrivals, tries, answers, and clients that leave or give up.

use super::super::client::{
    Allowances, ArrivalStream, ClientCall, Demand, Front, RetryBehavior, TryEnd,
};
use super::super::metrics::CallEnd;
use super::super::proxy::ProxyLife;
use super::super::request::TrackedRequest;
use super::super::scenario::{FleetScenario, milliseconds, seconds};
use super::super::slab::RefSlab;
use super::super::topology::Topology;
use super::{SimEvent, Simulation};
use tillerproxy::api::{ClassIndex, Event, Micros, Request, RequestId, Settings, TenantIndex};

/// What the simulation keeps of the clients.
pub(super) struct ClientSide {
    pub(super) demand: Demand,
    /// What tenants may ask for, which decides the worth of their calls.
    allowances: Allowances,
    streams: Vec<ArrivalStream>,
    pub(super) front: Front,
    retries: RetryBehavior,
    pub(super) calls: RefSlab<ClientCall>,
}

impl ClientSide {
    /// Clients before their first call.
    pub(super) fn new(
        scenario: &FleetScenario,
        topology: &Topology,
        demand: Demand,
        settings: &Settings,
        seed: u64,
    ) -> Self {
        let until = seconds(scenario.duration_s);
        Self {
            allowances: Allowances::new(settings.tenants.iter().map(|tenant| tenant.quota_per_s)),
            streams: vec![ArrivalStream::new(demand.rate, 0, until, None, seed, 0)],
            demand,
            front: Front::new(topology),
            retries: RetryBehavior::new(&scenario.clients, seed),
            calls: RefSlab::new(),
        }
    }
}

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self, stream: u32) {
        if let Some(at) = self.clients.streams[stream as usize].next_arrival() {
            self.queue.push(at, SimEvent::Arrival { stream });
        }
    }

    /// A tenant's surge begins: a further stream of arrivals.
    pub(super) fn begin_surge(&mut self, now: Micros, number: u32) {
        let surge = self.plan.surges[number as usize];
        let rate = self.clients.demand.rate
            * self.clients.demand.tenant_share(surge.tenant)
            * (surge.multiple - 1.0);
        let index = self.clients.streams.len();
        let (until, tenant) = (surge.until, Some(surge.tenant));
        self.clients.streams.push(ArrivalStream::new(
            rate,
            now,
            until,
            tenant,
            self.seed,
            u64::from(number) + 1,
        ));
        self.schedule_arrival(index as u32);
    }

    pub(super) fn on_arrival(&mut self, now: Micros, stream: u32) {
        let mut call = self.clients.streams[stream as usize].draw(now, &self.clients.demand);
        call.worth = self.scenario.classes[usize::from(call.class)].worth;
        if !self.clients.allowances.take(now, call.tenant) {
            call.worth *= self.settings.over_quota_weight;
        }
        self.schedule_arrival(stream);
        let place = self.clients.calls.insert(call, 1);
        self.begin_try(now, place, call.way);
    }

    pub(super) fn on_retry(&mut self, now: Micros, call: u32) {
        if self.clients.calls[call].ended {
            self.clients.calls.release(call);
            return;
        }
        let way = self.clients.retries.draw_way();
        self.begin_try(now, call, way);
    }

    /// Sends a client's next try on its way. Takes over a reference to the call.
    fn begin_try(&mut self, now: Micros, place: u32, way: f64) {
        self.metrics.attempts.tries += 1;
        self.clients.calls[place].tries += 1;
        let call = self.clients.calls[place];
        let class = &self.scenario.classes[usize::from(call.class)];
        let Some(proxy) = self.clients.front.choose(&call, way) else {
            self.end_call(place, CallEnd::Failed);
            self.clients.calls.release(place);
            return;
        };
        let deadline = self.clients.retries.try_deadline(now, &call, class);
        let leaves_at = self
            .clients
            .retries
            .leaves_at(&call, class)
            .filter(|_| call.tries == 1);
        let id = self.places.len() as RequestId;
        let request = TrackedRequest::new(id, place, call.class, proxy, deadline);
        let request = self.requests.insert(request, 2);
        self.places.push(request);
        let way_there = self.client_latency();
        self.queue
            .push_after(way_there, SimEvent::ReachProxy { request });
        let slack = milliseconds(self.scenario.safety.answer_slack_ms);
        self.queue
            .push(deadline + slack, SimEvent::ClientTimeout { request });
        if let Some(at) = leaves_at {
            self.requests.retain(request);
            self.queue.push(at, SimEvent::ClientLeaves { request });
        }
    }

    fn client_latency(&mut self) -> Micros {
        self.latencies
            .with_jitter(milliseconds(self.scenario.clients.latency_ms) as f64)
    }

    pub(super) fn on_reach_proxy(&mut self, now: Micros, place: u32) {
        let request = self.requests[place];
        let proxy = &self.proxies[usize::from(request.proxy)];
        match proxy.life {
            _ if request.client_gone => {}
            ProxyLife::Up => {
                let incarnation = proxy.incarnation;
                let taken = &mut self.requests[place];
                (taken.taken, taken.incarnation) = (true, incarnation);
                self.checker.on_taken();
                self.hand_over(now, place);
            }
            ProxyLife::Dead => {
                let back = self.client_latency();
                self.end_try(place, now + back, TryEnd::Unreachable);
            }
            ProxyLife::Vanished => {
                let dial = milliseconds(self.scenario.network.dial_timeout_ms);
                self.end_try(place, now + dial, TryEnd::Unreachable);
            }
        }
        self.release_request(place);
    }

    /// A request goes to the policy of the proxy that took it.
    fn hand_over(&mut self, now: Micros, place: u32) {
        let TrackedRequest {
            id,
            call,
            class,
            proxy,
            deadline,
            ..
        } = self.requests[place];
        let call = &self.clients.calls[call];
        let request = Request {
            id,
            class: ClassIndex(class),
            tenant: TenantIndex(call.tenant),
            key: Some(call.key),
            timeout: deadline.saturating_sub(now),
            expected_work: None,
            is_retry: call.tries > 1,
        };
        self.tell_policy(now, proxy, Event::Request(request));
    }

    /// A proxy's own final answer: a refusal with its retry-after, or a failure.
    pub(super) fn answer(&mut self, now: Micros, id: RequestId, retry_after: Option<Micros>) {
        let Some(place) = self.place_of(id) else {
            return self.checker.on_action_after_the_end();
        };
        let request = &self.requests[place];
        let class = &self.settings.classes[usize::from(request.class)];
        self.checker
            .on_answer(now, request, class, retry_after.is_some());
        if request.answered || request.client_gone {
            return;
        }
        self.requests[place].answered = true;
        let end = retry_after.map_or(TryEnd::Failed, |retry_after| TryEnd::Refused {
            retry_after,
        });
        let back = self.client_latency();
        self.end_try(place, now + back, end);
    }

    /// A backend's answer goes to the client.
    pub(super) fn serve(&mut self, now: Micros, place: u32) {
        self.requests[place].answered = true;
        let at = now + self.client_latency();
        let TrackedRequest { call, deadline, .. } = self.requests[place];
        if at > deadline {
            return self.end_try(place, at, TryEnd::TimedOut);
        }
        self.requests[place].client_gone = true;
        let ClientCall { born, class, .. } = self.clients.calls[call];
        let latency = at - born;
        let in_time = latency <= milliseconds(self.scenario.classes[usize::from(class)].aim_ms);
        self.end_call(call, CallEnd::Served { latency, in_time });
    }

    /// A try ended without the answer that the client wants; it learns so at `at`.
    pub(super) fn end_try(&mut self, place: u32, at: Micros, end: TryEnd) {
        let request = &mut self.requests[place];
        let end = if at > request.deadline {
            TryEnd::TimedOut
        } else {
            end
        };
        request.client_gone = true;
        let call_place = request.call;
        let call = self.clients.calls[call_place];
        if call.ended {
            return;
        }
        let class = &self.scenario.classes[usize::from(call.class)];
        if let Some(wait) = self.clients.retries.wait(at, &call, class, end) {
            self.clients.calls.retain(call_place);
            self.queue
                .push(at + wait, SimEvent::Retry { call: call_place });
            return;
        }
        self.end_call(
            call_place,
            match end {
                TryEnd::Refused { .. } => CallEnd::Refused,
                TryEnd::Failed | TryEnd::Unreachable => CallEnd::Failed,
                TryEnd::TimedOut => CallEnd::TimedOut,
            },
        );
    }

    fn end_call(&mut self, place: u32, end: CallEnd) {
        let call = &mut self.clients.calls[place];
        if call.ended {
            return;
        }
        call.ended = true;
        let class = &self.scenario.classes[usize::from(call.class)];
        self.metrics.on_call_end(call, class.late_worth, end);
    }

    /// Whether the proxy that took a request still lives.
    fn is_held(&self, request: &TrackedRequest) -> bool {
        let proxy = &self.proxies[usize::from(request.proxy)];
        request.taken && proxy.life == ProxyLife::Up && proxy.incarnation == request.incarnation
    }

    pub(super) fn on_client_timeout(&mut self, now: Micros, place: u32) {
        let request = self.requests[place];
        if !request.answered && !request.client_gone {
            self.end_try(place, now, TryEnd::TimedOut);
            if self.is_held(&request) {
                self.checker.on_lost();
                self.tell_policy(now, request.proxy, Event::ClientDisconnected(request.id));
            }
        }
        self.release_request(place);
    }

    pub(super) fn on_client_leaves(&mut self, now: Micros, place: u32) {
        let request = self.requests[place];
        if !request.answered && !request.client_gone {
            self.requests[place].client_gone = true;
            self.end_call(request.call, CallEnd::Left);
            if self.is_held(&request) {
                self.tell_policy(now, request.proxy, Event::ClientDisconnected(request.id));
            }
        }
        self.release_request(place);
    }

    /// A proxy's process died: its clients' connections are reset.
    pub(super) fn reset_clients_of(&mut self, now: Micros, proxy: u16) {
        let lost: Vec<u32> = self
            .requests
            .places()
            .filter(|&place| {
                let request = &self.requests[place];
                request.proxy == proxy && request.taken && !request.answered && !request.client_gone
            })
            .collect();
        for place in lost {
            let back = self.client_latency();
            self.end_try(place, now + back, TryEnd::Failed);
        }
    }
}
