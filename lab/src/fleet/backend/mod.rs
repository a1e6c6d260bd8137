//! An emulated backend: cores, a bounded queue, a slow start, and failures.
//!
//! A backend holds the keys of attempts, not the attempts themselves. The simulation delivers attempts to it, schedules
//! the end of the work that a core starts, and reports that end.

mod slow_start;

pub use slow_start::{Collapse, SlowStartModel};

use super::process::ProcessState;
use super::request::AttemptKey;
use super::topology::Machine;
use crate::units::as_milliseconds;
use slow_start::SlowStartLoad;
use std::collections::VecDeque;
use tillerproxy::api::{LoadReportFields, Micros};

/// Weight of the latest service time in the moving average of the load reports.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// A load report: number of requests running, number of requests queued, mean service time in milliseconds.
pub type LoadReport = [f32; 3];

/// Positions of the values in a [`LoadReport`].
pub const LOAD_REPORT_FIELDS: LoadReportFields = LoadReportFields {
    in_flight: Some(0),
    queued: Some(1),
    service_time_ms: Some(2),
};

/// Result of the arrival of an attempt at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A core has started the work, which takes this long. The simulation schedules its end.
    Started(Micros),
    /// The attempt waits for a core.
    Queued,
    /// The attempt is rejected because the queue is full.
    QueueFull,
    /// The connection is refused because the process has crashed.
    ConnectionRefused,
    /// The machine is down and gives no answer.
    Unreachable,
}

/// One emulated backend.
#[derive(Debug)]
pub struct EmulatedBackend {
    /// Machine of the backend.
    pub machine: Machine,
    /// State of the process.
    pub state: ProcessState,
    /// Time at which the process last started; `None` if it has run since before the simulation.
    pub started_at: Option<Micros>,
    /// Factor by which the backend works slower than usual.
    pub slowdown: f64,
    /// Whether the backend hangs: it accepts requests and answers none.
    pub hung: bool,
    /// Whether the backend has collapsed. A collapsed backend never starts again.
    pub collapsed: bool,
    /// Number of attempts that reached the backend while its process ran.
    pub arrivals: u64,
    /// Attempts that occupy a core.
    running: Vec<AttemptKey>,
    /// Attempts that wait for a core.
    queue: VecDeque<AttemptKey>,
    /// Attempts whose work ended during a hang. They still occupy their cores.
    stalled: Vec<AttemptKey>,
    queue_limit: usize,
    /// Moving average of the service time.
    service_time_ms: f64,
    /// Load during the slow start; `None` outside of a slow start.
    slow_start: Option<SlowStartLoad>,
}

impl EmulatedBackend {
    /// Creates a running backend without a slow start and without attempts.
    #[must_use]
    pub fn new(machine: Machine, queue_limit: u32) -> Self {
        Self {
            machine,
            state: ProcessState::Running,
            started_at: None,
            slowdown: 1.0,
            hung: false,
            collapsed: false,
            arrivals: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            stalled: Vec::new(),
            queue_limit: queue_limit as usize,
            service_time_ms: 0.0,
            slow_start: None,
        }
    }

