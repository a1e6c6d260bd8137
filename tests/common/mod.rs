//! A simulated proxy that runs one balancer: it keeps simulated time, timers and attempts, and checks each action.
//!
//! The checks cover rule 1 (one final answer), rule 2 (idempotency) and rule 3 (draining). Rule 4 (slow start) concerns
//! several proxies and is checked in `tests/rules/slow_start.rs`.
#![allow(dead_code, reason = "each test crate uses only some of these items")]

mod fixtures;

pub use fixtures::*;

use std::collections::BTreeMap;
use std::ops::Range;
use tillerproxy::api::*;
use tillerproxy::balancer::Balancer;

/// Longest time after its deadline at which a request may get its final answer.
const MAX_ANSWER_DELAY: Micros = 20 * MS;
/// Length of a step of simulated time.
const TICK: Micros = 5 * MS;

/// State of an attempt: whether its backend may have executed the request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptState {
    /// The attempt has not ended. The request counts as possibly executed.
    InFlight,
    /// The attempt has ended, and its outcome proves that the backend did not execute the request.
    NotExecuted,
    /// The attempt has ended, and the backend may have executed the request.
    MayHaveExecuted,
}

/// An attempt that the balancer has started.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub backend: BackendId,
    pub sent_at: Micros,
    pub deadline: Micros,
    pub state: AttemptState,
}

/// A request that was submitted, with all its attempts.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: u8,
    /// Time of the client's timeout.
    pub deadline: Micros,
    /// Whether the request has its final answer or its client has disconnected.
    pub ended: bool,
    pub attempts: Vec<Attempt>,
}

/// The ids of an attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub request: RequestId,
    /// Number of the attempt, counting from 0.
    pub number: u16,
    pub backend: BackendId,
}

/// An action of the balancer and the time at which it was returned.
#[derive(Clone, PartialEq, Debug)]
pub struct LoggedAction {
    pub at: Micros,
    pub action: Action,
}

/// A timer that the balancer has set and that has not fired.
#[derive(Clone, Copy)]
struct PendingTimer {
    due_at: Micros,
    token: u32,
}

/// A balancer with the simulated time, timers and attempts of its proxy.
pub struct SimulatedProxy {
    pub now: Micros,
    pub settings: Settings,
    pub balancer: Balancer,
    pub backends: BTreeMap<BackendId, Backend>,
    /// Backends that are draining or removed, each with the time at which the balancer was notified of that state.
    pub unavailable: BTreeMap<BackendId, Micros>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<PendingTimer>,
    /// All actions of the balancer so far.
    pub log: Vec<LoggedAction>,
}

impl SimulatedProxy {
    /// Returns a proxy whose balancer has a seed derived from its index and has received these backends as a cached
    /// list.
    pub fn new(settings: Settings, backends: impl IntoIterator<Item = Backend>) -> Self {
        let seed = 7 + u64::from(settings.proxy_index);
        Self::with_seed(settings, seed, backends)
    }

