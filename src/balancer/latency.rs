//! Latency estimates of the request classes. Two things are derived from them: the latency threshold above which limits
//! decrease, and the times after which an attempt without a response is overdue or lost.
//!
//! | term | meaning |
//! | --- | --- |
//! | quick class | its work takes a small part of its latency objective, so lost attempts differ from slow ones |
//! | overdue attempt | had no response for several mean latencies; if its class is not quick, for the class's timeout |
//! | overtaken attempt | was overdue already when the backend was sent an attempt that it has served (`in_flight`) |
//! | lost attempt | had no response for so long that none is expected; if it may be repeated, it then times out |
//! | unresponsive backend | has attempts in flight, and served none for several mean latencies of the request's class |

use super::time::{MICROS_PER_SECOND, SECOND};
use crate::api::{Class, ClassIndex, MachineType, Micros, Settings};

#[cfg(test)]
mod tests;

/// Latency threshold as a multiple of the base latency. Above it, requests queue at the backend.
const THRESHOLD_OVER_BASE: f64 = 1.8;
/// Maximum latency threshold as a fraction of the latency objective. Limits must decrease before objectives are missed.
const MAX_THRESHOLD_OVER_OBJECTIVE: f64 = 0.4;
/// Time after which an attempt is overdue, as a multiple of its class's mean latency.
const OVERDUE_OVER_MEAN: f64 = 4.0;
/// Shortest time after which an attempt is overdue, as a fraction of the latency objective.
const MIN_OVERDUE_OVER_OBJECTIVE: f64 = 0.25;
/// Longest time after which an attempt is overdue, as a fraction of the latency objective.
const MAX_OVERDUE_OVER_OBJECTIVE: f64 = 0.8;
/// Time after which an attempt of a quick class counts as lost, as a fraction of the latency objective.
const LOST_OVER_OBJECTIVE: f64 = 0.25;
/// Minimum ratio of the time after which an attempt counts as lost to the mean latency, for a class to be quick.
const QUICK_LOST_OVER_MEAN: f64 = 5.0;
/// Initial estimate of a class's mean latency, as a fraction of its latency objective.
const INITIAL_MEAN_OVER_OBJECTIVE: f64 = 1.0 / 4.0;
/// Weight of a new sample in the exponentially weighted means of latencies and of service times.
pub(crate) const MEAN_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Growth of the base latency per second, as a fraction of the base latency. Without growth, the base latency would
/// stay too low after all backends have become slower.
const BASE_GROWTH_PER_SECOND: f64 = 0.01;
/// Time from the last sample of a backend until its recent latency expires. Until then, a backend that was slow is
/// preferred less than others with the same available capacity.
const RECENT_LATENCY_TTL: Micros = 5 * SECOND;

/// Latency estimate of a class on one machine type.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    samples: u32,
    /// Mean latency, microseconds.
    mean: f64,
    /// Base latency, microseconds: the latency without queueing, estimated as the lowest value of the mean, which grows
    /// slowly. `f64::MAX` while it is not known.
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

    /// Returns the mean latency in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Reports whether there were enough samples for a base latency.
    pub(crate) fn is_base_known(&self) -> bool {
        self.base < f64::MAX
    }

    /// Returns the latency threshold in microseconds. A sample for limits is a latency divided by this threshold.
    pub(crate) fn threshold(&self, latency_objective: Micros) -> f64 {
        let from_base = self.base * THRESHOLD_OVER_BASE;
        from_base.min(latency_objective as f64 * MAX_THRESHOLD_OVER_OBJECTIVE)
    }

    /// Records the latency of one response, in microseconds.
    pub(crate) fn record(&mut self, now: Micros, latency: f64) {
        self.samples += 1;
        let samples = f64::from(self.samples);
        self.mean += (latency - self.mean) * MEAN_SAMPLE_WEIGHT.max(1.0 / samples);
        let elapsed = (now - self.base_updated_at) as f64;
        let growth = 1.0 + BASE_GROWTH_PER_SECOND * elapsed / MICROS_PER_SECOND;
        self.base_updated_at = now;
        let has_enough_samples = samples * MEAN_SAMPLE_WEIGHT >= 1.0;
        if has_enough_samples {
            self.base = (self.base * growth).min(self.mean);
        }
    }
}

/// Latency estimates of all classes on all machine types.
pub(crate) struct LatencyTable {
    estimates: Vec<LatencyEstimate>,
    machine_types: usize,
}

impl LatencyTable {
    /// Returns initial estimates based on the latency objectives.
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

    /// Returns a mutable reference to the estimate of a class on a machine type.
    pub(crate) fn estimate_mut(
        &mut self,
        class: ClassIndex,
        machine: MachineType,
    ) -> &mut LatencyEstimate {
        &mut self.estimates[class.index() * self.machine_types + machine.index()]
    }

    /// Returns the average over all machine types of a class's mean latency, in microseconds.
    pub(crate) fn mean(&self, class: ClassIndex) -> f64 {
        let first = class.index() * self.machine_types;
        let of_class = &self.estimates[first..first + self.machine_types];
        let sum = of_class.iter().map(|estimate| estimate.mean).sum::<f64>();
        sum / self.machine_types as f64
    }

    /// Reports whether a class is quick: its work takes a small part of its latency objective.
    pub(crate) fn is_quick(&self, index: ClassIndex, class: &Class) -> bool {
        self.mean(index) * QUICK_LOST_OVER_MEAN <= lost_after(class)
    }

    /// Returns the time after which an attempt of a quick class is overdue. For requests of any class, a backend that
    /// has not served an attempt for this time is unresponsive.
    pub(crate) fn overdue_after(&self, index: ClassIndex, class: &Class) -> Micros {
        let objective = class.latency_objective as f64;
        let after = (self.mean(index) * OVERDUE_OVER_MEAN).clamp(
            objective * MIN_OVERDUE_OVER_OBJECTIVE,
            objective * MAX_OVERDUE_OVER_OBJECTIVE,
        );
        after as Micros
    }
}

/// Returns the time, in microseconds, after which an attempt of a quick class counts as lost.
pub(crate) fn lost_after(class: &Class) -> f64 {
    class.latency_objective as f64 * LOST_OVER_OBJECTIVE
}

/// Mean of a backend's latest samples, each a latency as a multiple of its latency threshold.
#[derive(Clone, Copy, Default)]
pub(crate) struct RecentLatency {
    mean: f64,
    updated_at: Micros,
}

impl RecentLatency {
    /// Records a sample, which has half of the weight in the new mean.
    pub(crate) fn record(&mut self, now: Micros, sample: f64) {
        self.mean = (self.value(now) + sample) / 2.0;
        self.updated_at = now;
    }

    /// Returns the mean, or 0 if it has expired.
    pub(crate) fn value(&self, now: Micros) -> f64 {
        if now < self.expires_at() {
            self.mean
        } else {
            0.0
        }
    }

    /// Returns the time at which the mean expires, unless another sample is recorded earlier.
    pub(crate) fn expires_at(&self) -> Micros {
        self.updated_at + RECENT_LATENCY_TTL
    }
}
