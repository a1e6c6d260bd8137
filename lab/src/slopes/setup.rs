//! The size at which one measurement is made, and the module settings of a proxy at that size.

use super::scenario::{FleetShape, Load};
use serde::Serialize;
use serde_json::{Value, json};
use tillerproxy::api::{Settings, SettingsError};
use tillerproxy::simulator::parse_settings;

/// Sum of the tenants' allowances over the requests that the whole fleet gets.
const ALLOWANCE_HEADROOM: f64 = 1.2;

/// Letters that name zones; the scenario allows no more zones.
const LETTERS: u32 = 26;

/// The size of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Setup {
    /// Backends.
    pub backends: u32,
    /// Proxies.
    pub proxies: u32,
    /// Tenants.
    pub tenants: u32,
    /// Request classes.
    pub classes: u32,
    /// Mean arrivals a second at the measured proxy.
    pub requests_per_second: f64,
}

impl Setup {
    /// Settings of the measured proxy, read by the program's own parser.
    ///
    /// # Errors
    /// The setting that the parser refuses.
    pub fn settings(&self, fleet: &FleetShape, load: &Load) -> Result<Settings, SettingsError> {
        parse_settings(self.settings_text(fleet, load).to_string().as_bytes())
    }

    fn settings_text(&self, fleet: &FleetShape, load: &Load) -> Value {
        json!({
            "me": self.proxies / 2,
            "balancers": self.proxies,
            "zone": 0,
            "failureDomains": zone_names(fleet),
            "kinds": kind_names(fleet),
            "membershipMode": "on_request",
            "classes": (0..self.classes).map(class_text).collect::<Vec<_>>(),
            "tenants": self.tenants_text(load),
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

    /// Tenants whose allowances are in proportion to the requests that they send.
    fn tenants_text(&self, load: &Load) -> Vec<Value> {
        let weights: Vec<f64> = (1..=self.tenants)
            .map(|rank| f64::from(rank).powf(-load.tenant_skew))
            .collect();
        let fleet_rate = self.requests_per_second * f64::from(self.proxies) * ALLOWANCE_HEADROOM;
        let total: f64 = weights.iter().sum();
        weights
            .iter()
            .map(|weight| json!({"allowancePerS": fleet_rate * weight / total}))
            .collect()
    }
}

/// Names of the zones, `a` onwards.
#[must_use]
pub fn zone_names(fleet: &FleetShape) -> Vec<String> {
    (0..fleet.zones).map(zone_name).collect()
}

/// Name of one zone.
#[must_use]
pub fn zone_name(zone: u32) -> String {
    char::from_digit(10 + zone % LETTERS, 10 + LETTERS)
        .unwrap_or('a')
        .to_string()
}

/// Names of the kinds of machine, `m1` onwards.
#[must_use]
pub fn kind_names(fleet: &FleetShape) -> Vec<String> {
    (0..fleet.kinds).map(kind_name).collect()
}

/// Name of one kind of machine.
#[must_use]
pub fn kind_name(kind: u32) -> String {
    format!("m{}", kind + 1)
}

/// Classes are safe, keyed and unsafe to repeat in turn.
fn class_text(number: u32) -> Value {
    let (effect, group) = match number % 3 {
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