    /// Returns a proxy whose balancer has the seed `seed` and has received these backends as a cached list.
    pub fn with_seed(
        settings: Settings,
        seed: u64,
        backends: impl IntoIterator<Item = Backend>,
    ) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, SECOND)
            .expect("the settings of the test are valid");
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

    /// Passes an event to the balancer; checks, applies and logs the actions that it returns.
    ///
    /// # Panics
    /// Panics if an action breaks one of the rules 1 to 3 or a permission of the settings.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.apply(action);
            self.log.push(LoggedAction {
                at: self.now,
                action: action.clone(),
            });
        }
        actions
    }

    /// Checks an action and records its effect on requests, attempts and timers.
    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => self.record_send(request, backend, deadline),
            Action::Reject { request, .. } => self.record_final_answer(request, true),
            Action::Fail { request } => self.record_final_answer(request, false),
            Action::Cancel { request, attempt } => {
                let tracked = &self.requests[&request];
                assert!(
                    usize::from(attempt) < tracked.attempts.len(),
                    "request {request} has no attempt {attempt} to cancel"
                );
                assert!(
                    self.settings.permissions.cancellation,
                    "cancelled an attempt without permission"
                );
            }
            Action::SetTimer { after, token } => self.timers.push(PendingTimer {
                due_at: self.now + after,
                token,
            }),
            Action::HealthCheck(backend) => {
                assert!(
                    self.settings.permissions.health_checks && self.backends.contains_key(&backend),
                    "health check of backend {backend} without permission or of an unlisted backend"
                );
            }
            Action::CloseIdleConnections(backend) => assert!(
                self.backends.contains_key(&backend),
                "closed idle connections of backend {backend}, which no list contained"
            ),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// Checks that an attempt may start and records it.
    fn record_send(&mut self, request: RequestId, backend_id: BackendId, deadline: Micros) {
        let backend = self
            .backends
            .get(&backend_id)
            .copied()
            .expect("the balancer sends only to backends of a received list");
        assert!(
            !self.unavailable.contains_key(&backend_id),
            "rule 3: request {request} was sent to backend {backend_id}, which is draining or removed"
        );
        let settings = &self.settings;
        let tracked = self
            .requests
            .get(&request)
            .expect("the balancer sends only requests that were submitted");
        assert!(
            !tracked.ended,
            "rule 1: request {request} was sent after its end"
        );
        assert!(
            deadline <= tracked.deadline,
            "rule 1: an attempt of request {request} has a later deadline than the request"
        );
        assert!(
            tracked.attempts.len() < usize::from(settings.permissions.max_attempts),
            "request {request} has more attempts than permitted"
        );
        let has_attempt_in_flight = tracked
            .attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight);
        assert!(
            !has_attempt_in_flight || settings.permissions.hedging,
            "rule 2: request {request} has two attempts in flight without permission to hedge"
        );
        self.check_retry(request, &backend);
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the attempt belongs to a submitted request");
        tracked.attempts.push(Attempt {
            backend: backend_id,
            sent_at: self.now,
            deadline,
            state: AttemptState::InFlight,
        });
    }

    /// Checks rule 2: that idempotency permits an attempt on this backend after the earlier attempts.
    fn check_retry(&self, request: RequestId, backend: &Backend) {
        let tracked = &self.requests[&request];
        let settings = &self.settings;
        let possibly_executed: Vec<&Attempt> = tracked
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NotExecuted)
            .collect();
        match settings.classes[usize::from(tracked.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(
                    possibly_executed.is_empty(),
                    "rule 2: non-idempotent request {request} was retried although it may have run"
                );
            }
            Idempotency::Keyed { scope, ttl } => {
                for earlier in possibly_executed {
                    let earlier_backend = self.backends[&earlier.backend];
                    assert!(
                        self.now <= earlier.sent_at + ttl,
                        "rule 2: request {request} was retried after its key expired"
                    );
                    let is_in_scope = match scope {
                        KeyScope::AllBackends => true,
                        KeyScope::Zone => earlier_backend.zone == backend.zone,
                        KeyScope::Cell => earlier_backend.cell == backend.cell,
                    };
                    assert!(
                        is_in_scope,
                        "rule 2: request {request} was retried outside of its key's scope"
                    );
                }
            }
        }
    }

    /// Checks that a request may get a final answer now, and records the end of the request. The answer is a rejection
    /// if `is_rejection`, otherwise a failure.
    fn record_final_answer(&mut self, request: RequestId, is_rejection: bool) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the balancer answers only requests that were submitted");
        assert!(
            !tracked.ended,
            "rule 1: request {request} got a second final answer"
        );
        assert!(
            self.now <= tracked.deadline + MAX_ANSWER_DELAY,
            "rule 1: request {request} got its final answer after its deadline"
        );
        let first_possibly_executed = tracked
            .attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted);
        let is_client_retry_harmless =
            match self.settings.classes[usize::from(tracked.class)].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed {
                    scope: KeyScope::AllBackends,
                    ttl,
                } => first_possibly_executed
                    .is_none_or(|attempt| self.now < attempt.sent_at.saturating_add(ttl)),
                _ => first_possibly_executed.is_none(),
            };
        assert!(
            !is_rejection || is_client_retry_harmless,
            "rule 2: request {request} was rejected although a retry by the client may run it twice"
        );
        tracked.ended = true;
    }

    /// Applies a membership event to the known backends and passes it to the balancer.
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

    /// Submits a new request to the balancer.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let last_class = self.settings.classes.len() as u8 - 1;
        let tracked = TrackedRequest {
            class: request.class.0.min(last_class),
            deadline: self.now + request.timeout,
            ended: false,
            attempts: Vec::new(),
        };
        assert!(
            self.requests.insert(request.id, tracked).is_none(),
            "request {} was submitted before",
            request.id
        );
        self.handle(Event::Request(request))
    }

    /// Submits new requests of one class to the balancer, one for each id.
    pub fn submit_all(&mut self, ids: Range<u32>, class: u8) {
        for id in ids {
            self.submit(request(id, class));
        }
    }

    /// Ends an attempt that is in flight, without a load report.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        number: u16,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with_report(request, number, outcome, &[])
    }

    /// Ends an attempt that is in flight; `load_report` is empty if the response has none.
    ///
    /// # Panics
    /// Panics if the request was not submitted or the attempt is not in flight.
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
            .expect("the test ends attempts of submitted requests only");
        let attempt = &mut tracked.attempts[usize::from(number)];
        assert_eq!(
            attempt.state,
            AttemptState::InFlight,
            "attempt {number} of request {request} has ended before"
        );
        attempt.state = if outcome.proves_not_executed() {
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

    /// Ends each attempt that is in flight now. Retries that the balancer then starts stay in flight.
    pub fn end_all(&mut self, outcome: Outcome) {
        for attempt in self.in_flight() {
            self.end_attempt(attempt.request, attempt.number, outcome);
        }
    }

    /// Returns the attempts that are in flight, ordered by request id.
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

    /// Advances simulated time in ticks. At each tick, due timers fire and attempts past their deadline time out.
    ///
    /// # Panics
    /// Panics if a request has no final answer after its deadline.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.fire_timers();
            self.time_out_attempts();
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.ended || self.now <= tracked.deadline + MAX_ANSWER_DELAY,
                    "rule 1: request {id} has no final answer after its deadline"
                );
            }
        }
    }

    /// Fires the timers that are due.
    fn fire_timers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<PendingTimer>, Vec<PendingTimer>) =
            self.timers.iter().partition(|timer| timer.due_at <= now);
        self.timers = later;
        for timer in due {
            self.handle(Event::Timer(timer.token));
        }
    }

    /// Ends the attempts past their deadline with a timeout.
    fn time_out_attempts(&mut self) {
        for attempt in self.in_flight() {
            let tracked = &self.requests[&attempt.request];
            if tracked.attempts[usize::from(attempt.number)].deadline <= self.now {
                self.end_attempt(attempt.request, attempt.number, Outcome::Timeout);
            }
        }
    }

    /// Ends each attempt that has been in flight for at least the `latency` of its backend, with the outcome `Ok`.
    pub fn serve(&mut self, latency: impl Fn(BackendId) -> Micros) {
        for attempt in self.in_flight() {
            let tracked = &self.requests[&attempt.request];
            let sent_at = tracked.attempts[usize::from(attempt.number)].sent_at;
            if sent_at + latency(attempt.backend) <= self.now {
                self.end_attempt(attempt.request, attempt.number, Outcome::Ok);
            }
        }
    }

    /// Returns the number of ejections so far, of all backends together.
    pub fn ejections(&self) -> usize {
        self.log
            .iter()
            .filter(|logged| matches!(logged.action, Action::Log(LogEvent::Ejected { .. })))
            .count()
    }
}

/// Returns the backend of the first attempt that these actions start, or `None` if they start none.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    })
}

/// Reports whether one of these actions is a rejection.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Reports whether one of these actions is a failure as a final answer.
pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
