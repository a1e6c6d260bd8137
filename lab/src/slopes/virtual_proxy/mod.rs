//! Simulates one proxy's balancer under load in virtual time. Arrivals, ends of attempts and timers are handled in
//! batches, whose cost is measured.
//!
//! Service times do not depend on the balancer's decisions: every backend has capacity to spare.

mod attempt;
mod counts;
mod traffic;

pub use counts::EventCounts;

use super::costs::{DecisionCosts, EventKind, Meter, Timing};
use super::error::SlopesError;
use super::scenario::{FleetShape, Load};
use super::setup::Setup;
use super::stopwatch::Stopwatch;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use attempt::{Attempt, EndReason, Timer};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use tillerproxy::api::{
    Action, Backend, BackendId, Event, MembershipEvent, Micros, Request, RequestId, Settings,
};
use tillerproxy::balancer::Balancer;
use tillerproxy::simulator::ParseSettingsError;
use traffic::Traffic;

/// Unix time at which virtual time starts: 1 January 2025, so that the start times of backends' processes are earlier
/// than the time of the translator's clock.
const EPOCH: Micros = 1_735_689_600 * MICROS_PER_SECOND;
/// Maximum time between two batches; short compared with the time for which requests are queued.
const MAX_BATCH_INTERVAL: Micros = 50 * MICROS_PER_MILLISECOND;
/// Weight of the latest request in the mean service time of a load report.
const LOAD_REPORT_WEIGHT: f32 = 0.125;

/// A balancer together with simulated clients and backends.
pub struct VirtualProxy {
    balancer: Balancer,
    /// Virtual Unix time.
    now: Micros,
    batch_interval: Micros,
    traffic: Traffic,
    next_request: u32,
    attempts: BinaryHeap<Reverse<Attempt>>,
    timers: BinaryHeap<Reverse<Timer>>,
    /// Number of attempts made so far for each open request.
    open: HashMap<RequestId, u16>,
    backends_used: HashSet<BackendId>,
    /// Mean service time that each backend reports, milliseconds.
    reported_service_ms: HashMap<BackendId, f32>,
    actions: Vec<Action>,
    counts: EventCounts,
}

impl VirtualProxy {
    /// Creates a proxy that started `proxy_age_seconds` ago and has just received the complete list `backends`.
    ///
    /// # Errors
    /// [`SlopesError::Settings`] if the balancer rejects the generated settings; [`SlopesError::MeanBatch`],
    /// [`SlopesError::TenantDistribution`] or [`SlopesError::TooManyClasses`] if the load can't be generated.
    pub fn new(
        setup: &Setup,
        fleet: &FleetShape,
        load: &Load,
        seed: u64,
        backends: &[Backend],
    ) -> Result<Self, SlopesError> {
        let settings: Settings = setup.settings(fleet, load)?;
        let batch_interval = batch_interval(setup, load);
        let age = (load.proxy_age_seconds * MICROS_PER_SECOND as f64) as Micros;
        let mut proxy = Self {
            balancer: Balancer::new(settings, seed, EPOCH).map_err(ParseSettingsError::from)?,
            now: EPOCH + age,
            batch_interval,
            traffic: Traffic::new(setup, load, batch_interval, seed)?,
            next_request: 0,
            attempts: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            open: HashMap::new(),
            backends_used: HashSet::new(),
            reported_service_ms: HashMap::new(),
            actions: Vec::new(),
            counts: EventCounts::default(),
        };
        proxy.update_membership(MembershipEvent::Full(backends));
        Ok(proxy)
    }

    /// Simulates until at least `requests` more requests have arrived, and measures the cost of all events.
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

    /// Simulates until at least `requests` more requests have arrived, without measuring.
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

    /// Submits `count` requests to the balancer and leaves them open: no attempt ends. Requests that the balancer
    /// rejects are not replaced.
    pub fn submit_requests(&mut self, count: u32) {
        for _ in 0..count {
            let request = self.draw_request();
            self.balancer
                .handle(self.now, Event::Request(request), &mut self.actions);
        }
        self.actions.clear();
    }

    /// Notifies the balancer of a membership update; virtual time advances by a millisecond.
    pub fn update_membership(&mut self, membership: MembershipEvent<'_>) {
        self.now += MICROS_PER_MILLISECOND;
        self.balancer
            .handle(self.now, Event::Membership(membership), &mut self.actions);
        self.perform_actions();
    }

