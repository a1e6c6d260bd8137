//! The traffic of a scenario: classes of requests, tenants, load, and the behavior of clients.

use crate::units::micros_from_milliseconds;
use serde::{Deserialize, Serialize};
use tillerproxy::api;

/// Distribution of work around its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "distribution")]
pub enum WorkDistribution {
    /// Every request has the mean work.
    #[default]
    #[serde(rename = "none")]
    Constant,
    /// Exponential distribution.
    Exponential,
    /// Log-normal distribution.
    Lognormal {
        /// Standard deviation of the natural logarithm of the work.
        sigma: f64,
    },
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// Backends drop a repeated request by its idempotency key, within the scope of the key and until the key expires.
    Keyed,
    /// The request must not be executed twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The backends that share their idempotency keys and drop a repeated request with the same key.
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
    /// Name of the class.
    pub name: String,
    /// Weight of the class among the requests. Weights are scaled to add up to 1.
    #[serde(rename = "share")]
    pub traffic_weight: f64,
    /// Mean work of a request, milliseconds on a core of speed 1.
    pub work_ms: f64,
    /// Distribution of the work around its mean.
    #[serde(default, rename = "spread")]
    pub work_distribution: WorkDistribution,
    /// Latency objective: a response within this time earns the full priority weight, milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Total time for which a client waits for its answer, milliseconds.
    #[serde(rename = "deadline_ms")]
    pub timeout_ms: f64,
    /// Priority weight of a response within the latency objective.
    #[serde(default = "default_priority_weight", rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response past the latency objective still earns, 0 to 1.
    #[serde(default, rename = "late_worth")]
    pub late_weight_factor: f64,
    /// Whether a request of the class may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Backends that share their idempotency keys; used for keyed classes only.
    #[serde(default, rename = "key_group")]
    pub key_scope: KeyScope,
    /// Time for which backends remember a key, milliseconds; used for keyed classes only.
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
    /// Converts the class to a class of the decision module's settings.
    #[must_use]
    pub fn to_class(&self) -> api::Class {
        api::Class {
            latency_objective: micros_from_milliseconds(self.latency_objective_ms),
            objective_work_factor: 0.0,
            timeout: micros_from_milliseconds(self.timeout_ms),
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
                ttl: micros_from_milliseconds(self.key_ttl_ms),
            },
        }
    }
}

/// The tenants and the distribution of traffic over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSettings {
    /// Number of tenants.
    pub count: u16,
    /// Exponent of the Zipf distribution of the traffic over tenants; 0 gives every tenant the same traffic.
    #[serde(default)]
    pub skew: f64,
    /// A tenant's quota as a multiple of its usual traffic.
    #[serde(default = "default_quota_factor", rename = "allowance")]
    pub quota_factor: f64,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's weight.
    #[serde(default = "default_over_quota_weight", rename = "over_share_worth")]
    pub over_quota_weight: f64,
}

fn default_quota_factor() -> f64 {
    1.5
}

fn default_over_quota_weight() -> f64 {
    0.1
}

/// The load that clients offer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Offered work as a fraction of the capacity of all backends.
    #[serde(rename = "fraction")]
    pub utilization: f64,
    /// Standard deviation of the logarithm of the proxies' traffic; 0 gives every proxy the same traffic.
    #[serde(default)]
    pub proxy_skew: f64,
}

/// The behavior of clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Maximum number of attempts of a client for one call, including the first.
    #[serde(rename = "tries")]
    pub max_attempts: u8,
    /// Timeout of one attempt, as a fraction of the class's timeout.
    #[serde(rename = "try_timeout")]
    pub attempt_timeout_fraction: f64,
    /// Mean of the exponentially distributed backoff before a retry, milliseconds.
    #[serde(rename = "retry_wait_ms")]
    pub mean_backoff_ms: f64,
    /// Fraction of the clients that honor the retry-after of a rejection, 0 to 1.
    #[serde(rename = "heeds_retry_after")]
    pub honors_retry_after: f64,
    /// Fraction of the clients that may disconnect before their response, 0 to 1.
    #[serde(rename = "leaves")]
    pub disconnect_fraction: f64,
    /// Time for which the front load balancer still sends clients to a dead proxy, seconds.
    #[serde(rename = "notices_dead_proxy_s")]
    pub dead_proxy_detection_s: f64,
    /// One-way latency between clients and proxies, milliseconds.
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
