//! The slow start of a backend: its capacity grows, and too much load makes it collapse.

use std::collections::VecDeque;
use tillerproxy::api::Micros;

/// How backends warm up, and the load at which they collapse.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// The part of its capacity that a backend has when it starts.
    pub initial_capacity: f64,
    /// The time after its start at which it has its full capacity.
    pub duration: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_load_factor: f64,
    /// ... for this long, it collapses.
    pub collapse_time: Micros,
    /// Mean work of a request, microseconds on a core of speed 1.
    pub mean_work: f64,
}

impl SlowStartModel {
    /// Returns the part of its capacity that a backend has `age` after its start.
    #[must_use]
    pub fn capacity_fraction(&self, age: Micros) -> f64 {
        let progress = (age as f64 / self.duration.max(1) as f64).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }

    /// Returns the requests of mean work within the collapse time at which a backend of `capacity` does not yet
    /// collapse, `age` after its start.
    ///
    /// The limit is N + 2 sqrt(N) + 2, where N = load factor x present capacity x collapse time: two standard
    /// deviations of random arrivals are allowed for.
    #[must_use]
    pub fn load_limit(&self, capacity: f64, age: Micros) -> f64 {
        let present_capacity = self.collapse_load_factor * capacity * self.capacity_fraction(age);
        let requests = present_capacity * self.collapse_time as f64 / self.mean_work;
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

/// Why a backend collapsed during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Collapse {
    /// Requests of mean work that reached it within the collapse time.
    pub load: f64,
    /// The load that it could bear.
    pub load_limit: f64,
    /// The part of the load that came from proxies informed of its start.
    pub informed_fraction: f64,
}

/// An attempt that reached a backend during its slow start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    /// Its work in requests of mean work.
    load: f64,
    /// Whether its proxy had been informed of the start.
    informed: bool,
}

/// The load on a backend within the collapse time, in requests of mean work.
#[derive(Debug, Default)]
pub(super) struct SlowStartLoad {
    arrivals: VecDeque<Arrival>,
    total: f64,
    informed: f64,
}

impl SlowStartLoad {
    pub(super) fn add(&mut self, at: Micros, load: f64, informed: bool) {
        self.total += load;
        if informed {
            self.informed += load;
        }
        self.arrivals.push_back(Arrival { at, load, informed });
    }

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
