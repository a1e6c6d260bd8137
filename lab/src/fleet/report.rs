//! The result of a play: what was measured for each policy.

use super::client::Demand;
use super::rules::RuleCounts;
use super::scenario::FleetScenario;
use super::topology::Topology;
use serde::Serialize;

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Proxies that were played.
    pub proxies: usize,
    /// Backends that were played.
    pub backends: usize,
    /// Calls a second that clients make, on average.
    pub calls_per_s: f64,
    /// One report for each policy.
    pub policies: Vec<PolicyReport>,
}

impl FleetReport {
    /// The reports of all policies on one scenario.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology, policies: Vec<PolicyReport>) -> Self {
        Self {
            proxies: topology.proxies.len(),
            backends: topology.machines.len(),
            calls_per_s: Demand::new(scenario, topology).rate,
            policies,
        }
    }
}

/// Calls by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub offered: u64,
    /// Answered within the aim.
    pub in_time: u64,
    /// Answered after it.
    pub late: u64,
    /// Refused at the last try.
    pub refused: u64,
    /// Failed at the last try.
    pub failed: u64,
    /// Without an answer at the last try.
    pub timed_out: u64,
    /// Left by the client.
    pub left: u64,
}

/// The calls of one class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// How they ended.
    pub calls: CallCounts,
    /// Worth asked for.
    pub offered_worth: f64,
    /// Worth earned.
    pub earned_worth: f64,
}

/// Percentiles of latency, milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Half are below.
    pub p50_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// 999 in 1,000 are below.
    pub p999_ms: f64,
}

/// One second of the time series.
#[derive(Clone, Debug, Serialize)]
pub struct SecondReport {
    /// Which second, from 0.
    pub second: usize,
    /// The calls that were first made in it.
    #[serde(flatten)]
    pub calls: CallCounts,
    /// Their latencies.
    pub p99_ms: f64,
}

/// Requests over the backends.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BackendLoad {
    /// One in 100 backends took fewer attempts.
    pub p1: u64,
    /// Half of them took fewer.
    pub p50: u64,
    /// 99 in 100 took fewer.
    pub p99: u64,
    /// The most that one took.
    pub max: u64,
    /// Backends that took none.
    pub without_any: u64,
}

/// How long changes took to be known, seconds from when they happened.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangeSpread {
    /// Publications of changes.
    pub publications: usize,
    /// The median publication: known to half of the proxies.
    pub median_half_s: Option<f64>,
    /// The median publication: known to 99 in 100.
    pub median_p99_s: Option<f64>,
    /// The median publication: known to all.
    pub median_all_s: Option<f64>,
    /// The slowest publication that half of the proxies got to know.
    pub worst_half_s: Option<f64>,
    /// The slowest one that 99 in 100 got to know.
    pub worst_p99_s: Option<f64>,
    /// The slowest one that all got to know.
    pub worst_all_s: Option<f64>,
    /// Publications that some proxy did not know at the end.
    pub not_known_to_all: usize,
}

/// What went over the wire to and from discovery.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DiscoveryReport {
    /// Calls that came.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Whole lists sent.
    pub whole_lists: u64,
    /// Entries sent, those of whole lists included.
    pub entries: u64,
    /// Bytes of calls and answers.
    pub bytes: u64,
    /// Bytes a second for one proxy, on average.
    pub bytes_per_proxy_s: f64,
    /// Bytes of the busiest second.
    pub peak_second_bytes: u64,
    /// Calls of the busiest second.
    pub peak_second_calls: u64,
}

/// Requests of clients and attempts of proxies.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AttemptCounts {
    /// Tries of clients.
    pub tries: u64,
    /// Attempts that proxies made.
    pub attempts: u64,
    /// Attempts that crossed zones.
    pub cross_zone: u64,
    /// Attempts that a full queue turned away.
    pub full: u64,
    /// Attempts that were given up.
    pub timeouts: u64,
    /// Attempts without a connection.
    pub connect_failures: u64,
    /// Attempts whose connection broke.
    pub resets: u64,
}

/// What one policy was measured at.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: String,
    /// Worth earned as a part of the worth asked for.
    pub worth_in_time: f64,
    /// Counted calls by how they ended.
    pub calls: CallCounts,
    /// The same by class.
    pub classes: Vec<NamedClass>,
    /// Latency of what was served, from the first try of the client.
    pub latency: Percentiles,
    /// Tries and attempts.
    pub attempts: AttemptCounts,
    /// Attempts over backends.
    pub backend_load: BackendLoad,
    /// How changes spread.
    pub change_spread: ChangeSpread,
    /// What discovery had to do.
    pub discovery: DiscoveryReport,
    /// How the rules were kept.
    pub rules: RuleCounts,
    /// How often each of the four rules was broken.
    pub rules_broken: [u64; 4],
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
