//! One balancer under load in virtual time: arrivals, ends and timers in batches whose cost is measured.
//!
//! Service times are those of an uncrowded fleet; what the balancer's choices do to backends is not modelled.

use super::costs::{DecisionCosts, EventKind, Meter, Timing};
use super::scenario::{FleetShape, Load};
use super::setup::Setup;
use super::stopwatch::Stopwatch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Poisson, Zipf};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use tillerproxy::api::{
    Action, AttemptEnd, Backend, BackendId, ClassIndex, Event, MembershipEvent, Micros, Outcome,
    Request, RequestId, Settings, SettingsError, TenantIndex,
};
use tillerproxy::balancer::Balancer;

/// Microseconds of a second and a millisecond.
const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;
/// Virtual time begins here: 1 January 2025, so that starts of processes lie before the translator's clock.
const EPOCH: Micros = 1_735_689_600 * SECOND;
/// How long clients wait.
const PATIENCE: Micros = 2 * SECOND;
/// The longest time between two batches: short beside how long requests wait for anything.
const MOST_STEP: Micros = 50 * MILLISECOND;
/// Part of the mean service time that is constant.
const CONSTANT_PART: f64 = 0.5;
/// Weight of the latest request in the service time that a backend reports.
const REPORT_WEIGHT: f32 = 0.125;

/// What happened in a run; the same seed gives the same counts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that came in.
    pub requests: u64,
    /// Attempts sent.
    pub sends: u64,
    /// Requests that were answered by a backend.
    pub served: u64,
    /// Requests turned away.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Timers that fell due.
    pub timers: u64,
    /// Most requests open at a time.
    pub most_open: u64,
    /// Backends that were sent to at least once.
    pub backends_used: u64,
}

impl Counts {
    /// Adds another run; of figures that are no sums, the greater one stays.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.sends += other.sends;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.timers += other.timers;
        self.most_open = self.most_open.max(other.most_open);
        self.backends_used = self.backends_used.max(other.backends_used);
    }
}

/// An attempt that a backend works on, ordered by its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Attempt {
    ends_at: Micros,
    request: RequestId,
    number: u16,
    backend: BackendId,
    sent_at: Micros,
    in_time: bool,
}

/// A timer that the balancer asked for, ordered by its time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Timer {
    due_at: Micros,
    token: u32,
}

/// Draws requests and their service times.
struct Traffic {
    random: SmallRng,
    batch: Poisson<f64>,
    tenant: Zipf<f64>,
    classes: u8,
    latency: f64,
}

/// A balancer and the world around it.
pub struct VirtualProxy {
    balancer: Balancer,
    now: Micros,
    step: Micros,
    traffic: Traffic,
    next_request: RequestId,
    attempts: BinaryHeap<Reverse<Attempt>>,
    timers: BinaryHeap<Reverse<Timer>>,
    /// Attempts made so far for each open request.
    open: HashMap<RequestId, u16>,
    used: HashSet<BackendId>,
    /// The service time that each backend reports, milliseconds.
    reported: HashMap<BackendId, f32>,
    actions: Vec<Action>,
    counts: Counts,
}

impl Traffic {
    /// Traffic in batches that are `step` apart.
    fn new(setup: &Setup, load: &Load, step: Micros, seed: u64) -> Option<Self> {
        let batch = setup.requests_per_second * step as f64 / SECOND as f64;
        Some(Self {
            random: SmallRng::seed_from_u64(seed),
            batch: Poisson::new(batch).ok()?,
            tenant: Zipf::new(f64::from(setup.tenants), load.tenant_skew).ok()?,
            classes: u8::try_from(setup.classes).ok()?,
            latency: load.latency_ms * MILLISECOND as f64,
        })
    }

    fn arrivals(&mut self) -> usize {
        self.batch.sample(&mut self.random) as usize
    }

    fn request(&mut self, id: RequestId) -> Request {
        let rank = self.tenant.sample(&mut self.random);
        Request {
            id,
            class: ClassIndex(self.random.random_range(0..self.classes)),
            tenant: TenantIndex(rank as u16 - 1),
            key: None,
            timeout: PATIENCE,
            expected_work: None,
            is_retry: false,
        }
    }