    /// Returns the virtual Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.now / MICROS_PER_MILLISECOND
    }

    /// Returns the counts of events since the last call and resets them.
    pub fn take_counts(&mut self) -> EventCounts {
        self.counts.backends_used = self.backends_used.len() as u64;
        self.backends_used.clear();
        std::mem::take(&mut self.counts)
    }

    /// Returns the balancer without the simulated clients and backends, so that its heap can be measured.
    #[must_use]
    pub fn into_balancer(self) -> Balancer {
        self.balancer
    }

    /// Advances virtual time to the next batch and handles the batch.
    fn advance(&mut self, meter: &mut Meter<'_>) {
        self.now += self.batch_interval;
        self.end_attempts(meter);
        self.fire_timers(meter);
        self.admit_requests(meter);
    }

    /// Notifies the balancer of the attempts that have ended at the current virtual time.
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
            if attempt.end_reason == EndReason::Answered {
                self.counts.served += 1;
                self.open.remove(&attempt.request);
            }
        }
        self.perform_actions();
    }

    /// Removes and returns the attempts that have ended at the current virtual time, in the order of their ends.
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

    /// Updates the mean service time of an attempt's backend and returns the backend's load report: requests in flight,
    /// requests queued, and the moving average of the service time in milliseconds.
    fn load_report(&mut self, attempt: &Attempt) -> [f32; 3] {
        let initial_mean = self.traffic.mean_service_ms();
        let mean = self
            .reported_service_ms
            .entry(attempt.backend)
            .or_insert(initial_mean);
        *mean += (attempt.elapsed_ms() - *mean) * LOAD_REPORT_WEIGHT;
        [1.0, 0.0, *mean]
    }

    /// Notifies the balancer of the timers that are due.
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

    /// Draws a batch of requests and notifies the balancer of their arrival.
    fn admit_requests(&mut self, meter: &mut Meter<'_>) {
        let mut events = Vec::new();
        for _ in 0..self.traffic.draw_batch_size() {
            let request = self.draw_request();
            self.open.insert(request.id, 0);
            events.push(Event::Request(request));
        }
        self.counts.requests += events.len() as u64;
        self.handle_all(EventKind::Arrival, &events, meter);
        self.perform_actions();
        self.counts.max_open = self.counts.max_open.max(self.open.len() as u64);
    }

    /// Draws a request and assigns it the next request id.
    fn draw_request(&mut self) -> Request {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.traffic.draw_request(id)
    }

    /// Passes a batch of events to the balancer and records the cost.
    fn handle_all(&mut self, kind: EventKind, events: &[Event<'_>], meter: &mut Meter<'_>) {
        let now = self.now;
        let balancer = &mut self.balancer;
        let actions = &mut self.actions;
        meter.measure(kind, events, |event| balancer.handle(now, *event, actions));
    }

    /// Performs the actions that the balancer has returned and clears the buffer.
    fn perform_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform_action(&action);
        }
        // Keeps the allocated capacity for the next batch.
        self.actions = actions;
    }

    fn perform_action(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => self.start_attempt(request, backend, deadline),
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

    /// Starts an attempt, which ends after a random service time or at its deadline, whichever is earlier.
    fn start_attempt(&mut self, request: RequestId, backend: BackendId, deadline: Micros) {
        let attempts_made = self.open.entry(request).or_default();
        let number = *attempts_made;
        *attempts_made += 1;
        let answered_at = self.now + self.traffic.draw_service_time();
        let end_reason = if answered_at <= deadline {
            EndReason::Answered
        } else {
            EndReason::DeadlineExceeded
        };
        self.attempts.push(Reverse(Attempt {
            ends_at: answered_at.min(deadline).max(self.now),
            request,
            number,
            backend,
            sent_at: self.now,
            end_reason,
        }));
        self.backends_used.insert(backend);
        self.counts.attempts += 1;
    }
}

/// Returns the time between two batches: the mean time in which a batch of the scenario's size arrives, from 1 us to
/// [`MAX_BATCH_INTERVAL`].
fn batch_interval(setup: &Setup, load: &Load) -> Micros {
    let seconds = load.batch_requests / setup.requests_per_second;
    let interval = (seconds * MICROS_PER_SECOND as f64) as Micros;
    interval.clamp(1, MAX_BATCH_INTERVAL)
}
