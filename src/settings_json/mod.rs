//! Reads the settings of a proxy from JSON text.
//!
//! The simulator sends the settings when it starts a proxy; the proxy process has them in its configuration. `raw` has
//! the keys of the balancer's settings as they are written, and this module converts them to the types of
//! [`crate::api`]. `proxy` has the keys that only the proxy process needs. These are deserialized separately, because
//! the simulator's settings need not have names, and because the errors of both parts are reported in the order in
//! which the configuration is checked.
//!
//! Errors name each setting by the path of its key in the JSON text.

mod proxy;
mod raw;

pub use proxy::Names;

use crate::api::{
    AllowedValues, Class, DiscoveryMode, Idempotency, KeyScope, LoadReportFields, Permissions,
    SafetyLimits, SettingKind, Settings, SettingsError, Tenant, Zone,
};
use proxy::RawProxySettings;
use raw::{RawClass, RawLoadReport, RawPermissions, RawSafety, RawSettings, key_path};
use serde::Deserialize;
use thiserror::Error;

/// The reason why settings in JSON are invalid.
#[derive(Debug, Error)]
pub enum ParseSettingsError {
    /// The text is not JSON, a key is missing, or a value has the wrong type.
    #[error("malformed settings: {0}")]
    Malformed(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// A value is not allowed.
    #[error("setting `{key}`: found {found}, allowed {allowed}")]
    InvalidValue {
        /// Path of the key, such as `classes[1].lateWorth`.
        key: String,
        /// The value found. Text is quoted.
        found: String,
        /// The values that are allowed for the key.
        allowed: String,
    },
}

impl ParseSettingsError {
    /// Returns the error for text that is not one of the allowed values.
    fn unknown_value(key: String, found: &str, allowed: &[&str]) -> Self {
        Self::InvalidValue {
            key,
            found: format!("{found:?}"),
            allowed: allowed.join(", "),
        }
    }
}

impl From<SettingsError> for ParseSettingsError {
    fn from(error: SettingsError) -> Self {
        let allowed = match (error.setting, error.allowed) {
            (SettingKind::Timeout(class), AllowedValues::AtLeastLatencyObjective(objective)) => {
                let key = key_path(SettingKind::LatencyObjective(class));
                format!("at least {objective}, the value of `{key}`")
            }
            (_, allowed) => allowed.to_string(),
        };
        Self::InvalidValue {
            key: key_path(error.setting),
            found: error.found,
            allowed,
        }
    }
}

/// Reads the settings from JSON text. Unknown keys are ignored.
///
/// # Errors
/// The first key that is missing or has an invalid value.
pub fn parse_settings(json: &[u8]) -> Result<Settings, ParseSettingsError> {
    let raw: RawSettings = deserialize(json).map_err(ParseSettingsError::Malformed)?;
    let settings = convert(raw)?;
    settings.validate()?;
    Ok(settings)
}

/// Deserializes the settings that only the proxy process needs.
///
/// # Errors
/// The key that is malformed, with its path.
pub(crate) fn deserialize_proxy_settings(
    json: &[u8],
) -> Result<RawProxySettings, serde_path_to_error::Error<serde_json::Error>> {
    deserialize(json)
}

/// Deserializes the value at the beginning of JSON text. Text after the value is ignored.
///
/// # Errors
/// The key that is missing or malformed, with its path.
pub(crate) fn deserialize<'a, T: Deserialize<'a>>(
    json: &'a [u8],
) -> Result<T, serde_path_to_error::Error<serde_json::Error>> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    serde_path_to_error::deserialize(&mut deserializer)
}

fn convert(raw: RawSettings) -> Result<Settings, ParseSettingsError> {
    let mut classes = Vec::with_capacity(raw.classes.len());
    for (index, class) in raw.classes.iter().enumerate() {
        classes.push(convert_class(index, class)?);
    }
    let mut tenants = Vec::with_capacity(raw.tenants.len());
    for tenant in &raw.tenants {
        tenants.push(Tenant {
            quota_per_s: tenant.quota_per_s,
        });
    }
    Ok(Settings {
        proxy_index: raw.proxy_index,
        proxy_count: raw.proxy_count,
        zone: Zone(raw.zone),
        zone_count: raw.zones.len().max(1) as u16,
        machine_type_count: raw.machine_types.len().clamp(1, usize::from(u8::MAX)) as u8,
        discovery_mode: convert_discovery_mode(&raw.discovery_mode)?,
        key_affinity: raw.backend_cache.key_affinity,
        classes,
        tenants,
        over_quota_weight: raw.over_quota_weight,
        cross_zone_cost: raw.costs.cross_zone,
        health_check_cost: raw.costs.health_check,
        load_report: convert_load_report(&raw.load_report),
        load_report_by_health_check: raw.load_report.sent_with == "probe",
        permissions: convert_permissions(&raw.permissions),
        safety: convert_safety(&raw.safety),
    })
}

fn convert_class(index: usize, raw: &RawClass) -> Result<Class, ParseSettingsError> {
    Ok(Class {
        latency_objective: raw.latency_objective,
        objective_work_factor: raw.objective_work_factor,
        timeout: raw.timeout,
        priority_weight: raw.priority_weight,
        late_weight_factor: raw.late_weight_factor,
        idempotency: convert_idempotency(index, raw)?,
    })
}

fn convert_idempotency(index: usize, raw: &RawClass) -> Result<Idempotency, ParseSettingsError> {
    match raw.idempotency.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NonIdempotent),
        "dedup" => Ok(Idempotency::Keyed {
            scope: convert_key_scope(index, &raw.key_scope)?,
            ttl: raw.key_ttl,
        }),
        other => Err(ParseSettingsError::unknown_value(
            format!("classes[{index}].effect"),
            other,
            &["retryable", "dedup", "fragile"],
        )),
    }
}

fn convert_key_scope(index: usize, raw: &str) -> Result<KeyScope, ParseSettingsError> {
    match raw {
        "all" => Ok(KeyScope::AllBackends),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(ParseSettingsError::unknown_value(
            format!("classes[{index}].group"),
            other,
            &["all", "zone", "cell"],
        )),
    }
}

fn convert_discovery_mode(raw: &str) -> Result<DiscoveryMode, ParseSettingsError> {
    match raw {
        "pushed" => Ok(DiscoveryMode::Pushed),
        "on_request" => Ok(DiscoveryMode::Polled),
        other => Err(ParseSettingsError::unknown_value(
            "membershipMode".into(),
            other,
            &["pushed", "on_request"],
        )),
    }
}

fn convert_load_report(raw: &RawLoadReport) -> LoadReportFields {
    let position = |name: &str| raw.fields.iter().position(|field| field == name);
    LoadReportFields {
        in_flight: position("active"),
        queued: position("waiting"),
        service_time_ms: position("avg_ms"),
    }
}

fn convert_permissions(raw: &RawPermissions) -> Permissions {
    Permissions {
        max_attempts: raw.max_attempts,
        hedging: raw.hedging,
        cancellation: raw.cancellation,
        health_checks: raw.health_checks,
        idle_timeout: raw.idle_timeout,
        requests_per_connection: raw.requests_per_connection,
        max_retry_after: raw.retry_after.then_some(raw.max_retry_after),
    }
}

fn convert_safety(raw: &RawSafety) -> SafetyLimits {
    SafetyLimits {
        poll_interval: raw.poll_interval,
        slow_start_initial_capacity: raw.slow_start_initial_capacity,
        slow_start_duration: raw.slow_start_duration,
        collapse_load_factor: raw.collapse_load_factor,
        collapse_time: raw.collapse_time,
    }
}