    fn service_time(&mut self) -> Micros {
        let exponential: f64 = Exp1.sample(&mut self.random);
        (self.latency * (CONSTANT_PART + (1.0 - CONSTANT_PART) * exponential)) as Micros
    }
}

impl VirtualProxy {
    /// A proxy that has run for the scenario's `proxy_age_seconds` and has just read the whole list
    /// `backends`.
    ///
    /// # Errors
    /// The setting that the balancer refuses.
    pub fn new(
        setup: &Setup,
        fleet: &FleetShape,
        load: &Load,
        seed: u64,
        backends: &[Backend],
    ) -> Result<Self, SettingsError> {
        let settings: Settings = setup.settings(fleet, load)?;
        let problem = || SettingsError {
            field: "load".into(),
            problem: "has no distribution".into(),
        };
        let step = (load.batch_requests / setup.requests_per_second * SECOND as f64) as Micros;
        let step = step.clamp(1, MOST_STEP);
        let mut proxy = Self {
            balancer: Balancer::new(settings, seed, EPOCH)?,
            now: EPOCH + (load.proxy_age_seconds * SECOND as f64) as Micros,
            step,
            traffic: Traffic::new(setup, load, step, seed).ok_or_else(problem)?,
            next_request: 0,
            attempts: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            open: HashMap::new(),
            used: HashSet::new(),
            reported: HashMap::new(),
            actions: Vec::new(),
            counts: Counts::default(),
        };
        proxy.update(MembershipEvent::Full(backends));
        Ok(proxy)
    }

    /// Lets so many requests come in, with all that happens meanwhile, and measures that.
    pub fn serve(&mut self, requests: u32, stopwatch: &Stopwatch, costs: &mut DecisionCosts) {
        let last = self.counts.requests + u64::from(requests);
        for timing in Timing::MEASURED.into_iter().cycle() {
            if self.counts.requests >= last {
                return;
            }
            self.step(&mut Meter {
                timing,
                stopwatch: *stopwatch,
                costs: &mut *costs,
            });
        }
    }

    /// Lets so many requests come in without measuring.
    pub fn warm_up(&mut self, requests: u32) {
        let last = self.counts.requests + u64::from(requests);
        let mut ignored = DecisionCosts::default();
        let stopwatch = Stopwatch::default();
        while self.counts.requests < last {
            self.step(&mut Meter {
                timing: Timing::None,
                stopwatch,
                costs: &mut ignored,
            });
        }
    }

    /// Lets requests come in, without any of them ending, until so many are open or were refused.
    pub fn open_requests(&mut self, count: u32) {
        for _ in 0..count {
            let request = self.traffic.request(self.next_request);
            self.next_request += 1;
            self.balancer
                .handle(self.now, Event::Request(request), &mut self.actions);
        }
        self.actions.clear();
    }

    /// Tells the balancer of a change of membership; time passes by a millisecond.
    pub fn update(&mut self, membership: MembershipEvent<'_>) {
        self.now += MILLISECOND;
        self.balancer
            .handle(self.now, Event::Membership(membership), &mut self.actions);
        self.carry_out();
    }

