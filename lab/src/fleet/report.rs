//! The result of a run: what was measured for each policy.
//!
//! Where a key of the JSON result differs from the field's name, `serde(rename)` names the key.

use super::client::TrafficMix;
use super::rules::RuleCounts;
use super::scenario::FleetScenario;
use super::topology::Topology;
use serde::Serialize;

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Proxies that were emulated.
    pub proxies: usize,
    /// Backends that were emulated.
    pub backends: usize,
    /// Calls a second that clients make, on average.
    pub calls_per_s: f64,
    /// One report for each policy.
    pub policies: Vec<PolicyReport>,
}

impl FleetReport {
    /// Collects the reports of all policies on one scenario.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology, policies: Vec<PolicyReport>) -> Self {
        Self {
            proxies: topology.proxies.len(),
            backends: topology.machines.len(),
            calls_per_s: TrafficMix::new(scenario, topology).calls_per_s,
            policies,
        }
    }
}

/// Calls by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub offered: u64,
    /// Answered within the latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// Answered past the latency objective.
    pub late: u64,
    /// Rejected at the last attempt.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed at the last attempt.
    pub failed: u64,
    /// Without an answer at the last attempt.
    pub timed_out: u64,
    /// Ended by the client's disconnection.
    #[serde(rename = "left")]
    pub disconnected: u64,
}

/// The calls of one class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// How they ended.
    pub calls: CallCounts,
    /// Priority weight of all calls.
    #[serde(rename = "offered_worth")]
    pub offered_weight: f64,
    /// Priority weight that responses earned.
    #[serde(rename = "earned_worth")]
    pub earned_weight: f64,
}

/// Percentiles of latency, milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
}

/// One second of the time series.
#[derive(Clone, Debug, Serialize)]
pub struct SecondReport {
    /// Which second, from 0.
    pub second: usize,
    /// The calls that clients made in it.
    #[serde(flatten)]
    pub calls: CallCounts,
    /// The 99th percentile of their latency.
    pub p99_ms: f64,
}

/// Distribution of the attempts over the backends.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BackendLoad {
    /// First percentile of the attempts that reached a backend.
    pub p1: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
    /// Backends that no attempt reached.
    #[serde(rename = "without_any")]
    pub idle_backends: u64,
}

/// How long changes took to reach the proxies, seconds from when they happened.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangePropagation {
    /// Publications of changes.
    pub publications: usize,
    /// The median publication: known to half of the proxies.
    pub median_half_s: Option<f64>,
    /// The median publication: known to 99 in 100.
    pub median_p99_s: Option<f64>,
    /// The median publication: known to all.
    pub median_all_s: Option<f64>,
    /// The slowest publication that half of the proxies came to know.
    pub worst_half_s: Option<f64>,
    /// The slowest one that 99 in 100 came to know.
    pub worst_p99_s: Option<f64>,
    /// The slowest one that all came to know.
    pub worst_all_s: Option<f64>,
    /// Publications that some proxy did not know at the end.
    pub not_known_to_all: usize,
}

/// Traffic to and from discovery.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DiscoveryReport {
    /// Calls received.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Full lists sent.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Endpoints sent, those of full lists included.
    #[serde(rename = "entries")]
    pub endpoints: u64,
    /// Bytes of calls and responses.
    pub bytes: u64,
    /// Bytes a second for one proxy, on average.
    pub bytes_per_proxy_s: f64,
    /// Bytes of the busiest second.
    pub peak_second_bytes: u64,
    /// Calls of the busiest second.
    pub peak_second_calls: u64,
}

/// Attempts of clients and of proxies.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AttemptCounts {
    /// Attempts of clients: requests to proxies.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts of proxies: requests to backends.
    #[serde(rename = "attempts")]
    pub proxy_attempts: u64,
    /// Attempts of proxies that crossed zones.
    pub cross_zone: u64,
    /// Attempts that a backend with a full queue rejected.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Attempts that timed out.
    pub timeouts: u64,
    /// Attempts without a connection.
    pub connect_failures: u64,
    /// Attempts whose connection was reset.
    pub resets: u64,
}

/// What was measured for one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: String,
    /// Priority weight that responses earned, as a part of the weight of all calls.
    #[serde(rename = "worth_in_time")]
    pub earned_weight_fraction: f64,
    /// Calls after the warm-up by how they ended.
    pub calls: CallCounts,
    /// The same by class.
    pub classes: Vec<NamedClass>,
    /// Latency of the calls that were answered, from the client's first attempt.
    pub latency: Percentiles,
    /// Attempts of clients and of proxies.
    pub attempts: AttemptCounts,
    /// Distribution of the attempts over the backends.
    pub backend_load: BackendLoad,
    /// How long changes took to reach the proxies.
    #[serde(rename = "change_spread")]
    pub change_propagation: ChangePropagation,
    /// Traffic to and from discovery.
    pub discovery: DiscoveryReport,
    /// How the safety rules were kept.
    pub rules: RuleCounts,
    /// How often each of the four rules was violated.
    #[serde(rename = "rules_broken")]
    pub rule_violations: [u64; 4],
    /// Events of the simulation.
    pub events: u64,
    /// The time series.
    pub seconds: Vec<SecondReport>,
}

/// A class's figures under its name.
#[derive(Clone, Debug, Serialize)]
pub struct NamedClass {
    /// The class.
    pub name: String,
    /// Its figures.
    #[serde(flatten)]
    pub metrics: ClassMetrics,
}
