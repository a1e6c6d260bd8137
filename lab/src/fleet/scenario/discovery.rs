//! The discovery service of a scenario.

use serde::{Deserialize, Serialize};

/// The discovery service that all proxies share. It stands in the first region.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// Time from a change until discovery detects it.
    #[serde(rename = "notice_ms")]
    pub detection_delay_ms: f64,
    /// Changes are published together at this interval.
    pub publish_interval_ms: f64,
    /// Calls a second that begin a watch or fetch the full list, handled one after another.
    pub calls_per_s: f64,
    /// Responses a second to standing watches, from the same queue; all at once where it is missing.
    #[serde(rename = "answers_per_s")]
    pub watch_responses_per_s: Option<f64>,
    /// A call that was queued for longer fails.
    #[serde(rename = "longest_turn_ms")]
    pub queue_timeout_ms: f64,
    /// One-way latency to every proxy.
    pub latency_ms: f64,
    /// Size of an endpoint in a response.
    #[serde(rename = "entry_bytes")]
    pub endpoint_bytes: u32,
    /// Size of a call, and of a response without endpoints.
    pub call_bytes: u32,
    /// Changes that are remembered; a proxy that is further behind gets the full list.
    #[serde(rename = "history")]
    pub history_limit: usize,
    /// Whether all proxies hold a watch at the start, as they do when they have run for long.
    pub standing_watches: bool,
}

impl Default for DiscoverySettings {
    fn default() -> Self {
        Self {
            detection_delay_ms: 500.0,
            publish_interval_ms: 100.0,
            calls_per_s: 150.0,
            watch_responses_per_s: None,
            queue_timeout_ms: 3_000.0,
            latency_ms: 0.5,
            endpoint_bytes: 132,
            call_bytes: 200,
            history_limit: 6_000,
            standing_watches: true,
        }
    }
}