    /// The present Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.now / MILLISECOND
    }

    /// What happened since the last call.
    pub fn take_counts(&mut self) -> Counts {
        self.counts.backends_used = self.used.len() as u64;
        self.used.clear();
        std::mem::take(&mut self.counts)
    }

    /// The balancer alone, so that what it holds can be measured.
    #[must_use]
    pub fn into_balancer(self) -> Balancer {
        self.balancer
    }

    fn step(&mut self, meter: &mut Meter<'_>) {
        self.now += self.step;
        self.end_attempts(meter);
        self.fire_timers(meter);
        self.admit_requests(meter);
    }

    fn end_attempts(&mut self, meter: &mut Meter<'_>) {
        let mut ended = Vec::new();
        while let Some(Reverse(attempt)) = self
            .attempts
            .peek()
            .copied()
            .filter(|a| a.0.ends_at <= self.now)
        {
            self.attempts.pop();
            ended.push(attempt);
        }
        let reports: Vec<[f32; 3]> = ended.iter().map(|attempt| self.report(attempt)).collect();
        let events: Vec<Event<'_>> = ended
            .iter()
            .zip(&reports)
            .map(|(a, r)| Event::AttemptEnded(a.settled(r)))
            .collect();
        self.handle_all(EventKind::End, &events, meter);
        for attempt in ended.iter().filter(|a| a.in_time) {
            self.counts.served += 1;
            self.open.remove(&attempt.request);
        }
        self.carry_out();
    }

    /// The load report of an attempt's backend: requests in hand, requests that wait, and its mean service
    /// time of late in milliseconds.
    fn report(&mut self, attempt: &Attempt) -> [f32; 3] {
        let usual = (self.traffic.latency / MILLISECOND as f64) as f32;
        let latest = attempt.elapsed() as f32 / MILLISECOND as f32;
        let mean = self.reported.entry(attempt.backend).or_insert(usual);
        *mean += (latest - *mean) * REPORT_WEIGHT;
        [1.0, 0.0, *mean]
    }

    fn fire_timers(&mut self, meter: &mut Meter<'_>) {
        let mut events = Vec::new();
        while let Some(Reverse(timer)) = self
            .timers
            .peek()
            .copied()
            .filter(|t| t.0.due_at <= self.now)
        {
            self.timers.pop();
            events.push(Event::Timer(timer.token));
        }
        self.counts.timers += events.len() as u64;
        self.handle_all(EventKind::Timer, &events, meter);
        self.carry_out();
    }

    fn admit_requests(&mut self, meter: &mut Meter<'_>) {
        let mut events = Vec::new();
        for _ in 0..self.traffic.arrivals() {
            events.push(Event::Request(self.traffic.request(self.next_request)));
            self.open.insert(self.next_request, 0);
            self.next_request += 1;
        }
        self.counts.requests += events.len() as u64;
        self.handle_all(EventKind::Arrival, &events, meter);
        self.carry_out();
        self.counts.most_open = self.counts.most_open.max(self.open.len() as u64);
    }

    fn handle_all(&mut self, kind: EventKind, events: &[Event<'_>], meter: &mut Meter<'_>) {
        let (now, balancer, actions) = (self.now, &mut self.balancer, &mut self.actions);
        meter.measure(kind, events, |event| balancer.handle(now, *event, actions));
    }

    fn carry_out(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        actions
            .drain(..)
            .for_each(|action| self.carry_out_one(&action));
        self.actions = actions;
    }

    fn carry_out_one(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                backend,
                deadline: give_up_at,
                ..
            } => self.send(request, backend, give_up_at),
            Action::Reject { request, .. } => {
                self.counts.refused += 1;
                self.open.remove(&request);
            }
            Action::Fail { request } => {
                self.counts.failed += 1;
                self.open.remove(&request);
            }
            Action::SetTimer { after, token } => {
                self.timers.push(Reverse(Timer {
                    due_at: self.now + after,
                    token,
                }));
            }
            _ => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId, give_up_at: Micros) {
        let made = self.open.entry(request).or_default();
        let number = *made;
        *made += 1;
        let finishes_at = self.now + self.traffic.service_time();
        let in_time = finishes_at <= give_up_at;
        let ends_at = finishes_at.min(give_up_at).max(self.now);
        self.attempts.push(Reverse(Attempt {
            ends_at,
            request,
            number,
            backend,
            sent_at: self.now,
            in_time,
        }));
        self.used.insert(backend);
        self.counts.sends += 1;
    }
}

impl Attempt {
    fn elapsed(&self) -> Micros {
        self.ends_at - self.sent_at
    }

    fn settled<'a>(&self, report: &'a [f32]) -> AttemptEnd<'a> {
        AttemptEnd {
            request: self.request,
            backend: self.backend,
            attempt: self.number,
            outcome: if self.in_time {
                Outcome::Ok
            } else {
                Outcome::Timeout
            },
            request_answered: self.in_time,
            elapsed: self.elapsed(),
            load_report: if self.in_time { report } else { &[] },
            body_consumed: false,
        }
    }
}
