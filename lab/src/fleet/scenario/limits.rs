//! Permissions of the proxies and parameters of the safety rules.

use serde::{Deserialize, Serialize};

/// Maximum number of attempts for one request that the simulation can track.
pub const MAX_TRACKED_ATTEMPTS: u16 = 4;

/// Limits on the actions of the proxies: attempts, hedging, cancellation, idle connections and `Retry-After`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PermissionSettings {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u16,
    /// Whether requests may be hedged: two attempts in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Time after which an idle connection is closed, seconds.
    #[serde(rename = "conn_idle_s")]
    pub idle_timeout_s: f64,
    /// Longest retry-after that clients honor, milliseconds.
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: f64,
    /// Cost of an attempt in another zone, as a fraction of a mean request's priority weight.
    #[serde(rename = "cross_zone_price")]
    pub cross_zone_cost: f64,
}

impl Default for PermissionSettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            hedging: false,
            cancellation: true,
            idle_timeout_s: 60.0,
            max_retry_after_ms: 2_000.0,
            cross_zone_cost: 0.022,
        }
    }
}

/// Parameters of the safety rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SafetySettings {
    /// Maximum time between two polls by a proxy without a watch, seconds. The rules treat such a proxy as informed
    /// of the endpoint list as it was this long ago.
    #[serde(rename = "ask_within_s")]
    pub poll_interval_s: f64,
    /// Fraction of its capacity that a backend has when its slow start begins, above 0 and at most 1.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_capacity: f64,
    /// Time from a backend's start until it has its full capacity, seconds.
    #[serde(rename = "cold_time_s")]
    pub slow_start_duration_s: f64,
    /// A backend in slow start collapses if its load exceeds this multiple of its current capacity for
    /// `collapse_time_s`.
    #[serde(rename = "fall_multiple")]
    pub collapse_load_factor: f64,
    /// Time for which the load must exceed `collapse_load_factor` until the backend collapses, seconds.
    #[serde(rename = "fall_time_s")]
    pub collapse_time_s: f64,
    /// Grace period of rule 3 (draining), seconds: time after which a proxy informed that a backend drains or was
    /// removed must not send to that backend.
    pub drain_grace_s: f64,
    /// Grace period of rule 1 (one final answer), milliseconds: time past a client's deadline within which an answer is
    /// not yet counted as missing.
    #[serde(rename = "answer_slack_ms")]
    pub answer_grace_ms: f64,
}

impl Default for SafetySettings {
    fn default() -> Self {
        Self {
            poll_interval_s: 10.0,
            slow_start_initial_capacity: 0.2,
            slow_start_duration_s: 10.0,
            collapse_load_factor: 3.0,
            collapse_time_s: 3.0,
            drain_grace_s: 2.0,
            answer_grace_ms: 20.0,
        }
    }
}
