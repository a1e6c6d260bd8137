//! The limit of one backend at this proxy.

use super::{
    DECREASE_FACTOR, MAX_LIMIT, MAX_WINDOW_AGE, MIN_INCREASE, MIN_LIMIT, MIN_WINDOW, Window,
};
use crate::api::Micros;
use crate::balancer::time::SECOND;

/// A backend without a slot whose window is older than this takes the limit of its machine type.
const UNSAMPLED_AFTER: Micros = 2 * SECOND;
/// The least and the most that a load report scales the limit of the machine type by.
const MIN_REPORT_FACTOR: f64 = 0.1;
const MAX_REPORT_FACTOR: f64 = 1.5;
/// How long the factor of a load report holds.
const REPORT_TTL: Micros = 5 * SECOND;

/// A limit counts as nearly reached when three quarters of the slots are taken.
const NEAR_LIMIT_PART: i64 = 3;
const NEAR_LIMIT_DIVISOR: i64 = 4;

/// Where a backend's limit comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSource {
    /// The limit of its machine type; its own windows have not been evaluated recently.
    #[default]
    MachineType,
    /// The limit of its machine type, scaled by its load report.
    LoadReport,
    /// Its own windows.
    Windows,
}

/// The limit of one backend at this proxy.
#[derive(Default)]
pub(crate) struct BackendLimit {
    source: LimitSource,
    /// The limit of its own, where it has one.
    own_limit: f64,
    window: Window,
    /// The factor of its last load report.
    report_factor: f64,
    reported_at: Micros,
}

impl BackendLimit {
    /// Forgets the windows and load reports of the backend's previous process.
    pub(crate) fn reset(&mut self, now: Micros) {
        self.source = LimitSource::MachineType;
        self.window = Window::new(now);
        self.report_factor = 1.0;
        self.reported_at = now;
    }

    /// Returns where the limit comes from.
    pub(crate) fn source(&self) -> LimitSource {
        self.source
    }

    /// Returns the limit. `machine_type_limit` is this proxy's part of the limit of the machine type.
    pub(crate) fn value(&self, machine_type_limit: f64) -> f64 {
        match self.source {
            LimitSource::MachineType => machine_type_limit,
            LimitSource::LoadReport | LimitSource::Windows => self.own_limit,
        }
    }

    /// Notes how many of the slots are taken when an attempt starts.
    pub(crate) fn record_in_flight(&mut self, in_flight: u32, slots: i64) {
        let is_near_limit = i64::from(in_flight) * NEAR_LIMIT_DIVISOR >= slots * NEAR_LIMIT_PART;
        if is_near_limit {
            self.window.mark_near_limit();
        }
    }

    /// Adds a sample, and takes the AIMD step if the window is complete. `proxy_fraction` is this proxy's part of the
    /// backend.
    ///
    /// Departure: a window stays open until it has enough samples, up to an age.
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
        if age < MIN_WINDOW || (!has_enough_samples && age < MAX_WINDOW_AGE) {
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

    fn evaluate(&mut self, limit: f64, proxy_fraction: f64) {
        if self.window.mean() > 1.0 {
            self.own_limit = limit * DECREASE_FACTOR;
            self.source = LimitSource::Windows;
        } else if self.window.was_near_limit() && self.source == LimitSource::Windows {
            self.own_limit = limit + proxy_fraction.max(limit * MIN_INCREASE);
        }
    }

    /// Takes the service time of a load report beside the mean of the machine type, both in milliseconds.
    ///
    /// Departure: a proxy with few slots meets a backend once in many seconds, too seldom for windows. The limit is then
    /// at once that of the machine type, scaled by how the backend compares with others of its type: a backend that is
    /// slower, for whatever cause, gets less from all proxies alike. The factor expires when no response came for a while.
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

    /// Returns to the limit of the machine type, where there was no sample for a while; returns whether it did.
    pub(crate) fn follow_machine_type(
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
