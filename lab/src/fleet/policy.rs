//! What decides in a proxy: the real decision module, or one of two baselines.

use super::backend::EmulatedBackend;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::fmt;
use tillerproxy::api::{
    Action, AttemptEnd, BackendId, DiscoveryMode, Event, Idempotency, MembershipEvent, Micros,
    Readiness, Request, RequestId, Settings, SettingsError,
};
use tillerproxy::balancer::Balancer;

/// How a policy is called on the command line and in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The real decision module.
    Module,
    /// Random choice among the backends that are ready.
    Random,
    /// The shorter of two true queues, which no proxy can know.
    TwoChoices,
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Module => "module",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
        })
    }
}

/// The true state of the backends, for baselines that know it.
pub trait TrueState {
    /// Attempts that a backend holds, in work or waiting.
    fn in_flight(&self, backend: BackendId) -> u32;
}

impl TrueState for Vec<EmulatedBackend> {
    fn in_flight(&self, backend: BackendId) -> u32 {
        self[backend as usize].in_flight()
    }
}

/// The decisions of one proxy.
pub trait Policy {
    /// Takes one event and appends what is to be done about it.
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        truth: &dyn TrueState,
        actions: &mut Vec<Action>,
    );
}

/// Makes the policy of a proxy from its settings and seed.
pub type PolicyFactory =
    dyn Fn(Settings, u64, Micros) -> Result<Box<dyn Policy>, SettingsError> + Sync;

/// The factory of a policy.
#[must_use]
pub fn factory(kind: PolicyKind) -> Box<PolicyFactory> {
    match kind {
        PolicyKind::Module => Box::new(|settings, seed, now| {
            Ok(Box::new(Module(Balancer::new(settings, seed, now)?)) as Box<dyn Policy>)
        }),
        PolicyKind::Random => Box::new(|settings, seed, _| {
            settings.validate()?;
            Ok(Box::new(Baseline::new(settings, seed, 1)) as Box<dyn Policy>)
        }),
        PolicyKind::TwoChoices => Box::new(|settings, seed, _| {
            settings.validate()?;
            Ok(Box::new(Baseline::new(settings, seed, 2)) as Box<dyn Policy>)
        }),
    }
}

/// The real decision module.
struct Module(Balancer);

impl Policy for Module {
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        _: &dyn TrueState,
        actions: &mut Vec<Action>,
    ) {
        self.0.handle(now, event, actions);
    }
}

/// Time that all proxies of a baseline together take for their calls after a failure: one call every so long.
const CALL_EVERY: Micros = 200_000;
/// The longest wait before a call.
const LONGEST_CALL_WAIT: Micros = 30_000_000;

/// A request that a baseline has sent.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    class: u8,
    attempts: u16,
    deadline: Micros,
    /// When the first attempt that may have run was sent.
    may_have_run: Option<Micros>,
    sent_at: Micros,
}

/// Sends to the backend that holds least among a few that are drawn at random; repeats what may be repeated.
struct Baseline {
    settings: Settings,
    random: fastrand::Rng,
    choices: u32,
    ready: Vec<BackendId>,
    /// A backend's place in `ready`, plus one; 0: not ready.
    place: Vec<u32>,
    open: FxHashMap<RequestId, OpenRequest>,
}

