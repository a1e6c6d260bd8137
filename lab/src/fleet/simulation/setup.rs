//! Conversion of a scenario to the settings of the simulation's parts.

use crate::fleet::backend::{LOAD_REPORT_FIELDS, SlowStartModel};
use crate::fleet::client::TrafficMix;
use crate::fleet::metrics::Metrics;
use crate::fleet::rules::RuleLimits;
use crate::fleet::scenario::{ClassSettings, FleetScenario};
use crate::fleet::topology::Topology;
use crate::units::{micros_from_milliseconds, micros_from_seconds};
use tillerproxy::api::{
    DiscoveryMode, LoadReportFields, Permissions, SafetyLimits, Settings, Tenant, TenantIndex, Zone,
};

/// Returns the policy settings of proxy 0; those of the other proxies differ in index and zone.
pub(super) fn settings(
    scenario: &FleetScenario,
    topology: &Topology,
    traffic: &TrafficMix,
) -> Settings {
    let tenants = scenario.tenants.as_ref();
    Settings {
        proxy_index: 0,
        proxy_count: scenario.fleet.proxies,
        zone: Zone(0),
        zone_count: topology.zone_count,
        machine_type_count: scenario.machine_types.len() as u8,
        discovery_mode: DiscoveryMode::Polled,
        key_affinity: false,
        classes: scenario
            .classes
            .iter()
            .map(ClassSettings::to_class)
            .collect(),
        tenants: tenant_quotas(scenario, traffic),
        over_quota_weight: tenants.map_or(1.0, |tenants| tenants.over_quota_weight),
        cross_zone_cost: scenario.permissions.cross_zone_cost,
        health_check_cost: 0.0,
        load_report: if scenario.backends.load_reports {
            LOAD_REPORT_FIELDS
        } else {
            LoadReportFields::default()
        },
        load_report_by_health_check: false,
        permissions: permissions(scenario),
        safety: safety_limits(scenario),
    }
}

/// Returns the quota of each tenant: a multiple of the tenant's usual traffic.
fn tenant_quotas(scenario: &FleetScenario, traffic: &TrafficMix) -> Vec<Tenant> {
    let Some(tenants) = &scenario.tenants else {
        return Vec::new();
    };
    (0..tenants.count)
        .map(|index| {
            let usual_rate = traffic.tenant_fraction(TenantIndex(index)) * traffic.calls_per_s;
            Tenant {
                quota_per_s: usual_rate * tenants.quota_factor,
            }
        })
        .collect()
}

/// Returns the permissions of a proxy.
fn permissions(scenario: &FleetScenario) -> Permissions {
    let permissions = &scenario.permissions;
    Permissions {
        max_attempts: permissions.max_attempts,
        hedging: permissions.hedging,
        cancellation: permissions.cancellation,
        health_checks: false,
        idle_timeout: micros_from_seconds(permissions.idle_timeout_s),
        requests_per_connection: 1,
        max_retry_after: Some(micros_from_milliseconds(permissions.max_retry_after_ms)),
    }
}

/// Returns the parameters of the safety rules.
fn safety_limits(scenario: &FleetScenario) -> SafetyLimits {
    let safety = &scenario.safety;
    SafetyLimits {
        poll_interval: micros_from_seconds(safety.poll_interval_s),
        slow_start_initial_capacity: safety.slow_start_initial_capacity,
        slow_start_duration: micros_from_seconds(safety.slow_start_duration_s),
        collapse_load_factor: safety.collapse_load_factor,
        collapse_time: micros_from_seconds(safety.collapse_time_s),
    }
}

/// Returns the slow start of the backends and the load at which they collapse.
pub(super) fn slow_start_model(scenario: &FleetScenario) -> SlowStartModel {
    let safety = &scenario.safety;
    SlowStartModel {
        initial_capacity: safety.slow_start_initial_capacity,
        duration: micros_from_seconds(safety.slow_start_duration_s),
        collapse_load_factor: safety.collapse_load_factor,
        collapse_time: micros_from_seconds(safety.collapse_time_s),
        mean_work: micros_from_milliseconds(scenario.mean_work_ms()) as f64,
    }
}

/// Returns the limits that the rule checker applies.
pub(super) fn rule_limits(scenario: &FleetScenario) -> RuleLimits {
    RuleLimits {
        max_attempts: scenario.permissions.max_attempts,
        hedging: scenario.permissions.hedging,
        drain_grace: micros_from_seconds(scenario.safety.drain_grace_s),
    }
}

/// Returns empty metrics for a run of the scenario.
pub(super) fn metrics(scenario: &FleetScenario, topology: &Topology) -> Metrics {
    Metrics::new(
        micros_from_seconds(scenario.duration_s),
        micros_from_seconds(scenario.warmup_s),
        scenario.classes.len(),
        topology.proxies.len(),
    )
}
