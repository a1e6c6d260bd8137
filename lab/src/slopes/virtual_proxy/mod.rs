//! One balancer under load in virtual time: arrivals, ends and timers in batches whose cost is measured.
//!
//! Service times are those of backends with capacity to spare; how the balancer's decisions load the backends
//! is not modelled.

mod attempt;
mod counts;
mod traffic;

pub use counts::Counts;

use super::costs::{DecisionCosts, EventKind, Meter, Timing};
use super::error::SlopesError;
use super::scenario::{FleetShape, Load};
use super::setup::Setup;
use super::stopwatch::Stopwatch;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use attempt::{Attempt, End, Timer};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use tillerproxy::api::{
    Action, Backend, BackendId, Event, MembershipEvent, Micros, RequestId, Settings,
};
use tillerproxy::balancer::Balancer;
use tillerproxy::simulator::ParseSettingsError;
use traffic::Traffic;

/// Start of virtual time: 1 January 2025, so that starts of processes lie before the translator's clock.
const EPOCH: Micros = 1_735_689_600 * MICROS_PER_SECOND;
/// Longest time between two batches: short beside the time that requests are queued for.
const MAX_STEP: Micros = 50 * MICROS_PER_MILLISECOND;
/// Weight of the latest request in the mean service time of a load report.
const LOAD_REPORT_WEIGHT: f32 = 0.125;

/// A balancer, and the clients and backends around it.
pub struct VirtualProxy {
    balancer: Balancer,
    now: Micros,
    /// Time between two batches.
    step: Micros,
    traffic: Traffic,
    next_request: u32,
    attempts: BinaryHeap<Reverse<Attempt>>,
    timers: BinaryHeap<Reverse<Timer>>,
    /// Attempts made so far for each open request.
    open: HashMap<RequestId, u16>,
    backends_used: HashSet<BackendId>,
    /// Mean service time that each backend reports, milliseconds.
    reported_service_ms: HashMap<BackendId, f32>,
    actions: Vec<Action>,
    counts: Counts,
}

impl VirtualProxy {
    /// Makes a proxy that has run for the scenario's `proxy_age_seconds` and has just read the complete list
    /// `backends`.
    ///
    /// # Errors
    /// The setting that the balancer rejects, or a load without a distribution.
    pub fn new(
        setup: &Setup,
        fleet: &FleetShape,
        load: &Load,
        seed: u64,
        backends: &[Backend],
    ) -> Result<Self, SlopesError> {
        let settings: Settings = setup.settings(fleet, load)?;
        let step = step_between_batches(setup, load);
        let age = (load.proxy_age_seconds * MICROS_PER_SECOND as f64) as Micros;
        let mut proxy = Self {
            balancer: Balancer::new(settings, seed, EPOCH).map_err(ParseSettingsError::from)?,
            now: EPOCH + age,
            step,
            traffic: Traffic::new(setup, load, step, seed).ok_or(SlopesError::LoadDistribution)?,
            next_request: 0,
            attempts: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            open: HashMap::new(),
            backends_used: HashSet::new(),
            reported_service_ms: HashMap::new(),
            actions: Vec::new(),
            counts: Counts::default(),
        };
        proxy.update(MembershipEvent::Full(backends));
        Ok(proxy)
    }

    /// Lets this number of requests arrive, with all that happens meanwhile, and measures that.
    pub fn serve(&mut self, requests: u32, stopwatch: &Stopwatch, costs: &mut DecisionCosts) {
        let end = self.counts.requests + u64::from(requests);
        for timing in Timing::ROTATION.into_iter().cycle() {
            if self.counts.requests >= end {
                return;
            }
            self.advance(&mut Meter {
                timing,
                stopwatch: *stopwatch,
                costs: &mut *costs,
            });
        }
    }

    /// Lets this number of requests arrive without measuring.
    pub fn warm_up(&mut self, requests: u32) {
        let end = self.counts.requests + u64::from(requests);
        let mut ignored = DecisionCosts::default();
        let stopwatch = Stopwatch::default();
        while self.counts.requests < end {
            self.advance(&mut Meter {
                timing: Timing::None,
                stopwatch,
                costs: &mut ignored,
            });
        }
    }

    /// Lets this number of requests arrive without any of them ending, other than by rejection.
    pub fn open_requests(&mut self, count: u32) {
        for _ in 0..count {
            let request = self.traffic.request(RequestId(self.next_request));
            self.next_request += 1;
            self.balancer
                .handle(self.now, Event::Request(request), &mut self.actions);
        }
        self.actions.clear();
    }

    /// Notifies the balancer of a change of membership; time advances by a millisecond.
    pub fn update(&mut self, membership: MembershipEvent<'_>) {
        self.now += MICROS_PER_MILLISECOND;
        self.balancer
            .handle(self.now, Event::Membership(membership), &mut self.actions);
        self.perform_actions();
    }

