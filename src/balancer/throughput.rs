//! Peak rate of the requests that backends serve for this proxy.

use super::time::seconds;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Shortest span over which a rate is measured, seconds. A proxy with little traffic has too few requests in one
/// second.
const MIN_SPAN_S: f64 = 4.0;
/// Factor on the peak at the end of each span that has a lower rate; the peak never falls below the rate of the span.
const PEAK_DECAY: f64 = 0.95;

/// Greatest rate of events in spans of a few seconds. The peak decays while the rate is lower.
pub(crate) struct PeakRate {
    /// Events in the present span.
    count: f64,
    /// Start of the present span.
    started_at: Micros,
    peak_per_s: f64,
}

impl PeakRate {
    /// Returns a peak rate of 0, with the first span starting at `now`.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            count: 0.0,
            started_at: now,
            peak_per_s: 0.0,
        }
    }

    /// Counts an event, and updates the peak if the event ends a span.
    pub(crate) fn record(&mut self, now: Micros) {
        self.count += 1.0;
        let span_s = seconds(now - self.started_at);
        if span_s >= MIN_SPAN_S {
            self.peak_per_s = (self.count / span_s).max(self.peak_per_s * PEAK_DECAY);
            self.count = 0.0;
            self.started_at = now;
        }
    }

    /// Returns the peak rate in events per second, or 0 before the end of the first span.
    pub(crate) fn per_second(&self) -> f64 {
        self.peak_per_s
    }
}
