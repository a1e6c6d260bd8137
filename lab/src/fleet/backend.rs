//! An emulated backend: cores, a bounded queue, a cold start, and the ways in which it fails.
//!
//! It holds attempts by their number in the simulation's table and never looks into them; the simulation
//! tells it what arrives and what is done, and schedules the ends of work that it names.

use super::topology::Machine;
use std::collections::VecDeque;
use tillerproxy::api::Micros;

/// An attempt, by its place in the simulation's table.
pub type AttemptPlace = u32;

/// Weight of one more service time in the mean that load reports carry.
const SERVICE_WEIGHT: f64 = 1.0 / 16.0;

/// Figures of a cold start, in the decision module's units.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The part of its capacity that a backend has when it starts.
    pub from: f64,
    /// The time after which it is warm, microseconds.
    pub time: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long (microseconds), it falls over.
    pub fall_time: Micros,
    /// Mean work of a request, microseconds on a core of speed 1.
    pub mean_work: f64,
}

impl ColdStart {
    /// The part of its capacity that a backend has `age` after its start.
    #[must_use]
    pub fn warmth(&self, age: Micros) -> f64 {
        let progress = (age as f64 / self.time.max(1) as f64).min(1.0);
        self.from + (1.0 - self.from) * progress
    }

    /// The requests of mean work that a backend of `capacity` stands within the fall time, `age` after its
    /// start: N plus chance's share of 2 sqrt(N) + 2, N being multiple x present capacity x fall time.
    #[must_use]
    pub fn budget(&self, capacity: f64, age: Micros) -> f64 {
        let requests = self.fall_multiple * capacity * self.warmth(age) * self.fall_time as f64
            / self.mean_work;
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

/// Whether a backend's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// It is dead: connections are refused, those that stood were reset.
    Dead,
    /// Its machine is gone: nothing answers.
    Vanished,
}

/// What a backend does with an attempt that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A core works on it; the simulation schedules its end after this span.
    Started(Micros),
    /// It waits for a core.
    Queued,
    /// The queue is full.
    Full,
    /// No process takes connections.
    Refused,
    /// Nothing answers at all.
    Unreachable,
}

/// What an attempt that reaches a cold backend weighs.
#[derive(Clone, Copy, Debug)]
struct ColdArrival {
    at: Micros,
    weight: f64,
    informed: bool,
}

/// The load on a cold backend within the fall time.
#[derive(Debug, Default)]
struct ColdLoad {
    arrivals: VecDeque<ColdArrival>,
    weight: f64,
    informed_weight: f64,
}

/// Why a cold backend fell over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    /// Requests of mean work that reached it within the fall time.
    pub load: f64,
    /// What it could stand.
    pub budget: f64,
    /// The part of the load that came from proxies informed of its start.
    pub informed: f64,
}

/// A load report: requests in work, requests waiting, mean service time in milliseconds.
pub type LoadReport = [f32; 3];

/// One emulated backend.
#[derive(Debug)]
pub struct EmulatedBackend {
    /// Its machine.
    pub machine: Machine,
    /// Whether its process runs.
    pub life: Life,
    /// When its process last started; `None`: long ago.
    pub started: Option<Micros>,
    /// How many times slower than usual it works.
    pub slowdown: f64,
    /// Whether it takes requests and answers none.
    pub hung: bool,
    /// It fell over and stays down.
    pub fallen: bool,
    /// Attempts that reached its machine while its process ran.
    pub arrived: u64,
    working: Vec<AttemptPlace>,
    waiting: VecDeque<AttemptPlace>,
    /// Work that ended while it hung.
    stalled: Vec<AttemptPlace>,
    queue_limit: usize,
    service_ms: f64,
    cold: Option<ColdLoad>,
}

impl EmulatedBackend {
    /// A warm backend with nothing to do.
    #[must_use]
    pub fn new(machine: Machine, queue_limit: u32) -> Self {
        Self {
            machine,
            life: Life::Up,
            started: None,
            slowdown: 1.0,
            hung: false,
            fallen: false,
            arrived: 0,
            working: Vec::new(),
            waiting: VecDeque::new(),
            stalled: Vec::new(),
            queue_limit: queue_limit as usize,
            service_ms: 0.0,
            cold: None,
        }
    }