    /// Returns the number of attempts at the backend, running or queued.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Returns the current load report.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        [
            self.running.len() as f32,
            self.queue.len() as f32,
            self.service_time_ms as f32,
        ]
    }

    /// Returns whether the process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    fn has_free_core(&self) -> bool {
        !self.hung && self.running.len() < usize::from(self.machine.cores)
    }

    /// Returns the time that a core takes for `work` (microseconds on a core of speed 1) that starts now.
    fn service_time(&self, now: Micros, work: f64, model: &SlowStartModel) -> Micros {
        let capacity_fraction = self.started_at.map_or(1.0, |started_at| {
            model.capacity_fraction(now.saturating_sub(started_at))
        });
        let speed = self.machine.speed * capacity_fraction;
        ((work * self.slowdown / speed) as Micros).max(1)
    }

    /// Handles the arrival of an attempt; `work` is in microseconds on a core of speed 1.
    pub fn admit(
        &mut self,
        now: Micros,
        attempt: AttemptKey,
        work: f64,
        model: &SlowStartModel,
    ) -> Admission {
        match self.state {
            ProcessState::Crashed => return Admission::ConnectionRefused,
            ProcessState::Unreachable => return Admission::Unreachable,
            ProcessState::Running => self.arrivals += 1,
        }
        if self.has_free_core() {
            return Admission::Started(self.start_work(now, attempt, work, model));
        }
        // A hung process rejects nothing, because its machine still accepts connections.
        if self.queue.len() >= self.queue_limit && !self.hung {
            return Admission::QueueFull;
        }
        self.queue.push_back(attempt);
        Admission::Queued
    }

    /// Adds an attempt to the load of a slow start, even if the backend rejects the attempt. `informed` tells whether
    /// the proxy had been informed of the backend's start. Returns the collapse if the load exceeds the limit.
    pub fn add_slow_start_load(
        &mut self,
        now: Micros,
        work: f64,
        informed: bool,
        model: &SlowStartModel,
    ) -> Option<Collapse> {
        let load = self.slow_start.as_mut()?;
        let age = now.saturating_sub(self.started_at.unwrap_or_default());
        if age >= model.duration {
            self.slow_start = None;
            return None;
        }
        load.add(now, work / model.mean_work, informed);
        load.remove_before(now.saturating_sub(model.collapse_time));
        load.collapse(model.load_limit(self.machine.capacity(), age))
    }

    /// Ends the work on an attempt and returns whether the response is sent now. A hung backend withholds the response
    /// until it resumes.
    pub fn finish_work(&mut self, attempt: AttemptKey, service_time: Micros) -> bool {
        if self.hung {
            self.stalled.push(attempt);
            return false;
        }
        self.remove_running(attempt);
        let service_time_ms = as_milliseconds(service_time);
        self.service_time_ms += (service_time_ms - self.service_time_ms) * SERVICE_TIME_WEIGHT;
        true
    }

    fn remove_running(&mut self, attempt: AttemptKey) {
        let position = self.running.iter().position(|&running| running == attempt);
        if let Some(position) = position {
            self.running.swap_remove(position);
        }
    }

    /// Removes and returns the next attempt of the queue, if a core is free.
    pub fn next_queued(&mut self) -> Option<AttemptKey> {
        if self.is_running() && self.has_free_core() {
            self.queue.pop_front()
        } else {
            None
        }
    }

    /// Starts the work on an attempt and returns the time that it takes.
    pub fn start_work(
        &mut self,
        now: Micros,
        attempt: AttemptKey,
        work: f64,
        model: &SlowStartModel,
    ) -> Micros {
        self.running.push(attempt);
        self.service_time(now, work, model)
    }

    /// Resumes after a hang and returns the attempts whose work ended during it.
    pub fn resume(&mut self) -> Vec<AttemptKey> {
        self.hung = false;
        let ended = std::mem::take(&mut self.stalled);
        for &attempt in &ended {
            self.remove_running(attempt);
        }
        ended
    }

    /// Stops the process and returns the attempts that it held, running ones first.
    pub fn stop(&mut self, state: ProcessState) -> Vec<AttemptKey> {
        self.state = state;
        self.hung = false;
        self.slow_start = None;
        self.stalled.clear();
        let mut in_flight = std::mem::take(&mut self.running);
        in_flight.extend(self.queue.drain(..));
        in_flight
    }

    /// Starts the process and its slow start. Returns whether the process started: a collapsed backend and a running
    /// one do not start.
    pub fn start(&mut self, now: Micros) -> bool {
        if self.collapsed || self.is_running() {
            return false;
        }
        self.state = ProcessState::Running;
        self.hung = false;
        self.started_at = Some(now);
        self.slowdown = 1.0;
        self.service_time_ms = 0.0;
        self.slow_start = Some(SlowStartLoad::default());
        true
    }
}
