//! A simulated proxy around the balancer: it keeps timers and attempts, and checks the four rules from outside.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod fixtures;

pub use fixtures::*;

use std::collections::BTreeMap;
use std::ops::Range;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// How far past its deadline a request may be answered.
const SLACK: Micros = 20 * MS;
/// Simulated time passes in steps of this length.
const TICK: Micros = 5 * MS;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptState {
    InFlight,
    NotExecuted,
    MayHaveExecuted,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub backend: BackendId,
    pub sent_at: Micros,
    pub deadline: Micros,
    pub state: AttemptState,
}

#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: u8,
    pub deadline: Micros,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub request: RequestId,
    /// Number of the attempt, counting from 0.
    pub number: u16,
    pub backend: BackendId,
}

/// An action of the balancer, with its time.
#[derive(Clone, PartialEq, Debug)]
pub struct LoggedAction {
    pub at: Micros,
    pub action: Action,
}

#[derive(Clone, Copy)]
struct PendingTimer {
    due_at: Micros,
    token: u32,
}

/// One balancer with a simulated proxy around it.
pub struct SimulatedProxy {
    pub now: Micros,
    pub settings: Settings,
    pub balancer: Balancer,
    pub backends: BTreeMap<BackendId, Backend>,
    /// Backends that are draining or removed as the balancer was notified, and since when.
    pub unavailable: BTreeMap<BackendId, Micros>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<PendingTimer>,
    pub log: Vec<LoggedAction>,
}

impl SimulatedProxy {
    pub fn new(settings: Settings, backends: impl IntoIterator<Item = Backend>) -> Self {
        let seed = 7 + u64::from(settings.proxy_index);
        Self::seeded(settings, seed, backends)
    }