    /// Attempts that it holds, in work or waiting.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        (self.working.len() + self.waiting.len()) as u32
    }

    /// Its present load report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        [
            self.working.len() as f32,
            self.waiting.len() as f32,
            self.service_ms as f32,
        ]
    }

    /// How long a core takes for `work` (microseconds of standard work) that starts now.
    fn service_time(&self, now: Micros, work: f64, cold: &ColdStart) -> Micros {
        let warmth = self
            .started
            .map_or(1.0, |started| cold.warmth(now.saturating_sub(started)));
        ((work * self.slowdown / (self.machine.speed * warmth)) as Micros).max(1)
    }

    /// Takes an attempt that reached it, if it does; `work` is in microseconds of standard work.
    pub fn arrive(
        &mut self,
        now: Micros,
        attempt: AttemptPlace,
        work: f64,
        cold: &ColdStart,
    ) -> Admission {
        match self.life {
            Life::Dead => return Admission::Refused,
            Life::Vanished => return Admission::Unreachable,
            Life::Up => self.arrived += 1,
        }
        if self.working.len() < usize::from(self.machine.cores) && !self.hung {
            self.working.push(attempt);
            return Admission::Started(self.service_time(now, work, cold));
        }
        // A hung process takes whatever comes; its machine's backlog has no end here.
        if self.waiting.len() >= self.queue_limit && !self.hung {
            return Admission::Full;
        }
        self.waiting.push_back(attempt);
        Admission::Queued
    }

    /// Counts an attempt against the cold start's budget. Every attempt that reaches it weighs, refused ones
    /// too; `informed` tells whether its proxy had been informed of the start. Returns the fall if it falls
    /// over.
    pub fn weigh(
        &mut self,
        now: Micros,
        work: f64,
        informed: bool,
        cold: &ColdStart,
    ) -> Option<Fall> {
        let load = self.cold.as_mut()?;
        let age = now.saturating_sub(self.started.unwrap_or_default());
        if age >= cold.time {
            self.cold = None;
            return None;
        }
        load.add(ColdArrival {
            at: now,
            weight: work / cold.mean_work,
            informed,
        });
        load.forget_before(now.saturating_sub(cold.fall_time));
        let budget = cold.budget(self.machine.capacity(), age);
        if load.weight <= budget {
            return None;
        }
        Some(Fall {
            load: load.weight,
            budget,
            informed: load.informed_weight / load.weight,
        })
    }

    /// The work on an attempt has ended. Returns whether its answer goes out now; a hung backend keeps it.
    pub fn finish(&mut self, attempt: AttemptPlace, service: Micros) -> bool {
        if self.hung {
            self.stalled.push(attempt);
            return false;
        }
        self.remove_working(attempt);
        self.service_ms += (service as f64 / 1e3 - self.service_ms) * SERVICE_WEIGHT;
        true
    }

    fn remove_working(&mut self, attempt: AttemptPlace) {
        if let Some(position) = self.working.iter().position(|&place| place == attempt) {
            self.working.swap_remove(position);
        }
    }

    /// The next waiting attempt for which a core is free, if there is one.
    pub fn next_waiting(&mut self) -> Option<AttemptPlace> {
        let free = self.life == Life::Up
            && !self.hung
            && self.working.len() < usize::from(self.machine.cores);
        if free { self.waiting.pop_front() } else { None }
    }

    /// Begins the work on an attempt that waited; returns how long it takes.
    pub fn begin(
        &mut self,
        now: Micros,
        attempt: AttemptPlace,
        work: f64,
        cold: &ColdStart,
    ) -> Micros {
        self.working.push(attempt);
        self.service_time(now, work, cold)
    }

    /// It answers again after it hung: the attempts whose work ended meanwhile.
    pub fn resume(&mut self) -> Vec<AttemptPlace> {
        self.hung = false;
        let ended = std::mem::take(&mut self.stalled);
        ended
            .iter()
            .for_each(|&attempt| self.remove_working(attempt));
        ended
    }

    /// Its process ends. Returns the attempts that it held.
    pub fn stop(&mut self, life: Life) -> Vec<AttemptPlace> {
        self.life = life;
        self.hung = false;
        self.cold = None;
        self.stalled.clear();
        let mut in_flight = std::mem::take(&mut self.working);
        in_flight.extend(self.waiting.drain(..));
        in_flight
    }

    /// Its process starts, cold. One that fell over stays down.
    pub fn start(&mut self, now: Micros) -> bool {
        if self.fallen || self.life == Life::Up {
            return false;
        }
        self.life = Life::Up;
        self.hung = false;
        self.started = Some(now);
        self.slowdown = 1.0;
        self.service_ms = 0.0;
        self.cold = Some(ColdLoad::default());
        true
    }
}

impl ColdLoad {
    fn add(&mut self, arrival: ColdArrival) {
        self.weight += arrival.weight;
        self.informed_weight += if arrival.informed {
            arrival.weight
        } else {
            0.0
        };
        self.arrivals.push_back(arrival);
    }

    fn forget_before(&mut self, oldest: Micros) {
        while let Some(arrival) = self
            .arrivals
            .front()
            .copied()
            .filter(|arrival| arrival.at < oldest)
        {
            self.arrivals.pop_front();
            self.weight -= arrival.weight;
            self.informed_weight -= if arrival.informed {
                arrival.weight
            } else {
                0.0
            };
        }
    }
}
