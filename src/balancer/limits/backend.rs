//! Limit of one backend at this proxy.

use super::{
    DECREASE_FACTOR, MAX_LIMIT, MAX_WINDOW_AGE, MIN_INCREASE_FRACTION, MIN_LIMIT,
    MIN_WINDOW_DURATION, Window,
};
use crate::api::Micros;
use crate::balancer::time::SECOND;

/// Age of a window after which a backend without a slot receives the limit of its machine type again.
const UNSAMPLED_AFTER: Micros = 2 * SECOND;
/// Minimum factor by which a load report scales the limit of the machine type; applies to a backend much slower than
/// the mean.
const MIN_REPORT_FACTOR: f64 = 0.1;
/// Maximum factor by which a load report scales the limit of the machine type, however short the reported service time.
const MAX_REPORT_FACTOR: f64 = 1.5;
/// Time for which the factor of a load report holds.
const REPORT_TTL: Micros = 5 * SECOND;

/// Numerator of the fraction of taken slots, three quarters, from which a limit counts as nearly reached.
const NEAR_LIMIT_NUMERATOR: i64 = 3;
/// Denominator of the fraction whose numerator is [`NEAR_LIMIT_NUMERATOR`].
const NEAR_LIMIT_DENOMINATOR: i64 = 4;

/// Source of a backend's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSource {
    /// The limit of the backend's machine type. The backend's own windows have not lowered it recently.
    #[default]
    MachineType,
    /// The limit of the backend's machine type, scaled by the backend's load report.
    LoadReport,
    /// The backend's own windows.
    Windows,
}

/// The limit of one backend at this proxy.
#[derive(Default)]
pub(crate) struct BackendLimit {
    source: LimitSource,
    /// Limit from the backend's windows or load report. Not used while `source` is the machine type.
    own_limit: f64,
    window: Window,
    /// Factor by which the last load report scales the limit of the machine type.
    report_factor: f64,
    reported_at: Micros,
}

impl BackendLimit {
    /// Resets the limit to that of the machine type, and clears the window and load report of the backend's previous
    /// process.
    pub(crate) fn reset(&mut self, now: Micros) {
        self.source = LimitSource::MachineType;
        self.window = Window::new(now);
        self.report_factor = 1.0;
        self.reported_at = now;
    }

    /// Returns the source of the limit.
    pub(crate) fn source(&self) -> LimitSource {
        self.source
    }

    /// Returns the limit. `machine_type_limit` is this proxy's share of the limit of the machine type.
    pub(crate) fn value(&self, machine_type_limit: f64) -> f64 {
        match self.source {
            LimitSource::MachineType => machine_type_limit,
            LimitSource::LoadReport | LimitSource::Windows => self.own_limit,
        }
    }

    /// Records the attempts in flight when another one starts, and marks the window if the limit is nearly reached.
    pub(crate) fn record_in_flight(&mut self, in_flight: u32, slots: i64) {
        let is_near_limit =
            i64::from(in_flight) * NEAR_LIMIT_DENOMINATOR >= slots * NEAR_LIMIT_NUMERATOR;
        if is_near_limit {
            self.window.mark_near_limit();
        }
    }

    /// Records a sample, and evaluates the limit if the window is complete. `proxy_fraction` is this proxy's share of
    /// the backend's capacity.
    ///
    /// Deviation from plain AIMD: a window stays open until it has [`MIN_WINDOW_SAMPLES`](super::MIN_WINDOW_SAMPLES)
    /// samples, up to an age of [`MAX_WINDOW_AGE`].
    pub(crate) fn record(
        &mut self,
        now: Micros,
        sample: f64,
        machine_type_limit: f64,
        proxy_fraction: f64,
    ) {
        let limit = self.value(machine_type_limit);
        self.window.add(sample);
        let age = self.window.age(now);
        let has_enough_samples = self.window.has_enough_samples();
        if age < MIN_WINDOW_DURATION || (!has_enough_samples && age < MAX_WINDOW_AGE) {
            return;
        }
        if has_enough_samples {
            self.evaluate(limit, proxy_fraction);
        }
        self.own_limit = self
            .own_limit
            .clamp(MIN_LIMIT * proxy_fraction, MAX_LIMIT * proxy_fraction);
        self.window = Window::new(now);
    }

    /// Lowers or raises the limit as the samples of the window require. A limit that is still that of the machine type
    /// is only lowered.
    fn evaluate(&mut self, limit: f64, proxy_fraction: f64) {
        if self.window.mean() > 1.0 {
            self.own_limit = limit * DECREASE_FACTOR;
            self.source = LimitSource::Windows;
        } else if self.window.was_near_limit() && self.source == LimitSource::Windows {
            self.own_limit = limit + proxy_fraction.max(limit * MIN_INCREASE_FRACTION);
        }
    }

    /// Records the service time of a load report, given the mean service time of the machine type, both in
    /// milliseconds.
    ///
    /// Deviation from plain AIMD: a proxy whose share of the machine type's limit is below one slot sends to a backend
    /// once in many seconds, too seldom for windows. The backend's limit is then set at once to that of the machine
    /// type, times a factor: the mean service time of the machine type over that of the backend, within bounds. A
    /// slower backend, whatever the cause, thus receives less from all proxies alike. A factor older than
    /// [`REPORT_TTL`] is dropped when the limit of the machine type is next evaluated.
    pub(crate) fn record_service_time(
        &mut self,
        now: Micros,
        reported_ms: f64,
        mean_ms: f64,
        machine_type_limit: f64,
    ) {
        let factor = (mean_ms / reported_ms).clamp(MIN_REPORT_FACTOR, MAX_REPORT_FACTOR);
        self.report_factor = factor;
        self.reported_at = now;
        if self.source != LimitSource::Windows && machine_type_limit < 1.0 {
            self.source = LimitSource::LoadReport;
            self.own_limit = machine_type_limit * factor;
        }
    }

    /// Sets the limit to that of the machine type, scaled by a recent load report, unless the backend's own windows
    /// still determine the limit. Reports whether the limit was set.
    ///
    /// The windows determine the limit, once they have lowered it, while the backend has a slot or its window is at
    /// most [`UNSAMPLED_AFTER`] old.
    pub(crate) fn use_machine_type_limit(
        &mut self,
        now: Micros,
        slots: i64,
        machine_type_limit: f64,
    ) -> bool {
        let is_sampled = slots > 0 || now <= self.window.started_at() + UNSAMPLED_AFTER;
        if self.source == LimitSource::Windows && is_sampled {
            return false;
        }
        let has_recent_report = machine_type_limit < 1.0 && now < self.reported_at + REPORT_TTL;
        self.source = if has_recent_report {
            LimitSource::LoadReport
        } else {
            LimitSource::MachineType
        };
        self.own_limit = machine_type_limit * self.report_factor;
        true
    }
}
