//! The decisions of the load balancer: which backend gets a request, whether it is queued, retried or rejected, and what
//! each backend's limit is. The interface (settings, events, actions) is in [`crate::api`].
//!
//! The ordinary path: each proxy keeps, for every ready backend, its requests in flight and a concurrency limit that
//! follows windowed latency (AIMD, `limits`). A request goes where the available capacity (limit less requests in flight)
//! is greatest (`selection`). Without any, it is queued for a tenth of its remaining time (`queue`) and then rejected
//! (`admission`). Where the decisions leave this path it is marked `Departure:` with the condition under which that
//! happens; `docs/design.md` lists all of them.
//!
//! Four rules always hold (`docs/GLOSSARY.md` has them in full): one final answer to a request and nothing started after it (rule 1, `admission`); attempts and
//! rejections only as idempotency allows (rule 2, `retries`); nothing new to a draining or removed backend (rule 3,
//! `index`); a backend that warms up gets no more from all proxies than it can take (rule 4, `slow_start`).
//!
//! Each policy is a type that owns its state and knows no other policy; [`Balancer`] composes them. Nothing here does
//! I/O or reads a clock, and the same events with the same seed give the same actions.

mod admission;
mod attempts;
mod backends;
mod capacity;
mod connections;
mod in_flight;
mod index;
mod indexing;
mod latency;
mod limit_updates;
mod limits;
mod membership;
mod observation;
mod outcome;
mod outliers;
mod queue;
mod quotas;
mod requests;
mod retries;
mod selection;
mod slow_start;
mod subscription;
mod throughput;
mod time;
mod timers;

use crate::api::{Action, ClassIndex, Event, Micros, RequestId, Settings, SettingsError};
use backends::{BackendState, BackendTable};
use capacity::ProxyCapacity;
use connections::IdleTrust;
use index::SelectionIndex;
use latency::LatencyTable;
use limits::MachineTypeLimit;
use queue::WaitQueue;
use quotas::TenantQuotas;
use requests::{RequestKey, RequestTable};
use retries::RetryBudget;
use subscription::SubscriptionBackoff;
use throughput::PeakRate;
use timers::Timer;

#[cfg(test)]
mod tests;

/// The decisions of one proxy.
///
/// # Example
/// ```
/// use tillerproxy::api::{Event, MembershipEvent, Micros, Settings, SettingsError};
/// use tillerproxy::balancer::Balancer;
///
/// fn start(settings: Settings, now: Micros) -> Result<Balancer, SettingsError> {
///     let mut balancer = Balancer::new(settings, 7, now)?;
///     let mut actions = Vec::new();
///     balancer.handle(now, Event::Membership(MembershipEvent::Full(&[])), &mut actions);
///     assert!(actions.is_empty());
///     Ok(balancer)
/// }
/// ```
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    backends: BackendTable,
    index: SelectionIndex,
    /// Counts the complete lists of backends.
    list_generation: u32,
    subscription: SubscriptionBackoff,
    requests: RequestTable,
    queue: WaitQueue,
    /// Attempts in flight at all backends.
    in_flight: u32,
    latencies: LatencyTable,
    machine_type_limits: Vec<MachineTypeLimit>,
    capacity: ProxyCapacity,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    idle_trust: IdleTrust,
    /// Requests that this proxy got served.
    throughput: PeakRate,
}

impl Balancer {
    /// Returns a balancer that knows no backends yet.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        let machine_types = usize::from(settings.machine_type_count).max(1);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            backends: BackendTable::default(),
            index: SelectionIndex::default(),
            list_generation: 0,
            subscription: SubscriptionBackoff::default(),
            requests: RequestTable::default(),
            queue: WaitQueue::default(),
            in_flight: 0,
            latencies: LatencyTable::new(&settings, now),
            machine_type_limits: vec![MachineTypeLimit::new(now); machine_types],
            capacity: ProxyCapacity::unbounded(),
            quotas: TenantQuotas::from_settings(&settings, now),
            retry_budget: RetryBudget::new(),
            idle_trust: IdleTrust::new(settings.permissions.idle_timeout, now),
            throughput: PeakRate::new(now),
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.reindex_due(now);
        match event {
            Event::Membership(event) => self.on_membership(now, event, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, out),
            Event::ResponseStarted {
                request,
                attempt,
                elapsed,
            } => self.on_response_started(now, request, attempt, elapsed, out),
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::HealthChecked { .. } => {}
            Event::Timer(token) => self.on_timer(now, token, out),
        }
    }

    /// Counts the listed backends that are draining, ejected and not readmitted yet, unresponsive, or have just rejected a
    /// request. Backends at their limit, and those that warm up, are not counted.
    #[must_use]
    pub fn avoided_backends(&self, now: Micros) -> usize {
        let classes = self.settings.classes.iter().enumerate();
        let overdue_after = classes
            .map(|(index, class)| {
                let index = ClassIndex(index as u8);
                self.latencies.overdue_after(index, class)
            })
            .max()
            .unwrap_or_default();
        let is_avoided = |backend: &&BackendState| {
            !backend.ready
                || backend.health.is_ejected()
                || backend.in_flight.is_unresponsive(now, overdue_after)
                || now < backend.rejecting_until
        };
        let listed = self.backends.iter().filter(|backend| backend.listed);
        listed.filter(is_avoided).count()
    }

    fn on_client_disconnected(&mut self, request: RequestId) {
        if let Some(key) = self.requests.find(request) {
            self.close(key);
        }
    }

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Subscribe) => out.push(Action::Subscribe),
            Some(Timer::QueueTimeout(request)) if self.has_waited(now, request) => {
                self.end_wait(now, request, out);
            }
            Some(Timer::QueueTimeout(_)) | None => {}
        }
    }

    /// Whether a request has waited in the queue for its time. Its key may be another request's by now.
    fn has_waited(&self, now: Micros, request: RequestKey) -> bool {
        let queued_until = self
            .requests
            .get(request)
            .and_then(|open| open.queued_until);
        queued_until.is_some_and(|until| until <= now)
    }
}
