//! Baseline policies: each attempt goes to the least loaded of a few ready backends drawn at random.

use super::{Policy, TrueLoad};
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use rustc_hash::FxHashMap;
use tillerproxy::api::{
    Action, AttemptEnd, Backend, BackendId, ClassIndex, DiscoveryMode, Event, Idempotency,
    KeyScope, MembershipEvent, Micros, Readiness, Request, RequestId, Settings,
};

/// Mean interval between the discovery calls of all proxies together after a failure.
const DISCOVERY_CALL_INTERVAL: Micros = 200 * MICROS_PER_MILLISECOND;
/// Maximum wait of a proxy before it calls discovery again after a failure, for any number of proxies.
const MAX_DISCOVERY_CALL_WAIT: Micros = 30 * MICROS_PER_SECOND;
/// Token of the only timer: the next subscription.
const SUBSCRIBE_TIMER: u32 = 0;

/// A request without a final answer.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    class: ClassIndex,
    /// Attempts sent so far.
    attempts: u16,
    deadline: Micros,
    /// Time at which the first attempt that may have been executed was sent.
    maybe_executed_since: Option<Micros>,
    /// Time at which the latest attempt was sent.
    sent_at: Micros,
}

/// The set of ready backends, with random access for draws.
#[derive(Debug, Default)]
struct ReadyBackends {
    ids: Vec<BackendId>,
    /// Position in `ids` by backend id; `None` for a backend that is not ready.
    positions: Vec<Option<usize>>,
}

impl ReadyBackends {
    fn clear(&mut self) {
        self.ids.clear();
        self.positions.fill(None);
    }

    /// Adds or removes a backend.
    fn set(&mut self, backend: BackendId, ready: bool) {
        let index = backend.index();
        if self.positions.len() <= index {
            self.positions.resize(index + 1, None);
        }
        match self.positions[index] {
            None if ready => {
                self.positions[index] = Some(self.ids.len());
                self.ids.push(backend);
            }
            Some(position) if !ready => self.remove(index, position),
            _ => {}
        }
    }

    fn remove(&mut self, index: usize, position: usize) {
        self.ids.swap_remove(position);
        self.positions[index] = None;
        if let Some(&moved) = self.ids.get(position) {
            self.positions[moved.index()] = Some(position);
        }
    }

    /// Draws a backend at random.
    ///
    /// # Panics
    /// If no backend is ready.
    fn draw(&self, random: &mut fastrand::Rng) -> BackendId {
        self.ids[random.usize(0..self.ids.len())]
    }
}

/// A policy that sends each attempt to the least loaded of a few ready backends, and retries a request if a repeat is
/// harmless.
pub(super) struct Baseline {
    settings: Settings,
    random: fastrand::Rng,
    /// Number of backends drawn for each attempt.
    choices: u32,
    ready: ReadyBackends,
    open_requests: FxHashMap<RequestId, OpenRequest>,
}

impl Baseline {
    pub(super) fn new(settings: Settings, seed: u64, choices: u32) -> Self {
        Self {
            settings,
            random: fastrand::Rng::with_seed(seed),
            choices,
            ready: ReadyBackends::default(),
            open_requests: FxHashMap::default(),
        }
    }

    fn on_membership(&mut self, event: MembershipEvent<'_>, actions: &mut Vec<Action>) {
        match event {
            MembershipEvent::WatchFailed => self.subscribe_later(actions),
            MembershipEvent::WatchStalled => actions.push(Action::Subscribe),
            MembershipEvent::Delta(endpoints) => self.update_ready(endpoints),
            MembershipEvent::Full(endpoints) => {
                self.ready.clear();
                self.update_ready(endpoints);
            }
            MembershipEvent::Cached(endpoints) => {
                if self.settings.discovery_mode == DiscoveryMode::Polled {
                    self.subscribe_later(actions);
                }
                self.ready.clear();
                self.update_ready(endpoints);
            }
        }
    }

    fn update_ready(&mut self, endpoints: &[Backend]) {
        for endpoint in endpoints {
            let ready = endpoint.readiness == Readiness::Ready;
            self.ready.set(endpoint.id, ready);
        }
    }

