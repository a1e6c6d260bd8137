//! Settings of the discovery service.

use serde::{Deserialize, Serialize};

/// Settings of the discovery service that all proxies share. The service is located in the first region.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// Time from a change until discovery detects it, milliseconds.
    #[serde(rename = "notice_ms")]
    pub detection_delay_ms: f64,
    /// Interval between publications, milliseconds. Changes detected within an interval are published together.
    pub publish_interval_ms: f64,
    /// Maximum rate, per second, of calls that begin a watch or fetch the full list. These calls are processed one
    /// after another.
    pub calls_per_s: f64,
    /// Maximum rate, per second, of responses to standing watches, which share the queue of calls. If omitted,
    /// these responses are sent all at once, without being queued.
    #[serde(rename = "answers_per_s")]
    pub watch_responses_per_s: Option<f64>,
    /// Time in the queue after which a call fails, milliseconds.
    #[serde(rename = "longest_turn_ms")]
    pub queue_timeout_ms: f64,
    /// One-way latency to every proxy, milliseconds.
    pub latency_ms: f64,
    /// Size of an endpoint in a response, bytes.
    #[serde(rename = "entry_bytes")]
    pub endpoint_bytes: u32,
    /// Size of a call, and of a response without endpoints, bytes.
    pub call_bytes: u32,
    /// Number of changes that discovery remembers. A proxy that is further behind gets the full list.
    #[serde(rename = "history")]
    pub history_limit: usize,
    /// Whether all proxies hold a standing watch when the simulation starts, as after a long run.
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