    /// One whose random numbers come from this seed.
    pub fn seeded(
        settings: Settings,
        seed: u64,
        backends: impl IntoIterator<Item = Backend>,
    ) -> Self {
        let balancer =
            Balancer::new(settings.clone(), seed, SECOND).expect("the settings make sense");
        let mut proxy = SimulatedProxy {
            now: SECOND,
            settings,
            balancer,
            backends: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        let list: Vec<Backend> = backends.into_iter().collect();
        proxy.change_membership(MembershipEvent::Cached(&list));
        proxy
    }

    /// Gives an event to the balancer, carries its actions out and checks them.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.carry_out(action);
            self.log.push(LoggedAction {
                at: self.now,
                action: action.clone(),
            });
        }
        actions
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => self.check_send(request, backend, deadline),
            Action::Reject { request, .. } => self.check_end(request, true),
            Action::Fail { request } => self.check_end(request, false),
            Action::Cancel { request, attempt } => {
                let tracked = &self.requests[&request];
                assert!(
                    usize::from(attempt) < tracked.attempts.len(),
                    "cancelled an attempt never made"
                );
                assert!(self.settings.permissions.cancellation);
            }
            Action::SetTimer { after, token } => self.timers.push(PendingTimer {
                due_at: self.now + after,
                token,
            }),
            Action::HealthCheck(backend) => {
                assert!(
                    self.settings.permissions.health_checks && self.backends.contains_key(&backend)
                );
            }
            Action::CloseIdleConnections(backend) => assert!(self.backends.contains_key(&backend)),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: RequestId, backend_id: BackendId, deadline: Micros) {
        let backend = self
            .backends
            .get(&backend_id)
            .copied()
            .expect("sent to a backend that no list named");
        assert!(
            !self.unavailable.contains_key(&backend_id),
            "rule 3: sent to a draining or removed backend"
        );
        let settings = &self.settings;
        let tracked = self
            .requests
            .get(&request)
            .expect("sent a request never given");
        assert!(!tracked.ended, "rule 1: sent after the end");
        assert!(
            deadline <= tracked.deadline,
            "rule 1: an attempt outlasts the deadline"
        );
        assert!(tracked.attempts.len() < usize::from(settings.permissions.max_attempts));
        let is_in_flight = tracked
            .attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight);
        assert!(
            !is_in_flight || settings.permissions.hedging,
            "rule 2: two attempts in flight"
        );
        self.check_repeat(request, &backend);
        let tracked = self.requests.get_mut(&request).expect("it is there");
        tracked.attempts.push(Attempt {
            backend: backend_id,
            sent_at: self.now,
            deadline,
            state: AttemptState::InFlight,
        });
    }

    /// Rule 2: checks that an attempt on this backend may follow the earlier ones.
    fn check_repeat(&self, request: RequestId, backend: &Backend) {
        let tracked = &self.requests[&request];
        let settings = &self.settings;
        let executed: Vec<&Attempt> = tracked
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NotExecuted)
            .collect();
        match settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(
                    executed.is_empty(),
                    "rule 2: a non-idempotent request was repeated"
                )
            }
            Idempotency::Keyed { scope, ttl } => {
                for earlier in executed {
                    let earlier_backend = self.backends[&earlier.backend];
                    assert!(
                        self.now <= earlier.sent_at + ttl,
                        "rule 2: a repeat after the key's time"
                    );
                    assert!(match scope {
                        KeyScope::AllBackends => true,
                        KeyScope::Zone => earlier_backend.zone == backend.zone,
                        KeyScope::Cell => earlier_backend.cell == backend.cell,
                    });
                }
            }
        }
    }

    fn check_end(&mut self, request: RequestId, is_rejected: bool) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("ended a request never given");
        assert!(!tracked.ended, "rule 1: two final answers");
        assert!(
            self.now <= tracked.deadline + SLACK,
            "rule 1: a late final answer"
        );
        let first_executed = tracked
            .attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted);
        let is_harmless = match self.settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::AllBackends,
                ttl,
            } => {
                first_executed.is_none_or(|attempt| self.now < attempt.sent_at.saturating_add(ttl))
            }
            _ => first_executed.is_none(),
        };
        assert!(
            !is_rejected || is_harmless,
            "rule 2: rejected what may have run"
        );
        tracked.ended = true;
    }

    /// Changes the listed backends and notifies the balancer.
    pub fn change_membership(&mut self, event: MembershipEvent<'_>) -> Vec<Action> {
        let (MembershipEvent::Delta(endpoints)
        | MembershipEvent::Full(endpoints)
        | MembershipEvent::Cached(endpoints)) = event
        else {
            return self.handle(Event::Membership(event));
        };
        if !matches!(event, MembershipEvent::Delta(_)) {
            for &id in self.backends.keys() {
                self.unavailable.entry(id).or_insert(self.now);
            }
        }
        for endpoint in endpoints {
            self.backends.insert(endpoint.id, *endpoint);
            if endpoint.readiness == Readiness::Ready {
                self.unavailable.remove(&endpoint.id);
            } else {
                self.unavailable.insert(endpoint.id, self.now);
            }
        }
        self.handle(Event::Membership(event))
    }

    /// Gives a new request to the balancer.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let last_class = self.settings.classes.len() as u8 - 1;
        let tracked = TrackedRequest {
            class: request.class.0.min(last_class),
            deadline: self.now + request.timeout,
            ended: false,
            attempts: Vec::new(),
        };
        assert!(self.requests.insert(request.id, tracked).is_none());
        self.handle(Event::Request(request))
    }

    /// Gives new requests of one class to the balancer, one for each id.
    pub fn submit_all(&mut self, ids: Range<u32>, class: u8) {
        for id in ids {
            self.submit(request(id, class));
        }
    }

    /// Ends an attempt that is in flight.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        number: u16,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with_report(request, number, outcome, &[])
    }

    /// Ends an attempt that is in flight; a load report came with the response.
    pub fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        number: u16,
        outcome: Outcome,
        load_report: &[f32],
    ) -> Vec<Action> {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("a request that is known");
        let attempt = &mut tracked.attempts[usize::from(number)];
        assert_eq!(attempt.state, AttemptState::InFlight);
        attempt.state = if outcome.is_not_executed() {
            AttemptState::NotExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        let backend = attempt.backend;
        let elapsed = self.now - attempt.sent_at;
        tracked.ended |= outcome == Outcome::Ok;
        let request_answered = tracked.ended;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            backend,
            attempt: number,
            outcome,
            request_answered,
            elapsed,
            load_report,
            body_consumed: false,
        }))
    }

    /// Ends each attempt that is in flight now. Attempts that follow from it stay in flight.
    pub fn end_all(&mut self, outcome: Outcome) {
        for attempt in self.in_flight() {
            self.end_attempt(attempt.request, attempt.number, outcome);
        }
    }

    /// Returns the attempts that are in flight, in the order of their requests.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let mut in_flight = Vec::new();
        for (&request, tracked) in &self.requests {
            for (number, attempt) in tracked.attempts.iter().enumerate() {
                if attempt.state == AttemptState::InFlight {
                    in_flight.push(InFlightAttempt {
                        request,
                        number: number as u16,
                        backend: attempt.backend,
                    });
                }
            }
        }
        in_flight
    }

    /// Returns the number of attempts in flight at one backend.
    pub fn in_flight_at(&self, backend: BackendId) -> usize {
        self.in_flight()
            .iter()
            .filter(|attempt| attempt.backend == backend)
            .count()
    }

    /// Lets time pass in ticks; timers fire and attempts time out on the way.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.fire_timers();
            self.time_attempts_out();
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.ended || self.now <= tracked.deadline + SLACK,
                    "rule 1: request {id} was lost"
                );
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<PendingTimer>, Vec<PendingTimer>) =
            self.timers.iter().partition(|timer| timer.due_at <= now);
        self.timers = later;
        for timer in due {
            self.handle(Event::Timer(timer.token));
        }
    }

    fn time_attempts_out(&mut self) {
        for attempt in self.in_flight() {
            let tracked = &self.requests[&attempt.request];
            if tracked.attempts[usize::from(attempt.number)].deadline <= self.now {
                self.end_attempt(attempt.request, attempt.number, Outcome::Timeout);
            }
        }
    }

    /// Answers the attempts that are in flight for at least `latency`.
    pub fn serve(&mut self, latency: impl Fn(BackendId) -> Micros) {
        for attempt in self.in_flight() {
            let tracked = &self.requests[&attempt.request];
            let sent_at = tracked.attempts[usize::from(attempt.number)].sent_at;
            if sent_at + latency(attempt.backend) <= self.now {
                self.end_attempt(attempt.request, attempt.number, Outcome::Ok);
            }
        }
    }

    /// Returns how often a backend was ejected.
    pub fn ejections(&self) -> usize {
        self.log
            .iter()
            .filter(|logged| matches!(logged.action, Action::Log(LogEvent::Ejected { .. })))
            .count()
    }
}

/// Returns the backend of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
