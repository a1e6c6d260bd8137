//! Measurements of a run, in the form of the JSON result.

use super::clients::{RequestCounts, RequestOutcomes};
use super::idle_connections::IdleConnectionMemory;
use super::latency::LatencyQuantiles;
use super::propagation::PropagationFigures;
use super::quantiles::Quantiles;
use serde::Serialize;

/// Measurements of a run.
#[derive(Debug, Serialize)]
pub struct LiveFigures {
    /// Load average of the machine over one minute, before the run; `None` if it can't be read.
    pub load_average_before: Option<f32>,
    /// Seconds from the start of a real process until its first successful health check.
    #[serde(rename = "start_up")]
    pub startup_durations: Option<Quantiles>,
    /// Propagation of the first endpoint list.
    #[serde(rename = "start_spread")]
    pub start_propagation: Option<PropagationFigures>,
    /// Measurements of each phase, in the order of the scenario.
    pub phases: Vec<PhaseFigures>,
}

/// Measurements of one phase.
#[derive(Debug, Serialize)]
pub struct PhaseFigures {
    /// Kind of the phase, as scenarios name it.
    pub kind: &'static str,
    /// Whether clients sent requests.
    pub clients: bool,
    /// Measured length of the phase in seconds.
    pub seconds: f64,
    /// Measurements of each real process.
    pub processes: Vec<ProcessFigures>,
    /// Measurements of all simulated proxies together.
    #[serde(rename = "hollow")]
    pub simulated: SimulatedFigures,
    /// Requests sent directly to the backends; `None` if none were sent.
    pub direct: Option<RequestFigures>,
    /// Propagation of the changes of the phase; `None` if the phase has no changes.
    #[serde(rename = "spread")]
    pub propagation: Option<PropagationFigures>,
    /// Restart of the real processes; `None` except in a `restart` phase.
    pub restart: Option<RestartFigures>,
    /// Number of active and draining endpoints after the changes of the phase had propagated.
    #[serde(rename = "listed")]
    pub listed_endpoints: usize,
    /// Processor time of the lab itself, in cores.
    pub lab_cores: f64,
    /// Lag of the timers of the lab, which bounds the accuracy of its time measurements.
    #[serde(rename = "lab_timers_late")]
    pub lab_timer_lag: Option<LatencyQuantiles>,
    /// Load average of the machine over one minute, at the end of the phase; `None` if it can't be read.
    pub load_average: Option<f32>,
}

/// Measurements of one real process in one phase.
#[derive(Debug, Serialize)]
pub struct ProcessFigures {
    /// Process id.
    pub pid: u32,
    /// Processor time in cores: since the start of the phase, or since the start of the process if that is later,
    /// divided by the length of the phase.
    pub cores: f64,
    /// Resident memory at the end of the phase, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory since the start of the process, in KiB.
    pub peak_resident_kib: u64,
    /// Open file descriptors at the end of the phase.
    pub descriptors: usize,
    /// Bytes per second between the process and discovery, in both directions.
    pub discovery_bytes_per_s: f64,
    /// Number of calls to discovery.
    pub discovery_calls: u64,
    /// Counter `app_known_backends` after the changes of the phase had propagated; `None` if it can't be read.
    pub known_backends: Option<u64>,
    /// Requests of clients through the process; `None` if the phase has none.
    pub requests: Option<RequestFigures>,
    /// Memory of idle connections; `None` except in an `idle_connections` phase.
    #[serde(rename = "idle")]
    pub idle_connections: Option<IdleConnectionMemory>,
}

/// Measurements of all simulated proxies in one phase.
#[derive(Debug, Serialize)]
pub struct SimulatedFigures {
    /// Number of simulated proxies.
    pub proxies: usize,
    /// Mean over the proxies of the bytes per second between a proxy and discovery, in both directions.
    pub mean_bytes_per_s: f64,
    /// Maximum over the proxies of the bytes per second between a proxy and discovery.
    #[serde(rename = "most_bytes_per_s")]
    pub max_bytes_per_s: f64,
    /// Calls to discovery, summed over the proxies.
    pub calls: u64,
}

/// Requests of one load generator in one phase.
#[derive(Debug, Serialize)]
pub struct RequestFigures {
    /// Number of requests by outcome.
    pub counts: RequestCounts,
    /// Latency of the served requests.
    pub latency: Option<LatencyQuantiles>,
    /// Latency of the served requests without the service time of the backend.
    #[serde(rename = "outside")]
    pub outside_backend: Option<LatencyQuantiles>,
    /// Latency added by the proxy: each quantile of `outside_backend` minus that of the direct requests. `None` if
    /// either has no served request.
    #[serde(rename = "added")]
    pub added_by_proxy: Option<AddedLatency>,
}

/// Latency added by a proxy, as differences of quantiles in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Difference of the medians.
    pub p50_us: i64,
    /// Difference of the 99th percentiles.
    pub p99_us: i64,
}

/// Measurements of a restart of all real processes.
#[derive(Clone, Debug, Serialize)]
pub struct RestartFigures {
    /// Number of restarted processes.
    pub processes: usize,
    /// Number of processes that exited with code 0 on SIGTERM.
    pub ended_cleanly: usize,
    /// Number of processes whose health check succeeded within 10 s of their start.
    #[serde(rename = "up_in_time")]
    pub serving_in_time: usize,
    /// Seconds from SIGTERM to the exit of a process.
    pub ended_after: Option<Quantiles>,
    /// Seconds from the start of a process until its first successful health check, without the processes that were
    /// not in time.
    #[serde(rename = "up_after")]
    pub serving_after: Option<Quantiles>,
}

impl RequestFigures {
    /// Computes the figures of a load generator. `direct` are the requests sent directly to the backends, with which
    /// those through the proxy are compared.
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
