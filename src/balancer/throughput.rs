//! How many requests this proxy gets served.

use super::time::seconds;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// The shortest span that is measured, seconds: a single second of a small proxy says too little.
const MIN_SPAN_S: f64 = 4.0;
/// What the peak falls to, at most, with each span.
const PEAK_DECAY: f64 = 0.95;

/// The greatest rate of events over some seconds, which fades.
pub(crate) struct PeakRate {
    count: f64,
    started_at: Micros,
    peak_per_s: f64,
}

impl PeakRate {
    /// Returns a rate of 0.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            count: 0.0,
            started_at: now,
            peak_per_s: 0.0,
        }
    }

    /// Counts an event.
    pub(crate) fn record(&mut self, now: Micros) {
        self.count += 1.0;
        let span_s = seconds(now - self.started_at);
        if span_s >= MIN_SPAN_S {
            self.peak_per_s = (self.count / span_s).max(self.peak_per_s * PEAK_DECAY);
            self.count = 0.0;
            self.started_at = now;
        }
    }

    /// Returns the greatest rate, events a second.
    pub(crate) fn per_second(&self) -> f64 {
        self.peak_per_s
    }
}