    /// Returns the present Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.now / MICROS_PER_MILLISECOND
    }

    /// Returns what happened since the last call.
    pub fn take_counts(&mut self) -> Counts {
        self.counts.backends_used = self.backends_used.len() as u64;
        self.backends_used.clear();
        std::mem::take(&mut self.counts)
    }

    /// Returns the balancer alone, so that its heap can be measured.
    #[must_use]
    pub fn into_balancer(self) -> Balancer {
        self.balancer
    }

    /// Advances time to the next batch.
    fn advance(&mut self, meter: &mut Meter<'_>) {
        self.now += self.step;
        self.end_attempts(meter);
        self.fire_timers(meter);
        self.admit_requests(meter);
    }

    fn end_attempts(&mut self, meter: &mut Meter<'_>) {
        let ended = self.take_ended_attempts();
        let load_reports: Vec<[f32; 3]> = ended
            .iter()
            .map(|attempt| self.load_report(attempt))
            .collect();
        let mut events = Vec::new();
        for (attempt, load_report) in ended.iter().zip(&load_reports) {
            events.push(Event::AttemptEnded(attempt.end_event(load_report)));
        }
        self.handle_all(EventKind::End, &events, meter);
        for attempt in &ended {
            if attempt.end == End::Answered {
                self.counts.served += 1;
                self.open.remove(&attempt.request);
            }
        }
        self.perform_actions();
    }

    /// Removes the attempts that have ended by now, in the order of their ends.
    fn take_ended_attempts(&mut self) -> Vec<Attempt> {
        let mut ended = Vec::new();
        while let Some(&Reverse(attempt)) = self.attempts.peek() {
            if attempt.ends_at > self.now {
                break;
            }
            self.attempts.pop();
            ended.push(attempt);
        }
        ended
    }

    /// Returns the load report of an attempt's backend: requests in flight, requests queued, and its mean
    /// service time of late in milliseconds.
    fn load_report(&mut self, attempt: &Attempt) -> [f32; 3] {
        let initial_mean = self.traffic.mean_service_ms();
        let mean = self
            .reported_service_ms
            .entry(attempt.backend)
            .or_insert(initial_mean);
        *mean += (attempt.elapsed_ms() - *mean) * LOAD_REPORT_WEIGHT;
        [1.0, 0.0, *mean]
    }

    fn fire_timers(&mut self, meter: &mut Meter<'_>) {
        let mut events = Vec::new();
        while let Some(&Reverse(timer)) = self.timers.peek() {
            if timer.due_at > self.now {
                break;
            }
            self.timers.pop();
            events.push(Event::Timer(timer.token));
        }
        self.counts.timers += events.len() as u64;
        self.handle_all(EventKind::Timer, &events, meter);
        self.perform_actions();
    }

    fn admit_requests(&mut self, meter: &mut Meter<'_>) {
        let mut events = Vec::new();
        for _ in 0..self.traffic.batch_size() {
            events.push(Event::Request(
                self.traffic.request(RequestId(self.next_request)),
            ));
            self.open.insert(RequestId(self.next_request), 0);
            self.next_request += 1;
        }
        self.counts.requests += events.len() as u64;
        self.handle_all(EventKind::Arrival, &events, meter);
        self.perform_actions();
        self.counts.max_open = self.counts.max_open.max(self.open.len() as u64);
    }

    /// Hands a batch of events to the balancer and measures that.
    fn handle_all(&mut self, kind: EventKind, events: &[Event<'_>], meter: &mut Meter<'_>) {
        let now = self.now;
        let balancer = &mut self.balancer;
        let actions = &mut self.actions;
        meter.measure(kind, events, |event| balancer.handle(now, *event, actions));
    }

    fn perform_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(&action);
        }
        // Puts the emptied vector back for its capacity.
        self.actions = actions;
    }

    fn perform(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => self.send(request, backend, deadline),
            Action::Reject { request, .. } => {
                self.counts.rejected += 1;
                self.open.remove(&request);
            }
            Action::Fail { request } => {
                self.counts.failed += 1;
                self.open.remove(&request);
            }
            Action::SetTimer { after, token } => {
                let due_at = self.now + after;
                self.timers.push(Reverse(Timer { due_at, token }));
            }
            _ => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId, deadline: Micros) {
        let attempts_made = self.open.entry(request).or_default();
        let number = *attempts_made;
        *attempts_made += 1;
        let answered_at = self.now + self.traffic.service_time();
        let end = if answered_at <= deadline {
            End::Answered
        } else {
            End::DeadlineExceeded
        };
        self.attempts.push(Reverse(Attempt {
            ends_at: answered_at.min(deadline).max(self.now),
            request,
            number,
            backend,
            sent_at: self.now,
            end,
        }));
        self.backends_used.insert(backend);
        self.counts.attempts += 1;
    }
}

/// Returns the time in which the scenario's batch of requests arrives on average, within bounds.
fn step_between_batches(setup: &Setup, load: &Load) -> Micros {
    let seconds = load.batch_requests / setup.requests_per_second;
    let step = (seconds * MICROS_PER_SECOND as f64) as Micros;
    step.clamp(1, MAX_STEP)
}
