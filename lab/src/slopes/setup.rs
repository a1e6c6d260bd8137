//! The sizes of the fleet in a measurement, and the settings of the measured proxy at these sizes.

use super::scenario::{FleetShape, Load};
use serde::Serialize;
use serde_json::{Value, json};
use tillerproxy::api::Settings;
use tillerproxy::simulator::{ParseSettingsError, parse_settings};

/// Sum of the tenants' quotas, as a multiple of the request rate of all proxies together.
const QUOTA_HEADROOM_FACTOR: f64 = 1.2;

/// Number of letters that can name a zone; scenarios allow at most this number of zones.
const ZONE_LETTERS: u32 = 26;

/// Sizes of the fleet in one measurement, and the request rate of the measured proxy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Setup {
    /// Number of backends.
    pub backends: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Number of tenants.
    pub tenants: u32,
    /// Number of request classes.
    pub classes: u32,
    /// Mean arrival rate at the measured proxy, requests per second.
    pub requests_per_second: f64,
}

impl Setup {
    /// Returns the settings of the measured proxy, parsed by tillerproxy's own parser.
    ///
    /// # Errors
    /// Returns an error that names the setting that the parser rejects.
    pub fn settings(
        &self,
        fleet: &FleetShape,
        load: &Load,
    ) -> Result<Settings, ParseSettingsError> {
        let json = self.settings_json(fleet, load).to_string();
        parse_settings(json.as_bytes())
    }

    fn settings_json(&self, fleet: &FleetShape, load: &Load) -> Value {
        json!({
            "me": self.proxies / 2,
            "balancers": self.proxies,
            "zone": 0,
            "failureDomains": zone_names(fleet),
            "kinds": machine_type_names(fleet),
            "membershipMode": "on_request",
            "classes": (0..self.classes).map(class_json).collect::<Vec<_>>(),
            "tenants": self.tenants_json(load),
            "overShareWorth": 0.1,
            "penalties": {"crossZone": 0.05, "probe": 0.01},
            "loadReport": {"fields": ["active", "waiting", "avg_ms"], "via": "response"},
            "permissions": {
                "maxAttempts": 3,
                "connIdleUs": 60_000_000,
                "retryAfter": true,
                "maxRetryAfterUs": 1_000_000,
            },
            "safety": {
                "askWithinUs": 10_000_000,
                "coldFrom": 0.2,
                "coldUs": 10_000_000,
                "fallMultiple": 2.5,
                "fallUs": 2_000_000,
            },
        })
    }

    /// Returns the tenants' settings; each quota is in proportion to the requests that the tenant sends.
    fn tenants_json(&self, load: &Load) -> Vec<Value> {
        let weights: Vec<f64> = (1..=self.tenants)
            .map(|rank| f64::from(rank).powf(-load.tenant_skew))
            .collect();
        let total_rate = self.requests_per_second * f64::from(self.proxies) * QUOTA_HEADROOM_FACTOR;
        let total_weight: f64 = weights.iter().sum();
        weights
            .iter()
            .map(|weight| json!({"allowancePerS": total_rate * weight / total_weight}))
            .collect()
    }
}

/// Returns the names of all zones: `a`, `b` and so on.
#[must_use]
pub fn zone_names(fleet: &FleetShape) -> Vec<String> {
    (0..fleet.zones).map(zone_name).collect()
}

/// Returns the name of the zone with this index, a letter.
#[must_use]
pub fn zone_name(zone: u32) -> String {
    char::from_digit(10 + zone % ZONE_LETTERS, 10 + ZONE_LETTERS)
        .unwrap_or('a')
        .to_string()
}

/// Returns the names of all machine types: `m1`, `m2` and so on.
#[must_use]
pub fn machine_type_names(fleet: &FleetShape) -> Vec<String> {
    (0..fleet.machine_types).map(machine_type_name).collect()
}

/// Returns the name of the machine type with this index.
#[must_use]
pub fn machine_type_name(machine_type: u32) -> String {
    format!("m{}", machine_type + 1)
}

/// Returns the settings of the request class with this index. Classes are idempotent, keyed and non-idempotent in turn.
fn class_json(class: u32) -> Value {
    let (effect, group) = match class % 3 {
        0 => ("retryable", ""),
        1 => ("dedup", "all"),
        _ => ("fragile", ""),
    };
    json!({
        "aimUs": 500_000,
        "deadlineUs": 2_000_000,
        "worth": 1.0,
        "lateWorth": 0.2,
        "effect": effect,
        "group": group,
        "keyTtlUs": 600_000,
    })
}
