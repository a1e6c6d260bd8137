//! The traffic of a scenario: classes of requests, tenants, load, and how clients behave.

use crate::units::milliseconds;
use serde::{Deserialize, Serialize};
use tillerproxy::api;

/// How work varies about its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "distribution")]
pub enum WorkDistribution {
    /// Not at all.
    #[default]
    #[serde(rename = "none")]
    Constant,
    /// Exponentially.
    Exponential,
    /// Log-normally.
    Lognormal {
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// The request may run any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// Backends drop repeats of an idempotency key for a while.
    Keyed,
    /// The request must not run twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The backends that drop a repeated request with the same idempotency key.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyScope {
    /// Every backend.
    #[default]
    #[serde(rename = "all")]
    AllBackends,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Its part of the requests; parts are scaled to add up to 1.
    #[serde(rename = "share")]
    pub traffic_weight: f64,
    /// Mean work, milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// How work varies.
    #[serde(default, rename = "spread")]
    pub work_distribution: WorkDistribution,
    /// The latency objective: a response within this span earns the full priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long a client waits in all.
    #[serde(rename = "deadline_ms")]
    pub timeout_ms: f64,
    /// Priority weight of a response within the latency objective.
    #[serde(default = "default_priority_weight", rename = "worth")]
    pub priority_weight: f64,
    /// The part of the priority weight that a response past the latency objective still earns.
    #[serde(default, rename = "late_worth")]
    pub late_weight_factor: f64,
    /// What a repeat does.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For keyed classes: which backends drop a repeat.
    #[serde(default, rename = "key_group")]
    pub key_scope: KeyScope,
    /// For keyed classes: how long backends remember a key.
    #[serde(default = "default_key_ttl_ms")]
    pub key_ttl_ms: f64,
}

fn default_priority_weight() -> f64 {
    1.0
}

fn default_key_ttl_ms() -> f64 {
    1_500.0
}

impl ClassSettings {
    /// Converts the class to the decision module's settings.
    #[must_use]
    pub fn to_class(&self) -> api::Class {
        api::Class {
            latency_objective: milliseconds(self.latency_objective_ms),
            objective_work_factor: 0.0,
            timeout: milliseconds(self.timeout_ms),
            priority_weight: self.priority_weight,
            late_weight_factor: self.late_weight_factor,
            idempotency: self.to_idempotency(),
        }
    }

    fn to_idempotency(&self) -> api::Idempotency {
        match self.idempotency {
            Idempotency::Idempotent => api::Idempotency::Idempotent,
            Idempotency::NonIdempotent => api::Idempotency::NonIdempotent,
            Idempotency::Keyed => api::Idempotency::Keyed {
                scope: match self.key_scope {
                    KeyScope::AllBackends => api::KeyScope::AllBackends,
                    KeyScope::Zone => api::KeyScope::Zone,
                    KeyScope::Cell => api::KeyScope::Cell,
                },
                ttl: milliseconds(self.key_ttl_ms),
            },
        }
    }
}

/// The tenants and how traffic spreads over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSettings {
    /// How many there are.
    pub count: u16,
    /// Exponent of the Zipf distribution of their traffic; 0: all alike.
    #[serde(default)]
    pub skew: f64,
    /// A tenant's quota as a multiple of its usual traffic.
    #[serde(default = "default_quota_factor", rename = "allowance")]
    pub quota_factor: f64,
    /// Priority weight of a request over its tenant's quota, as a part of its class's weight.
    #[serde(default = "default_over_quota_weight", rename = "over_share_worth")]
    pub over_quota_weight: f64,
}

fn default_quota_factor() -> f64 {
    1.5
}

fn default_over_quota_weight() -> f64 {
    0.1
}

/// How much clients request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Offered work as a part of the capacity of all backends.
    #[serde(rename = "fraction")]
    pub utilization: f64,
    /// Standard deviation of the logarithm of the proxies' traffic; 0: all alike.
    #[serde(default)]
    pub proxy_skew: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Attempts of a client for one call, the first included.
    #[serde(rename = "tries")]
    pub max_attempts: u8,
    /// Timeout of one attempt, as a part of the class's timeout.
    #[serde(rename = "try_timeout")]
    pub attempt_timeout_fraction: f64,
    /// Mean backoff before a retry (exponential).
    #[serde(rename = "retry_wait_ms")]
    pub mean_backoff_ms: f64,
    /// Part of the clients that honor a rejection's retry-after.
    #[serde(rename = "heeds_retry_after")]
    pub honors_retry_after: f64,
    /// Part of the clients that disconnect before their response.
    #[serde(rename = "leaves")]
    pub disconnect_fraction: f64,
    /// How long the front load balancer goes on sending clients to a dead proxy.
    #[serde(rename = "notices_dead_proxy_s")]
    pub dead_proxy_detection_s: f64,
    /// One-way latency between clients and proxies.
    pub latency_ms: f64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            attempt_timeout_fraction: 0.5,
            mean_backoff_ms: 50.0,
            honors_retry_after: 0.8,
            disconnect_fraction: 0.0,
            dead_proxy_detection_s: 2.0,
            latency_ms: 0.25,
        }
    }
}
