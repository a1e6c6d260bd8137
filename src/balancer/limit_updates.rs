//! Updates of the limits of backends and machine types with samples and load reports.

use super::Balancer;
use super::backends::BackendKey;
use super::capacity::proxy_fraction;
use crate::api::{MachineType, Micros};

impl Balancer {
    /// Returns the fraction of a backend's capacity that this proxy may use.
    pub(super) fn proxy_fraction(&self, key: BackendKey) -> f64 {
        proxy_fraction(&self.settings, self.backends[key].zone)
    }

    /// Returns this proxy's share of the limit of a backend's machine type.
    fn machine_type_limit_of(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        self.machine_type_limit(backend.zone, backend.machine_type)
    }

    /// Updates the limit of a backend with a sample.
    pub(super) fn update_backend_limit(&mut self, now: Micros, key: BackendKey, sample: f64) {
        let fraction = self.proxy_fraction(key);
        let machine_type_limit = self.machine_type_limit_of(key);
        let limit = &mut self.backends[key].limit;
        limit.record(now, sample, machine_type_limit, fraction);
    }

    /// Updates the limit of a machine type with a sample. If the sample completes a window, backends of the type that
    /// have a limit of their own may receive the limit of the type again.
    pub(super) fn update_machine_type_limit(
        &mut self,
        now: Micros,
        machine_type: MachineType,
        sample: f64,
    ) {
        let limit = &mut self.machine_type_limits[machine_type.index()];
        if !limit.record(now, sample) {
            return;
        }
        let is_of_type = |&key: &BackendKey| self.backends[key].machine_type == machine_type;
        let with_own_limit: Vec<BackendKey> = self
            .index
            .with_own_limit()
            .iter()
            .copied()
            .filter(is_of_type)
            .collect();
        for key in with_own_limit {
            self.use_machine_type_limit(now, key);
        }
    }

    /// Replaces a backend's own limit with that of its machine type, unless the backend's windows still determine its
    /// limit.
    fn use_machine_type_limit(&mut self, now: Micros, key: BackendKey) {
        let machine_type_limit = self.machine_type_limit_of(key);
        let slots = self.slots(key, self.capacity.limit_factor());
        let limit = &mut self.backends[key].limit;
        if limit.use_machine_type_limit(now, slots, machine_type_limit) {
            self.reindex(now, key);
        }
    }

    /// Updates the limit of a backend with its load report, if the report contains a service time.
    pub(super) fn apply_load_report(&mut self, now: Micros, key: BackendKey, report: &[f32]) {
        let Some(reported_ms) = self.reported_service_time_ms(report) else {
            return;
        };
        let machine_type_limit = self.machine_type_limit_of(key);
        let backend = &mut self.backends[key];
        let of_machine_type = &mut self.machine_type_limits[backend.machine_type.index()];
        let mean_ms = of_machine_type.record_service_time(reported_ms);
        backend
            .limit
            .record_service_time(now, reported_ms, mean_ms, machine_type_limit);
    }

    /// Returns the service time of a load report in milliseconds; `None` unless it is present, finite and positive.
    fn reported_service_time_ms(&self, report: &[f32]) -> Option<f64> {
        let field = self.settings.load_report.service_time_ms?;
        let reported_ms = f64::from(*report.get(field)?);
        (reported_ms.is_finite() && reported_ms > 0.0).then_some(reported_ms)
    }
}
