//! The JSON form of the balancer's settings: each key next to the term that the code uses for it. Durations are in
//! microseconds.

use crate::api::{Micros, SettingKind};
use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct RawSettings {
    #[serde(rename = "me")]
    pub proxy_index: u32,
    #[serde(rename = "balancers")]
    pub proxy_count: u32,
    pub zone: u16,
    #[serde(rename = "failureDomains", default)]
    pub zones: Vec<String>,
    #[serde(rename = "kinds", default)]
    pub machine_types: Vec<String>,
    #[serde(rename = "membershipMode")]
    pub discovery_mode: String,
    #[serde(rename = "familyInfo", default)]
    pub backend_cache: RawBackendCache,
    pub classes: Vec<RawClass>,
    #[serde(default)]
    pub tenants: Vec<RawTenant>,
    #[serde(rename = "overShareWorth", default)]
    pub over_quota_weight: f64,
    #[serde(rename = "penalties", default)]
    pub costs: RawCosts,
    #[serde(rename = "loadReport", default)]
    pub load_report: RawLoadReport,
    pub permissions: RawPermissions,
    pub safety: RawSafety,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawBackendCache {
    #[serde(rename = "warmKeys")]
    pub key_affinity: bool,
}

#[derive(Deserialize)]
pub(super) struct RawClass {
    #[serde(rename = "aimUs")]
    pub latency_objective: Micros,
    #[serde(rename = "aimStretch", default)]
    pub objective_work_factor: f64,
    #[serde(rename = "deadlineUs")]
    pub timeout: Micros,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(rename = "lateWorth", default)]
    pub late_weight_factor: f64,
    #[serde(rename = "effect")]
    pub idempotency: String,
    #[serde(rename = "group", default)]
    pub key_scope: String,
    #[serde(rename = "keyTtlUs", default)]
    pub key_ttl: Micros,
}

#[derive(Deserialize)]
pub(super) struct RawTenant {
    #[serde(rename = "allowancePerS", default)]
    pub quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawCosts {
    #[serde(rename = "crossZone")]
    pub cross_zone: f64,
    #[serde(rename = "probe")]
    pub health_check: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLoadReport {
    pub fields: Vec<String>,
    #[serde(rename = "via")]
    pub sent_with: String,
}

#[derive(Deserialize)]
pub(super) struct RawPermissions {
    #[serde(rename = "maxAttempts")]
    pub max_attempts: u16,
    #[serde(rename = "secondCopies", default)]
    pub hedging: bool,
    #[serde(rename = "cancel", default)]
    pub cancellation: bool,
    #[serde(rename = "probes", default)]
    pub health_checks: bool,
    #[serde(rename = "connIdleUs", default)]
    pub idle_timeout: Micros,
    #[serde(rename = "multiplex", default = "one_request")]
    pub requests_per_connection: u32,
    #[serde(rename = "retryAfter", default)]
    pub retry_after: bool,
    #[serde(rename = "maxRetryAfterUs", default)]
    pub max_retry_after: Micros,
}

#[derive(Deserialize)]
pub(super) struct RawSafety {
    #[serde(rename = "askWithinUs", default)]
    pub poll_interval: Micros,
    #[serde(rename = "coldFrom")]
    pub slow_start_initial_capacity: f64,
    #[serde(rename = "coldUs")]
    pub slow_start_duration: Micros,
    #[serde(rename = "fallMultiple")]
    pub collapse_load_factor: f64,
    #[serde(rename = "fallUs")]
    pub collapse_time: Micros,
}

fn one_request() -> u32 {
    1
}

/// Returns the path of a setting's key, such as `classes[1].lateWorth`.
pub(super) fn key_path(setting: SettingKind) -> String {
    match setting {
        SettingKind::ProxyCount => "balancers".into(),
        SettingKind::ClassCount => "classes".into(),
        SettingKind::LatencyObjective(class) => format!("classes[{class}].aimUs"),
        SettingKind::Timeout(class) => format!("classes[{class}].deadlineUs"),
        SettingKind::PriorityWeight(class) => format!("classes[{class}].worth"),
        SettingKind::LateWeightFactor(class) => format!("classes[{class}].lateWorth"),
        SettingKind::ObjectiveWorkFactor(class) => format!("classes[{class}].aimStretch"),
        SettingKind::Quota(tenant) => format!("tenants[{tenant}].allowancePerS"),
        SettingKind::OverQuotaWeight => "overShareWorth".into(),
        SettingKind::MaxAttempts => "permissions.maxAttempts".into(),
        SettingKind::SlowStartInitialCapacity => "safety.coldFrom".into(),
        SettingKind::CollapseLoadFactor => "safety.fallMultiple".into(),
    }
}
