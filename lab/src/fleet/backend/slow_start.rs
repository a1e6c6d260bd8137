//! The slow start of a backend: the backend's capacity grows, and too much load makes the backend collapse.

use std::collections::VecDeque;
use tillerproxy::api::Micros;

/// Parameters of the slow start and of the load at which backends collapse.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Fraction of its capacity that a backend has when its slow start begins, 0 to 1.
    pub initial_capacity: f64,
    /// Time from a backend's start until it has its full capacity.
    pub duration: Micros,
    /// A backend in slow start collapses if its load exceeds this multiple of its current capacity for
    /// `collapse_time`.
    pub collapse_load_factor: f64,
    /// Time for which the load must exceed `collapse_load_factor` until the backend collapses.
    pub collapse_time: Micros,
    /// Mean work of a request, microseconds on a core of speed 1.
    pub mean_work: f64,
}

impl SlowStartModel {
    /// Returns the fraction of its capacity that a backend has `age` after its start.
    #[must_use]
    pub fn capacity_fraction(&self, age: Micros) -> f64 {
        let progress = (age as f64 / self.duration.max(1) as f64).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }

    /// Returns the load limit of a backend of `capacity`, `age` after its start: the greatest load within the collapse
    /// time, in requests of mean work, at which the backend does not collapse.
    ///
    /// The limit is N + 2 sqrt(N) + 2 with N = load factor x current capacity x collapse time / mean work. The margin
    /// covers two standard deviations of random arrivals.
    #[must_use]
    pub fn load_limit(&self, capacity: f64, age: Micros) -> f64 {
        let max_work_rate = self.collapse_load_factor * capacity * self.capacity_fraction(age);
        let requests = max_work_rate * self.collapse_time as f64 / self.mean_work;
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

/// The collapse of a backend during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Collapse {
    /// Load that reached the backend within the collapse time, in requests of mean work.
    pub load: f64,
    /// Load limit that was exceeded, in requests of mean work.
    pub load_limit: f64,
    /// Fraction of the load that came from proxies informed of the backend's start.
    pub informed_fraction: f64,
}

/// An attempt that reached a backend during its slow start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    /// Work of the attempt, in requests of mean work.
    load: f64,
    /// Whether the proxy had been informed of the start.
    informed: bool,
}

/// The load on a backend within the collapse time, in requests of mean work.
#[derive(Debug, Default)]
pub(super) struct SlowStartLoad {
    arrivals: VecDeque<Arrival>,
    /// Load of all arrivals.
    total: f64,
    /// Load of the arrivals from informed proxies.
    informed: f64,
}

impl SlowStartLoad {
    /// Adds an arrival.
    pub(super) fn add(&mut self, at: Micros, load: f64, informed: bool) {
        self.total += load;
        if informed {
            self.informed += load;
        }
        self.arrivals.push_back(Arrival { at, load, informed });
    }

    /// Removes the arrivals before `oldest`.
    pub(super) fn remove_before(&mut self, oldest: Micros) {
        while let Some(&arrival) = self.arrivals.front() {
            if arrival.at >= oldest {
                break;
            }
            self.arrivals.pop_front();
            self.total -= arrival.load;
            if arrival.informed {
                self.informed -= arrival.load;
            }
        }
    }

    /// Returns the collapse if the load exceeds a limit.
    pub(super) fn collapse(&self, load_limit: f64) -> Option<Collapse> {
        if self.total <= load_limit {
            return None;
        }
        Some(Collapse {
            load: self.total,
            load_limit,
            informed_fraction: self.informed / self.total,
        })
    }
}
