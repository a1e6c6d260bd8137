//! The result of a run: the measurements for each policy.
//!
//! If a key of the JSON result differs from the name of its field, `serde(rename)` gives the key.

use super::client::TrafficMix;
use super::rules::RuleCounts;
use super::scenario::FleetScenario;
use super::topology::Topology;
use serde::Serialize;

/// The measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Number of emulated proxies.
    pub proxies: usize,
    /// Number of emulated backends.
    pub backends: usize,
    /// Mean rate of the calls of clients, per second.
    pub calls_per_s: f64,
    /// Reports of the policies.
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

/// Counts of calls by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub offered: u64,
    /// Calls answered within the latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    /// Calls answered past the latency objective.
    pub late: u64,
    /// Calls whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls whose last attempt failed.
    pub failed: u64,
    /// Calls whose last attempt timed out.
    pub timed_out: u64,
    /// Calls whose client disconnected.
    #[serde(rename = "left")]
    pub disconnected: u64,
}

/// Metrics of one class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// Counts of the calls by their end.
    pub calls: CallCounts,
    /// Total priority weight of the calls, without those whose client disconnected.
    #[serde(rename = "offered_worth")]
    pub offered_weight: f64,
    /// Total priority weight that responses earned.
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
pub struct TimeSeriesSecond {
    /// Number of the second, from 0.
    pub second: usize,
    /// Counts of the calls made in this second, by their end.
    #[serde(flatten)]
    pub calls: CallCounts,
    /// The 99th percentile of the latency of the answered calls, milliseconds.
    pub p99_ms: f64,
}

/// Distribution of the number of attempts that reached a backend.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BackendLoad {
    /// First percentile.
    pub p1: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
    /// Number of backends that no attempt reached.
    #[serde(rename = "without_any")]
    pub idle_backends: u64,
}

/// Propagation of changes: the time from a change until proxies knew it, in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangePropagation {
    /// Number of publications.
    pub publications: usize,
    /// Median over the publications of the time until half of the proxies knew them.
    pub median_half_s: Option<f64>,
    /// Median over the publications of the time until 99 % of the proxies knew them.
    pub median_p99_s: Option<f64>,
    /// Median over the publications of the time until all proxies knew them.
    pub median_all_s: Option<f64>,
    /// Longest time until half of the proxies knew a publication.
    pub worst_half_s: Option<f64>,
    /// Longest time until 99 % of the proxies knew a publication.
    pub worst_p99_s: Option<f64>,
    /// Longest time until all proxies knew a publication.
    pub worst_all_s: Option<f64>,
    /// Number of publications that some proxy did not know at the end.
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
    /// Endpoints sent, including those of full lists.
    #[serde(rename = "entries")]
    pub endpoints: u64,
    /// Bytes of calls and responses.
    pub bytes: u64,
    /// Mean bytes per second for one proxy.
    pub bytes_per_proxy_s: f64,
    /// Maximum number of bytes in a second.
    pub peak_second_bytes: u64,
    /// Maximum number of calls in a second.
    pub peak_second_calls: u64,
}

/// Counts of the attempts of clients and of proxies.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AttemptCounts {
    /// Attempts of clients: requests to proxies.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts of proxies: requests to backends.
    #[serde(rename = "attempts")]
    pub proxy_attempts: u64,
    /// Attempts of proxies that were sent to another zone.
    pub cross_zone: u64,
    /// Attempts that a backend with a full queue rejected.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Attempts that timed out.
    pub timeouts: u64,
    /// Attempts whose connection could not be established.
    pub connect_failures: u64,
    /// Attempts whose connection was reset.
    pub resets: u64,
}

/// Measurements for one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub policy: String,
    /// Priority weight that responses earned, as a fraction of the offered weight.
    #[serde(rename = "worth_in_time")]
    pub earned_weight_fraction: f64,
    /// Counts of the calls after the warm-up, by their end.
    pub calls: CallCounts,
    /// Metrics by class, after the warm-up.
    pub classes: Vec<NamedClass>,
    /// Latency of the answered calls after the warm-up, from the start of the client's first attempt.
    pub latency: Percentiles,
    /// Attempts of clients and of proxies.
    pub attempts: AttemptCounts,
    /// Distribution of the attempts over the backends.
    pub backend_load: BackendLoad,
    /// Propagation of changes to the proxies.
    #[serde(rename = "change_spread")]
    pub change_propagation: ChangePropagation,
    /// Traffic to and from discovery.
    pub discovery: DiscoveryReport,
    /// Counts of the rule checker.
    pub rules: RuleCounts,
    /// Number of violations of each of the four rules.
    #[serde(rename = "rules_broken")]
    pub rule_violations: [u64; 4],
    /// Number of events of the simulation.
    pub events: u64,
    /// The time series.
    pub seconds: Vec<TimeSeriesSecond>,
}

/// Metrics of a class with its name.
#[derive(Clone, Debug, Serialize)]
pub struct NamedClass {
    /// Name of the class.
    pub name: String,
    /// Metrics of the class.
    #[serde(flatten)]
    pub metrics: ClassMetrics,
}
