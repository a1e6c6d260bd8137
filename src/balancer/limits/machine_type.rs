//! The limit that one backend of a machine type has for all proxies together.

use super::{
    DECREASE_FACTOR, INITIAL_LIMIT, MAX_LIMIT, MAX_SAMPLE, MIN_INCREASE, MIN_LIMIT, MIN_WINDOW,
    Window,
};
use crate::api::Micros;
use crate::balancer::latency::LATENCY_WEIGHT;

/// Departure: a limit is kept for each machine type as well, from the samples of all its backends. It decreases
/// like theirs, increases by a part of itself, and doubles until its first decrease. Backends that gave no sample for a while have this limit: each of many proxies
/// holds a slot on few backends, and the limits of the others would never change.
#[derive(Clone)]
pub(crate) struct MachineTypeLimit {
    limit: f64,
    /// Whether there was no decrease yet.
    doubling: bool,
    /// The mean service time in the load reports of its backends, milliseconds.
    service_time_ms: Option<f64>,
    window: Window,
}

impl MachineTypeLimit {
    /// Returns the first limit.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            doubling: true,
            service_time_ms: None,
            window: Window::new(now),
        }
    }

    /// Returns the limit of one backend for all proxies together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Notes that a request found no available capacity.
    pub(crate) fn mark_near_limit(&mut self) {
        self.window.mark_near_limit();
    }

    /// Adds a sample; returns whether the window was complete and the limit was evaluated.
    pub(crate) fn record(&mut self, now: Micros, sample: f64) -> bool {
        self.window.add(sample);
        let is_long_enough = self.doubling || self.window.age(now) >= MIN_WINDOW;
        if !self.window.has_enough_samples() || !is_long_enough {
            return false;
        }
        self.evaluate();
        self.window = Window::new(now);
        true
    }

    fn evaluate(&mut self) {
        if self.window.mean() > 1.0 {
            self.doubling = false;
            self.limit *= DECREASE_FACTOR;
        } else if self.window.was_near_limit() {
            let increase = if self.doubling {
                2.0
            } else {
                1.0 + MIN_INCREASE
            };
            self.limit *= increase;
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Adds the service time of a backend's load report; returns the mean before it.
    pub(crate) fn record_service_time(&mut self, reported_ms: f64) -> f64 {
        let mean = self.service_time_ms.unwrap_or(reported_ms);
        let capped = reported_ms.min(mean * MAX_SAMPLE);
        self.service_time_ms = Some(mean + (capped - mean) * LATENCY_WEIGHT);
        mean
    }
}
