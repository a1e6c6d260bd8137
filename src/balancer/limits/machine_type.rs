//! The limit that all backends of one machine type share.

use super::{
    DECREASE_FACTOR, INITIAL_LIMIT, MAX_LIMIT, MAX_SAMPLE, MIN_INCREASE_FRACTION, MIN_LIMIT,
    MIN_WINDOW_DURATION, Window,
};
use crate::api::Micros;
use crate::balancer::latency::MEAN_SAMPLE_WEIGHT;

/// Limit of one backend of a machine type, for all proxies together.
///
/// Deviation from plain AIMD: a limit is also kept for each machine type, from the samples of all its backends.
/// Backends without recent samples have this limit: with many proxies, each has a slot on few backends only, and the
/// limits of the other backends would never change.
///
/// The limit decreases like that of a backend, increases by a fraction of itself, and doubles until its first decrease.
#[derive(Clone)]
pub(crate) struct MachineTypeLimit {
    limit: f64,
    /// Whether the limit has not decreased yet, so that an increase doubles it.
    doubling: bool,
    /// Mean service time in the load reports of the backends, milliseconds; `None` before the first report.
    service_time_ms: Option<f64>,
    window: Window,
}

impl MachineTypeLimit {
    /// Returns the initial limit of a machine type.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            doubling: true,
            service_time_ms: None,
            window: Window::new(now),
        }
    }

    /// Returns the limit of one backend, for all proxies together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Records that a request found no available capacity, so the limit counts as nearly reached.
    pub(crate) fn mark_near_limit(&mut self) {
        self.window.mark_near_limit();
    }

    /// Records a sample. Reports whether it completed the window, so that the limit was evaluated.
    pub(crate) fn record(&mut self, now: Micros, sample: f64) -> bool {
        self.window.add(sample);
        let is_long_enough = self.doubling || self.window.age(now) >= MIN_WINDOW_DURATION;
        if !self.window.has_enough_samples() || !is_long_enough {
            return false;
        }
        self.evaluate();
        self.window = Window::new(now);
        true
    }

    /// Lowers or raises the limit as the samples of the window require.
    fn evaluate(&mut self) {
        if self.window.mean() > 1.0 {
            self.doubling = false;
            self.limit *= DECREASE_FACTOR;
        } else if self.window.was_near_limit() {
            let increase = if self.doubling {
                2.0
            } else {
                1.0 + MIN_INCREASE_FRACTION
            };
            self.limit *= increase;
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Adds the service time of a backend's load report to the mean. Returns the mean before this report, or the
    /// reported time itself for the first report. Both are in milliseconds.
    pub(crate) fn record_service_time(&mut self, reported_ms: f64) -> f64 {
        let mean = self.service_time_ms.unwrap_or(reported_ms);
        let capped = reported_ms.min(mean * MAX_SAMPLE);
        self.service_time_ms = Some(mean + (capped - mean) * MEAN_SAMPLE_WEIGHT);
        mean
    }
}
