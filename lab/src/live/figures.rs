//! What a run measures, as it stands in the JSON result.

use super::clients::{RequestCounts, RequestOutcomes};
use super::idle_connections::IdleConnectionMemory;
use super::latency::LatencyQuantiles;
use super::propagation::PropagationFigures;
use super::quantiles::Quantiles;
use serde::Serialize;

/// All figures of a run.
#[derive(Debug, Serialize)]
pub struct LiveFigures {
    /// Load average of the machine before the run.
    pub load_average_before: Option<f32>,
    /// Seconds from the start of each real process until its health check succeeded.
    #[serde(rename = "start_up")]
    pub start_times: Option<Quantiles>,
    /// Propagation of the first list.
    #[serde(rename = "start_spread")]
    pub start_propagation: Option<PropagationFigures>,
    /// Each phase.
    pub phases: Vec<PhaseFigures>,
}

/// The figures of one phase.
#[derive(Debug, Serialize)]
pub struct PhaseFigures {
    /// Kind of the phase.
    pub kind: &'static str,
    /// Whether clients sent requests.
    pub clients: bool,
    /// Its length in seconds.
    pub seconds: f64,
    /// Each real process.
    pub processes: Vec<ProcessFigures>,
    /// The simulated proxies together.
    #[serde(rename = "hollow")]
    pub simulated: SimulatedFigures,
    /// Requests directly to the backends, if there were any.
    pub direct: Option<RequestFigures>,
    /// Propagation of the phase's changes, if there were any.
    #[serde(rename = "spread")]
    pub propagation: Option<PropagationFigures>,
    /// The restart, in such a phase.
    pub restart: Option<RestartFigures>,
    /// Active and draining endpoints of the list once the phase's changes had propagated.
    #[serde(rename = "listed")]
    pub listed_endpoints: usize,
    /// Processor time of the lab itself, as cores.
    pub lab_cores: f64,
    /// How late the timers of the lab fired. What it measures is not exact beyond that.
    #[serde(rename = "lab_timers_late")]
    pub lab_timer_lag: Option<LatencyQuantiles>,
    /// Load average of the machine over one minute, at the end.
    pub load_average: Option<f32>,
}

/// One real process in one phase.
#[derive(Debug, Serialize)]
pub struct ProcessFigures {
    /// Its process id.
    pub pid: u32,
    /// Processor time as a part of one core. Of a process that was started in this phase, since its start.
    pub cores: f64,
    /// Resident memory at the end, in KiB.
    pub resident_kib: u64,
    /// The most resident memory since its start, in KiB.
    pub peak_resident_kib: u64,
    /// Open descriptors at the end.
    pub descriptors: usize,
    /// Bytes a second between it and discovery, both ways.
    pub discovery_bytes_per_s: f64,
    /// Its calls to discovery.
    pub discovery_calls: u64,
    /// `app_known_backends` once the phase's changes had propagated.
    pub known_backends: Option<u64>,
    /// Its clients' requests, if there were any.
    pub requests: Option<RequestFigures>,
    /// Memory of idle connections, in such a phase.
    #[serde(rename = "idle")]
    pub idle_connections: Option<IdleConnectionMemory>,
}

/// The simulated proxies in one phase.
#[derive(Debug, Serialize)]
pub struct SimulatedFigures {
    /// How many there are.
    pub proxies: usize,
    /// Bytes a second between one and discovery, both ways: the mean.
    pub mean_bytes_per_s: f64,
    /// The most of any.
    #[serde(rename = "most_bytes_per_s")]
    pub max_bytes_per_s: f64,
    /// Calls of all.
    pub calls: u64,
}

/// Requests of one load generator in one phase.
#[derive(Debug, Serialize)]
pub struct RequestFigures {
    /// Requests by how they ended.
    pub counts: RequestCounts,
    /// Latency of the served requests.
    pub latency: Option<LatencyQuantiles>,
    /// The part of it that the backend did not take.
    #[serde(rename = "outside")]
    pub outside_backend: Option<LatencyQuantiles>,
    /// What the proxy added: each quantile of `outside_backend` less that of the direct requests.
    #[serde(rename = "added")]
    pub added_by_proxy: Option<AddedLatency>,
}

/// Differences of quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Of the medians.
    pub p50_us: i64,
    /// Of the 99th percentiles.
    pub p99_us: i64,
}

/// A restart of all real processes.
#[derive(Clone, Debug, Serialize)]
pub struct RestartFigures {
    /// Processes restarted.
    pub processes: usize,
    /// Those that ended with exit code 0 on SIGTERM.
    pub ended_cleanly: usize,
    /// Those whose health check succeeded within 10 s of their start.
    #[serde(rename = "up_in_time")]
    pub serving_in_time: usize,
    /// Seconds from SIGTERM to the end.
    pub ended_after: Option<Quantiles>,
    /// Seconds from the start until the health check succeeded, of those in time.
    #[serde(rename = "up_after")]
    pub serving_after: Option<Quantiles>,
}

impl RequestFigures {
    /// Computes the figures of a load generator, beside those of the direct requests.
    #[must_use]
    pub fn new(outcomes: &RequestOutcomes, direct: Option<&RequestOutcomes>) -> Self {
        let outside_backend = outcomes.outside_backend.quantiles();
        let direct_outside = direct.and_then(|direct| direct.outside_backend.quantiles());
        let added_by_proxy = match (outside_backend, direct_outside) {
            (Some(through_proxy), Some(direct)) => Some(AddedLatency {
                p50_us: difference(through_proxy.p50_us, direct.p50_us),
                p99_us: difference(through_proxy.p99_us, direct.p99_us),
            }),
            _ => None,
        };
        Self {
            counts: outcomes.counts,
            latency: outcomes.latency.quantiles(),
            outside_backend,
            added_by_proxy,
        }
    }
}

fn difference(minuend: u64, subtrahend: u64) -> i64 {
    minuend as i64 - subtrahend as i64
}
