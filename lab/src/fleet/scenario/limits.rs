//! What proxies may do, and the figures of the safety rules.

use serde::{Deserialize, Serialize};

/// The most attempts for one request that the emulation keeps track of.
pub const MAX_TRACKED_ATTEMPTS: u16 = 4;

/// What a proxy may do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PermissionSettings {
    /// Attempts for one request, the first included.
    pub max_attempts: u16,
    /// Whether requests may be hedged: two attempts in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// An idle connection closes after this time.
    #[serde(rename = "conn_idle_s")]
    pub idle_timeout_s: f64,
    /// The longest retry-after that clients honor.
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: f64,
    /// Cost of an attempt in another zone, as a part of a mean request's priority weight.
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

/// Figures of the safety rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SafetySettings {
    /// A proxy without a watch is held to the endpoint list as of this long ago.
    #[serde(rename = "ask_within_s")]
    pub poll_interval_s: f64,
    /// The part of its capacity that a backend has when its slow start begins.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_capacity: f64,
    /// The time after its start at which a backend has its full capacity.
    #[serde(rename = "cold_time_s")]
    pub slow_start_duration_s: f64,
    /// Sent more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub collapse_load_factor: f64,
    /// ... for this long, a backend that warms up collapses.
    #[serde(rename = "fall_time_s")]
    pub collapse_time_s: f64,
    /// Nothing new goes to a backend this long after a proxy was informed that it drains or was removed.
    pub drain_grace_s: f64,
    /// Time past a client's deadline in which a final answer still counts.
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
