//! Windows of samples, from which limits are evaluated.

use crate::api::Micros;

/// Window of a limit: the samples since the limit was last evaluated or its previous window was discarded.
#[derive(Clone, Copy, Default)]
pub(crate) struct Window {
    started_at: Micros,
    count: u32,
    sum: f64,
    near_limit: bool,
}

impl Window {
    /// Returns an empty window that starts at `now`.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Adds a sample, the latency of an attempt as a multiple of its latency threshold.
    pub(crate) fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    /// Records that the attempts in flight nearly reached the limit. Only then may a window raise the limit: quick
    /// responses while few attempts are in flight do not show that the limit is too low.
    pub(crate) fn mark_near_limit(&mut self) {
        self.near_limit = true;
    }

    /// Reports whether the limit was nearly reached during the window.
    pub(crate) fn was_near_limit(&self) -> bool {
        self.near_limit
    }

    /// Returns the time at which the window started.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the time since the window started.
    pub(crate) fn age(&self, now: Micros) -> Micros {
        now - self.started_at
    }

    /// Reports whether the window has enough samples for an evaluation.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.count >= super::MIN_WINDOW_SAMPLES
    }

    /// Returns the mean of the samples, or 0 if there are none.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}
