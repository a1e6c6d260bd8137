//! Scenario of the `slopes` experiment: measured sizes, load, target size and budgets.

mod defaults;
mod validation;

pub use validation::{MAX_BACKENDS, MAX_REPETITIONS};

use serde::{Deserialize, Serialize};

/// Scenario of a run of `slopes`. A key that a scenario file leaves out has its built-in value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlopesScenario {
    /// Numbers of backends at which costs are measured, ascending.
    pub sizes: Vec<u32>,
    /// Number of repetitions of each measurement, each with a new balancer.
    pub repetitions: u32,
    /// Requests that the measured proxy receives.
    pub load: Load,
    /// Zones and machine types of the fleet, and its numbers of tenants and classes in sweeps that do not vary them.
    pub fleet: FleetShape,
    /// Numbers of membership changes that one repetition measures.
    pub changes: Changes,
    /// Sweeps over tenants, classes, proxies and open requests.
    pub sweeps: Sweeps,
    /// Size of the target fleet, at which costs are measured and to which the fits are extrapolated.
    pub target: Target,
    /// Budgets of the costs at the target.
    pub budgets: Budgets,
}

/// Requests that the measured proxy receives: their rate, their service times and their tenants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Mean arrival rate of a Poisson process, requests per second.
    pub requests_per_second: f64,
    /// Mean service time in milliseconds; half of it is constant, half is exponentially distributed.
    pub latency_ms: f64,
    /// Number of requests that arrive before the measurement begins.
    pub warm_up_requests: u32,
    /// Minimum number of requests that one repetition measures.
    pub measured_requests: u32,
    /// Mean number of requests in a batch. The requests of a batch arrive at the same virtual time. Batches are at most
    /// 50 ms apart, so they are smaller at low rates.
    pub batch_requests: f64,
    /// Exponent of the Zipf distribution of requests over tenants; 0 is a uniform distribution.
    pub tenant_skew: f64,
    /// Time from the proxy's start until its first request arrives, in seconds. The tenants' token buckets are nearly
    /// empty at start, and a request is compared with the demand of all tenants only if it gets no token. At 0 seconds
    /// nearly every request of a small tenant gets no token.
    pub proxy_age_seconds: f64,
}

/// Zones and machine types of the fleet, and its numbers of tenants and classes in sweeps that do not vary them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetShape {
    /// Number of zones; backends are assigned to them in turn.
    pub zones: u32,
    /// Number of machine types.
    #[serde(rename = "kinds")]
    pub machine_types: u32,
    /// Number of tenants outside the sweep over tenants.
    pub tenants: u32,
    /// Number of request classes outside the sweep over classes.
    pub classes: u32,
    /// Minimum number of proxies. Above this number, proxies and backends have the same ratio as at the target.
    #[serde(rename = "least_proxies")]
    pub min_proxies: u32,
}

/// Numbers of membership changes that one repetition measures.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Number of changes of a single endpoint, for each kind of change.
    pub entries: u32,
    /// Number of changes of a whole zone; up to 25 times this number in fleets of fewer than 1,000 backends.
    pub zones: u32,
    /// Number of complete lists of each kind, unchanged and replaced; up to 25 times this number in fleets of fewer
    /// than 1,000 backends.
    pub lists: u32,
}

/// Sweeps over sizes other than the number of backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweeps {
    /// Number of backends in the sweeps over tenants and classes.
    pub backends: u32,
    /// Numbers of tenants, ascending.
    pub tenants: Vec<u32>,
    /// Numbers of classes, ascending.
    pub classes: Vec<u32>,
    /// Numbers of proxies, ascending, at the target's number of backends.
    pub proxies: Vec<u32>,
    /// Numbers of open requests at which memory is measured, ascending.
    pub open_requests: Vec<u32>,
}

/// Size of the target fleet, at which costs are measured and to which the fits are extrapolated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// Number of backends.
    pub backends: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Number of tenants.
    pub tenants: u32,
    /// Number of request classes.
    pub classes: u32,
    /// Mean request rate of a proxy, requests per second.
    pub requests_per_second: f64,
    /// Request rate of a hot proxy (one that receives more requests than the mean), as a multiple of the mean rate.
    pub hot_factor: f64,
    /// Number of configuration changes per day.
    pub configuration_changes_per_day: f64,
    /// Number of changes of an endpoint per day.
    pub entry_changes_per_day: f64,
    /// Number of changes of an endpoint per second while many backends restart.
    pub burst_changes_per_second: f64,
    /// Two numbers of backends, ascending; the cost at the larger is compared with the cost at the smaller.
    pub ratio_sizes: [u32; 2],
}

/// Budgets of the costs at the target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Latency that the proxy adds to a request, 99th percentile in milliseconds.
    pub added_ms: f64,
    /// Processor time of membership and configuration changes, percent of a core.
    pub control_core_percent: f64,
    /// Memory of one proxy in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Traffic from discovery to one proxy, bytes per second.
    pub control_bytes_per_second: f64,
    /// Time from the start of a list's transfer until the proxy has applied the list, seconds.
    pub list_seconds: f64,
    /// File descriptors of one proxy.
    pub descriptors: f64,
    /// Cost of a request at the larger of `target.ratio_sizes`, as a multiple of the cost at the smaller.
    pub request_ratio: f64,
    /// Cost of one changed endpoint at the larger of `target.ratio_sizes`, as a multiple of the cost at the smaller.
    pub entry_ratio: f64,
}

impl SlopesScenario {
    /// Returns the number of proxies in a fleet with this number of backends: the target's ratio of proxies to
    /// backends, but at least `fleet.least_proxies`.
    #[must_use]
    pub fn proxies_for(&self, backends: u32) -> u32 {
        let proxies_per_backend = f64::from(self.target.proxies) / f64::from(self.target.backends);
        let proportional = (f64::from(backends) * proxies_per_backend).round() as u32;
        proportional.max(self.fleet.min_proxies)
    }
}
