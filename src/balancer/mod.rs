//! Every decision of the load balancer. The interface (settings, events, actions) is in `src/api.rs`.
//!
//! The ordinary path: each proxy keeps, for every ready server, its requests in flight (IFR) and an AIMD
//! limit. A request goes where room (limit - IFR) is greatest. When no server has room it is held for a
//! tenth of its time left, then refused. Departures are marked `Departure:` with the condition under which
//! they act; `docs/design.md` lists them. The four rules are kept in `scope` and `may_refuse` (effects),
//! `answer` and `send` (one answer, nothing after it), `index` (drains) and `ColdBudget` (cold servers).

mod attempts;
mod cold_start;
mod connections;
mod indexing;
mod latency;
mod limits;
mod membership;
mod outliers;
mod queue;
mod requests;
mod retries;
mod selection;

use crate::api::{Action, Event, Micros, Settings, SettingsError};
use crate::demand::Demand;
use crate::index::ChoiceIndex;
use crate::state::{
    CommonLimit, Latency, PeakRate, Pool, Requests, Server, Servers, Stamped, Window,
};
use limits::INITIAL_LIMIT;
use retries::RETRY_BURST;

const SECOND: Micros = 1_000_000;
/// What a timer is for; the rest of its token is the request's place.
const TIMER_QUEUE: u32 = 0;
const TIMER_SUBSCRIBE: u32 = 1;

/// The decisions of one proxy.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    servers: Servers,
    /// The servers that may be sent to. Rule 3: a draining or gone server is not in here.
    index: ChoiceIndex,
    /// Counts the complete lists of servers.
    generation: u32,
    open: Requests,
    queue: Vec<usize>,
    in_flight: u32,
    latencies: Vec<Latency>,
    /// What the servers of each kind of machine take.
    kinds: Vec<CommonLimit>,
    tenants: Demand,
    retry_tokens: f64,
    /// How long a connection may have been idle and is still used, microseconds.
    trusted_idle: Stamped,
    pool: Pool,
    /// Requests served a second.
    served: PeakRate,
    subscribe_failures: u32,
}

impl Balancer {
    /// A balancer that knows no backends yet.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        let latency = |aim: Micros| Latency {
            count: 0,
            mean: aim as f64 / 4.0,
            base: f64::MAX,
            base_at: now,
        };
        let kinds = usize::from(settings.machine_type_count).max(1);
        let latencies = settings
            .classes
            .iter()
            .flat_map(|c| vec![latency(c.latency_objective); kinds])
            .collect();
        let window = Window {
            since: now,
            ..Window::default()
        };
        let common = CommonLimit {
            limit: INITIAL_LIMIT,
            growing: true,
            window,
            service: 0.0,
        };
        let share = f64::from(settings.proxy_count);
        let rates = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s / share);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            servers: Servers::default(),
            index: ChoiceIndex::default(),
            generation: 0,
            open: Requests::default(),
            queue: Vec::new(),
            in_flight: 0,
            latencies,
            kinds: vec![common; kinds],
            tenants: Demand::new(rates, now),
            retry_tokens: RETRY_BURST,
            trusted_idle: Stamped {
                value: settings.permissions.idle_timeout as f64,
                at: now,
            },
            pool: Pool {
                slots: 0.0,
                limit_factor: 1.0,
                max_in_flight: u32::MAX,
                judged_at: None,
            },
            served: PeakRate {
                count: 0.0,
                since: now,
                peak: 0.0,
            },
            subscribe_failures: 0,
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.recheck_due(now);
        match event {
            Event::Membership(news) => self.on_membership(now, news, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptEnded(settled) => self.on_settled(now, settled, out),
            Event::ResponseStarted {
                request,
                attempt,
                elapsed,
            } => {
                self.on_first_byte(now, request, attempt, elapsed, out);
            }
            Event::ClientDisconnected(request) => {
                if let Some(slot) = self.open.find(request) {
                    self.close(slot);
                }
            }
            Event::HealthChecked { .. } => {}
            Event::Timer(token) => self.on_timer(now, token, out),
        }
    }

    /// The listed backends that it avoids now: draining, ejected, unresponsive, or full of late.
    #[must_use]
    pub fn avoided(&self, now: Micros) -> usize {
        let overdue = (0..self.settings.classes.len())
            .map(|c| self.overdue(c))
            .max()
            .unwrap_or_default();
        let avoids = |s: &Server| {
            !s.ready
                || s.ejected_until.is_some()
                || s.is_unresponsive(now, overdue)
                || now < s.full_until
        };
        (0..self.servers.len())
            .filter(|&i| self.servers[i].listed && avoids(&self.servers[i]))
            .count()
    }

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        let slot = (token >> 2) as usize;
        let expired = self
            .open
            .get(slot)
            .and_then(|o| o.queued_until)
            .is_some_and(|until| until <= now);
        match token & 3 {
            TIMER_SUBSCRIBE => out.push(Action::Subscribe),
            TIMER_QUEUE if expired => self.expire(now, slot, out),
            _ => {}
        }
    }
}