    /// Sets a timer for the next subscription. Its time is random so that the proxies do not call discovery all at
    /// once.
    fn subscribe_later(&mut self, actions: &mut Vec<Action>) {
        let proxies = u64::from(self.settings.proxy_count);
        let max_wait = (proxies * DISCOVERY_CALL_INTERVAL).min(MAX_DISCOVERY_CALL_WAIT);
        let after = self.random.u64(0..=max_wait);
        actions.push(Action::SetTimer {
            after,
            token: SUBSCRIBE_TIMER,
        });
    }

    /// Returns the backend of the next attempt; `None` if none is ready.
    fn choose_backend(&mut self, true_load: &dyn TrueLoad) -> Option<BackendId> {
        if self.ready.ids.is_empty() {
            return None;
        }
        let mut best = self.ready.draw(&mut self.random);
        for _ in 1..self.choices {
            let other = self.ready.draw(&mut self.random);
            if true_load.in_flight(other) < true_load.in_flight(best) {
                best = other;
            }
        }
        Some(best)
    }

    fn on_request(
        &mut self,
        now: Micros,
        request: &Request,
        true_load: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        let open = OpenRequest {
            class: request.class,
            attempts: 0,
            deadline: now + request.timeout,
            maybe_executed_since: None,
            sent_at: now,
        };
        self.open_requests.insert(request.id, open);
        self.send(now, request.id, true_load, actions);
    }

    /// Sends the next attempt of a request, or answers the request if no backend is ready.
    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        true_load: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        let Some(backend) = self.choose_backend(true_load) else {
            self.answer(now, id, actions);
            return;
        };
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        open.attempts += 1;
        open.sent_at = now;
        actions.push(Action::Send {
            request: id,
            backend,
            deadline: open.deadline,
            write_deadline: None,
        });
    }

    fn on_attempt_ended(
        &mut self,
        now: Micros,
        end: &AttemptEnd<'_>,
        true_load: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get_mut(&end.request) else {
            return;
        };
        if end.request_answered {
            self.open_requests.remove(&end.request);
            return;
        }
        if !end.outcome.proves_not_executed() && open.maybe_executed_since.is_none() {
            open.maybe_executed_since = Some(open.sent_at);
        }
        let open = *open;
        if self.may_retry(now, &open) {
            self.send(now, end.request, true_load, actions);
        } else {
            self.answer(now, end.request, actions);
        }
    }

    /// Returns whether a request gets another attempt.
    fn may_retry(&self, now: Micros, open: &OpenRequest) -> bool {
        let attempts_left = open.attempts < self.settings.permissions.max_attempts;
        attempts_left && now < open.deadline && self.is_repeat_harmless(now, open)
    }

    /// Ends a request with its final answer: a rejection if a retry by the client is harmless, otherwise a failure.
    fn answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.remove(&id) else {
            return;
        };
        if !self.is_repeat_harmless(now, &open) {
            actions.push(Action::Fail { request: id });
            return;
        }
        let latency_objective = self.settings.classes[open.class.index()].latency_objective;
        let max_retry_after = self.settings.permissions.max_retry_after;
        actions.push(Action::Reject {
            request: id,
            retry_after: latency_objective.min(max_retry_after.unwrap_or(latency_objective)),
        });
    }

    /// Returns whether the request may be sent again, because it cannot have been executed or its class allows a
    /// repeat.
    fn is_repeat_harmless(&self, now: Micros, open: &OpenRequest) -> bool {
        let Some(maybe_executed_since) = open.maybe_executed_since else {
            return true;
        };
        match self.settings.classes[open.class.index()].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::AllBackends,
                ttl,
            } => now < maybe_executed_since + ttl,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => false,
        }
    }
}

impl Policy for Baseline {
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        true_load: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Membership(event) => self.on_membership(event, actions),
            Event::Request(request) => self.on_request(now, &request, true_load, actions),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, &end, true_load, actions),
            // Only real sockets report the progress of uploads.
            Event::UploadProgress { .. } => {}
            Event::ClientDisconnected(id) => {
                self.open_requests.remove(&id);
            }
            Event::Timer(_) => actions.push(Action::Subscribe),
            Event::ResponseStarted { .. } | Event::HealthChecked { .. } => {}
        }
    }
}