impl Baseline {
    fn new(settings: Settings, seed: u64, choices: u32) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        Self {
            settings,
            random,
            choices,
            ready: Vec::new(),
            place: Vec::new(),
            open: FxHashMap::default(),
        }
    }

    fn on_membership(&mut self, news: MembershipEvent<'_>, actions: &mut Vec<Action>) {
        match news {
            MembershipEvent::WatchFailed => return self.ask_later(actions),
            MembershipEvent::WatchStalled => return actions.push(Action::Subscribe),
            MembershipEvent::Cached(_) if self.settings.discovery_mode == DiscoveryMode::Polled => {
                self.ask_later(actions)
            }
            _ => {}
        }
        let (MembershipEvent::Delta(entries)
        | MembershipEvent::Full(entries)
        | MembershipEvent::Cached(entries)) = news
        else {
            return;
        };
        if !matches!(news, MembershipEvent::Delta(_)) {
            self.ready.clear();
            self.place.fill(0);
        }
        for entry in entries {
            self.set_ready(entry.id, entry.readiness == Readiness::Ready);
        }
    }

    fn set_ready(&mut self, backend: BackendId, ready: bool) {
        let index = backend as usize;
        if self.place.len() <= index {
            self.place.resize(index + 1, 0);
        }
        match (self.place[index], ready) {
            (0, true) => {
                self.ready.push(backend);
                self.place[index] = self.ready.len() as u32;
            }
            (place, false) if place > 0 => {
                self.ready.swap_remove(place as usize - 1);
                self.place[index] = 0;
                if let Some(&moved) = self.ready.get(place as usize - 1) {
                    self.place[moved as usize] = place;
                }
            }
            _ => {}
        }
    }

    fn ask_later(&mut self, actions: &mut Vec<Action>) {
        let span = (u64::from(self.settings.proxy_count) * CALL_EVERY).min(LONGEST_CALL_WAIT);
        let after = self.random.u64(0..=span);
        actions.push(Action::SetTimer { after, token: 0 });
    }

    fn pick(&mut self, truth: &dyn TrueState) -> Option<BackendId> {
        let count = self.ready.len();
        if count == 0 {
            return None;
        }
        let mut best = self.ready[self.random.usize(0..count)];
        for _ in 1..self.choices {
            let other = self.ready[self.random.usize(0..count)];
            if truth.in_flight(other) < truth.in_flight(best) {
                best = other;
            }
        }
        Some(best)
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        truth: &dyn TrueState,
        actions: &mut Vec<Action>,
    ) {
        let Some(backend) = self.pick(truth) else {
            return self.answer(now, id, actions);
        };
        let Some(open) = self.open.get_mut(&id) else {
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

    /// The final answer: refused where that is harmless, else failed.
    fn answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[usize::from(open.class)];
        let harmless = match (class.idempotency, open.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (
                Idempotency::Keyed {
                    scope: tillerproxy::api::KeyScope::AllBackends,
                    ttl,
                },
                Some(at),
            ) => now < at + ttl,
            _ => false,
        };
        actions.push(if harmless {
            let retry_after = class.latency_objective.min(
                self.settings
                    .permissions
                    .max_retry_after
                    .unwrap_or(class.latency_objective),
            );
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
    }

    fn may_repeat(&self, now: Micros, open: &OpenRequest) -> bool {
        if open.attempts >= self.settings.permissions.max_attempts || now >= open.deadline {
            return false;
        }
        match (
            self.settings.classes[usize::from(open.class)].idempotency,
            open.may_have_run,
        ) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (
                Idempotency::Keyed {
                    scope: tillerproxy::api::KeyScope::AllBackends,
                    ttl,
                },
                Some(at),
            ) => now < at + ttl,
            _ => false,
        }
    }

    fn on_request(
        &mut self,
        now: Micros,
        request: Request,
        truth: &dyn TrueState,
        actions: &mut Vec<Action>,
    ) {
        let deadline = now + request.timeout;
        let open = OpenRequest {
            class: request.class.0,
            attempts: 0,
            deadline,
            may_have_run: None,
            sent_at: now,
        };
        self.open.insert(request.id, open);
        self.send(now, request.id, truth, actions);
    }

    fn on_settled(
        &mut self,
        now: Micros,
        end: &AttemptEnd<'_>,
        truth: &dyn TrueState,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        if end.request_answered {
            self.open.remove(&end.request);
            return;
        }
        if !end.outcome.is_not_executed() {
            open.may_have_run = open.may_have_run.or(Some(open.sent_at));
        }
        let open = *open;
        if self.may_repeat(now, &open) {
            self.send(now, end.request, truth, actions);
        } else {
            self.answer(now, end.request, actions);
        }
    }
}

impl Policy for Baseline {
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        truth: &dyn TrueState,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Membership(news) => self.on_membership(news, actions),
            Event::Request(request) => self.on_request(now, request, truth, actions),
            Event::AttemptEnded(end) => self.on_settled(now, &end, truth, actions),
            Event::ClientDisconnected(id) => _ = self.open.remove(&id),
            Event::Timer(_) => actions.push(Action::Subscribe),
            Event::ResponseStarted { .. } | Event::HealthChecked { .. } => {}
        }
    }
}
