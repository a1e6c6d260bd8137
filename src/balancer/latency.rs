//! Latencies of the request classes, and what follows from them: the threshold above which limits back off, and what an
//! attempt without a response is taken for.
//!
//! | term | meaning |
//! | --- | --- |
//! | quick class | its work takes a small part of its latency objective, so a lost attempt can be told from a slow one |
//! | overdue attempt | no response for several mean latencies; in a class that is not quick, none until the class's timeout |
//! | overtaken attempt | the backend served another one that was sent when this one was overdue (`in_flight`) |
//! | lost attempt | no response for so long that none is expected; it times out then, if it may be repeated |
//! | unresponsive backend | it has attempts in flight, and served none for several mean latencies of the class that asks |

use super::time::SECOND;
use crate::api::{Class, ClassIndex, MachineType, Micros, Settings};

#[cfg(test)]
mod tests;

/// The threshold as a multiple of the base latency: above it requests queue at the backend.
const THRESHOLD_OVER_BASE: f64 = 1.8;
/// The threshold as a part of the latency objective, at most: limits have to fall before objectives are missed.
const MAX_THRESHOLD_OVER_OBJECTIVE: f64 = 0.4;
/// An attempt is overdue at this multiple of its class's mean latency ...
const OVERDUE_OVER_MEAN: f64 = 4.0;
/// ... between these parts of the latency objective.
const MIN_OVERDUE_OVER_OBJECTIVE: f64 = 0.25;
const MAX_OVERDUE_OVER_OBJECTIVE: f64 = 0.8;
/// An attempt of a quick class counts as lost after this part of the latency objective.
const LOST_OVER_OBJECTIVE: f64 = 0.25;
/// A class is quick if an attempt counts as lost only after this multiple of its mean latency.
const QUICK_LOST_OVER_MEAN: f64 = 5.0;
/// First estimate of a class's mean latency, as a part of its latency objective.
const INITIAL_MEAN_OVER_OBJECTIVE: f64 = 1.0 / 4.0;
/// Weight of one more latency in a mean.
pub(crate) const LATENCY_WEIGHT: f64 = 1.0 / 16.0;
/// Growth of the base latency a second, so that it follows backends that all got slower.
const BASE_GROWTH_PER_SECOND: f64 = 0.01;
/// How long a backend that was slow is less preferred than others with the same available capacity.
const RECENT_LATENCY_TTL: Micros = 5 * SECOND;

/// Latencies of a class on one machine type, microseconds.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    samples: u32,
    mean: f64,
    /// The lowest that the mean has been, growing slowly: the latency without queueing. `f64::MAX`: not known yet.
    base: f64,
    base_updated_at: Micros,
}

impl LatencyEstimate {
    fn new(latency_objective: Micros, now: Micros) -> Self {
        Self {
            samples: 0,
            mean: latency_objective as f64 * INITIAL_MEAN_OVER_OBJECTIVE,
            base: f64::MAX,
            base_updated_at: now,
        }
    }

    /// Returns the mean latency, microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Whether there were enough samples for a base latency.
    pub(crate) fn is_base_known(&self) -> bool {
        self.base < f64::MAX
    }

    /// Returns the latency threshold, microseconds: a limit backs off when the mean of its window is above it.
    pub(crate) fn threshold(&self, latency_objective: Micros) -> f64 {
        let from_base = self.base * THRESHOLD_OVER_BASE;
        from_base.min(latency_objective as f64 * MAX_THRESHOLD_OVER_OBJECTIVE)
    }

    /// Adds the latency of one response, microseconds.
    pub(crate) fn record(&mut self, now: Micros, latency: f64) {
        self.samples += 1;
        let samples = f64::from(self.samples);
        self.mean += (latency - self.mean) * LATENCY_WEIGHT.max(1.0 / samples);
        let elapsed = (now - self.base_updated_at) as f64;
        let growth = 1.0 + BASE_GROWTH_PER_SECOND * elapsed / SECOND as f64;
        self.base_updated_at = now;
        let has_enough_samples = samples * LATENCY_WEIGHT >= 1.0;
        if has_enough_samples {
            self.base = (self.base * growth).min(self.mean);
        }
    }
}

/// The latency estimates of all classes on all machine types.
pub(crate) struct LatencyTable {
    estimates: Vec<LatencyEstimate>,
    machine_types: usize,
}

impl LatencyTable {
    /// Returns first estimates from the latency objectives.
    pub(crate) fn new(settings: &Settings, now: Micros) -> Self {
        let machine_types = usize::from(settings.machine_type_count).max(1);
        let of_class =
            |class: &Class| vec![LatencyEstimate::new(class.latency_objective, now); machine_types];
        Self {
            estimates: settings.classes.iter().flat_map(of_class).collect(),
            machine_types,
        }
    }

    /// Returns the estimate of a class on a machine type.
    pub(crate) fn estimate(&self, class: ClassIndex, machine: MachineType) -> &LatencyEstimate {
        &self.estimates[class.index() * self.machine_types + machine.index()]
    }

    /// Returns the estimate of a class on a machine type, to be updated.
    pub(crate) fn estimate_mut(
        &mut self,
        class: ClassIndex,
        machine: MachineType,
    ) -> &mut LatencyEstimate {
        &mut self.estimates[class.index() * self.machine_types + machine.index()]
    }

    /// Returns the mean latency of a class over the machine types, microseconds.
    pub(crate) fn mean(&self, class: ClassIndex) -> f64 {
        let first = class.index() * self.machine_types;
        let of_class = &self.estimates[first..first + self.machine_types];
        let sum = of_class.iter().map(|estimate| estimate.mean).sum::<f64>();
        sum / self.machine_types as f64
    }

    /// Whether the work of a class takes a small part of its latency objective.
    pub(crate) fn is_quick(&self, index: ClassIndex, class: &Class) -> bool {
        self.mean(index) * QUICK_LOST_OVER_MEAN <= lost_after(class)
    }

    /// Returns the time after which an attempt of a class is overdue.
    pub(crate) fn overdue_after(&self, index: ClassIndex, class: &Class) -> Micros {
        let objective = class.latency_objective as f64;
        let after = (self.mean(index) * OVERDUE_OVER_MEAN).clamp(
            objective * MIN_OVERDUE_OVER_OBJECTIVE,
            objective * MAX_OVERDUE_OVER_OBJECTIVE,
        );
        after as Micros
    }
}

/// Returns the time after which an attempt of a quick class counts as lost, microseconds.
pub(crate) fn lost_after(class: &Class) -> f64 {
    class.latency_objective as f64 * LOST_OVER_OBJECTIVE
}

/// The mean of a backend's latest samples, as multiples of the latency threshold.
#[derive(Clone, Copy, Default)]
pub(crate) struct RecentLatency {
    mean: f64,
    updated_at: Micros,
}

impl RecentLatency {
    /// Adds a sample.
    pub(crate) fn record(&mut self, now: Micros, sample: f64) {
        self.mean = (self.value(now) + sample) / 2.0;
        self.updated_at = now;
    }

    /// Returns the mean; 0 where there was no sample recently.
    pub(crate) fn value(&self, now: Micros) -> f64 {
        if now < self.expires_at() {
            self.mean
        } else {
            0.0
        }
    }

    /// Returns when the mean counts no more.
    pub(crate) fn expires_at(&self) -> Micros {
        self.updated_at + RECENT_LATENCY_TTL
    }
}
