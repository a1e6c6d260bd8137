//! The load balancer of a proxy. It selects the backend of each request, queues, retries or rejects requests, and
//! maintains the concurrency limit of each backend. Its interface (settings, events, actions) is [`crate::api`].
//!
//! # Path of a request
//!
//! For every ready backend, each proxy tracks its requests in flight and a concurrency limit that follows windowed
//! latency (AIMD, `limits`). A request is sent to the backend with the most available capacity, which is the limit less
//! the requests in flight (`selection`). If no backend has available capacity, the request is queued for a tenth of its
//! remaining time (`queue`) and then rejected (`admission`).
//!
//! A comment that begins with `Deviation` marks a place that deviates from this path, and states the condition and the
//! reason. `docs/design.md` lists all of them.
//!
//! # Rules
//!
//! Four rules hold for every sequence of events. Comments refer to them by number:
//!
//! - Rule 1 (one final answer): each request gets exactly one final answer before its client's timeout, and nothing is
//!   started for it afterwards (`admission`).
//! - Rule 2 (idempotency): which attempts may follow one another depends on idempotency (`retries`). A non-idempotent
//!   request is never executed twice. A keyed request is sent again only within its key's window and scope. A client
//!   gets 429 or 503 only where a retry by the client is harmless. Two attempts are never in flight at once unless
//!   hedging is permitted.
//! - Rule 3 (draining): nothing new is sent to a backend that is draining or removed (`index`).
//! - Rule 4 (slow start): what a backend is sent during slow start stays below the load at which it collapses, for the
//!   sum of all proxies (`slow_start`).
//!
//! # Structure
//!
//! Each policy is a type that owns its state and does not access other policies; [`Balancer`] composes them. Nothing in
//! this module does I/O or reads a clock, and the same events with the same seed lead to the same actions.

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
pub(crate) mod time;
mod timers;
mod uploads;

use crate::api::{Action, ClassIndex, Event, Micros, RequestId, Settings, SettingsError};
use backends::{BackendState, BackendTable};
use capacity::ProxyCapacity;
use connections::TrustedIdleTime;
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

/// The load balancer of one proxy: turns events into actions.
///
/// # Example
/// ```
/// use tillerproxy::api::{Event, MembershipEvent, Micros, Settings, SettingsError};
/// use tillerproxy::balancer::Balancer;
///
/// fn start(settings: Settings, now: Micros) -> Result<Balancer, SettingsError> {
///     let seed = 7;
///     let mut balancer = Balancer::new(settings, seed, now)?;
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
    /// Number of complete endpoint lists received so far.
    list_generation: u32,
    subscription: SubscriptionBackoff,
    requests: RequestTable,
    queue: WaitQueue,
    /// Number of attempts in flight at all backends.
    in_flight: u32,
    latencies: LatencyTable,
    machine_type_limits: Vec<MachineTypeLimit>,
    capacity: ProxyCapacity,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    trusted_idle_time: TrustedIdleTime,
    /// Peak rate at which backends serve requests of this proxy.
    throughput: PeakRate,
}

impl Balancer {
    /// Returns a balancer without backends. `seed` initializes its random number generator.
    ///
    /// # Errors
    /// Returns the first setting that is outside its allowed range.
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
            trusted_idle_time: TrustedIdleTime::new(settings.permissions.idle_timeout, now),
            throughput: PeakRate::new(now),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions to `out`.
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
            Event::UploadProgress {
                request,
                attempt,
                is_stalled,
            } => self.on_upload_progress(now, request, attempt, is_stalled, out),
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::HealthChecked { .. } => {}
            Event::Timer(token) => self.on_timer(now, token, out),
        }
    }

    /// Returns the number of avoided backends. A listed backend is avoided while it is draining, ejected and not yet
    /// readmitted, unresponsive, or counted as without capacity after a rejection. Backends at their limit or in slow
    /// start are not included.
    #[must_use]
    pub fn avoided_backend_count(&self, now: Micros) -> usize {
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
                || backend.outlier_detector.is_ejected()
                || backend.in_flight.is_unresponsive(now, overdue_after)
                || now < backend.rejecting_until
        };
        let listed = self.backends.iter().filter(|backend| backend.listed);
        listed.filter(is_avoided).count()
    }

    fn on_client_disconnected(&mut self, request: RequestId) {
        if let Some(key) = self.requests.find(request) {
            self.close_request(key);
        }
    }

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Subscribe) => out.push(Action::Subscribe),
            Some(Timer::QueueTimeout(request)) if self.has_waited(now, request) => {
                self.send_or_answer(now, request, out);
            }
            Some(Timer::QueueTimeout(_)) | None => {}
        }
    }

    /// Reports whether a queued request has waited for its maximum time. When a timer fires, its table key may belong
    /// to a later request, whose own time has not passed, or to an unused entry.
    fn has_waited(&self, now: Micros, request: RequestKey) -> bool {
        let queued_until = self
            .requests
            .get(request)
            .and_then(|open| open.queued_until);
        queued_until.is_some_and(|until| until <= now)
    }
}
