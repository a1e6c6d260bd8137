//! A window of samples.

use crate::api::Micros;

/// The samples since a limit was last evaluated.
#[derive(Clone, Copy, Default)]
pub(crate) struct Window {
    started_at: Micros,
    count: u32,
    sum: f64,
    near_limit: bool,
}

impl Window {
    /// Returns an empty window that starts now.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Adds a sample, a multiple of the latency threshold.
    pub(crate) fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    /// Notes that the requests in flight came near the limit. A limit that was not nearly reached is not known to be too
    /// low.
    pub(crate) fn mark_near_limit(&mut self) {
        self.near_limit = true;
    }

    /// Whether the limit was nearly reached.
    pub(crate) fn was_near_limit(&self) -> bool {
        self.near_limit
    }

    /// Returns when the window started.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns how long the window has been open.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now - self.started_at
    }

    /// Whether the window has samples enough for an evaluation.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.count >= super::MIN_WINDOW_SAMPLES
    }

    /// Returns the mean of the samples; 0 without any.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}
