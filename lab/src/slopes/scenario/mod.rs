//! Scenario of the `slopes` experiment: what is swept, the load, the target and its budgets.

mod defaults;
mod validation;

pub use validation::{MAX_BACKENDS, MAX_REPETITIONS};

use serde::{Deserialize, Serialize};

/// All figures of a run of `slopes`; keys that a file leaves out have the built-in values.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlopesScenario {
    /// Numbers of backends to measure at, ascending.
    pub sizes: Vec<u32>,
    /// How often each measurement is repeated, each time with a new balancer.
    pub repetitions: u32,
    /// The requests of the measured proxy.
    pub load: Load,
    /// Sizes of the fleet beside the swept number.
    pub fleet: FleetShape,
    /// How many membership changes one repetition measures.
    pub changes: Changes,
    /// Sweeps over tenants, classes, proxies and open requests.
    pub sweeps: Sweeps,
    /// The size that results are extrapolated to.
    pub target: Target,
    /// What the target may cost.
    pub budgets: Budgets,
}

/// The requests of the measured proxy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Mean arrivals a second; they are a Poisson process.
    pub requests_per_second: f64,
    /// Mean service time, milliseconds: half of it is constant, half exponentially distributed.
    pub latency_ms: f64,
    /// Requests before the measurement begins.
    pub warm_up_requests: u32,
    /// Requests that are measured in one repetition.
    pub measured_requests: u32,
    /// Mean number of requests that arrive between two readings of the clock; fewer where they take longer
    /// than 50 ms to arrive.
    pub batch_requests: f64,
    /// Exponent of the Zipf distribution of requests over tenants; 0 spreads them evenly.
    pub tenant_skew: f64,
    /// Time that the proxy has run when its first request arrives, in seconds. The tenants' token buckets start
    /// nearly empty, and only a request without a token is compared with the demand of all tenants: at 0 that
    /// is nearly every request of a small tenant.
    pub proxy_age_seconds: f64,
}

/// Sizes of the fleet beside the swept number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetShape {
    /// Zones; backends are assigned to them in turn.
    pub zones: u32,
    /// Machine types.
    #[serde(rename = "kinds")]
    pub machine_types: u32,
    /// Tenants where they are not swept.
    pub tenants: u32,
    /// Request classes where they are not swept.
    pub classes: u32,
    /// Least number of proxies; otherwise they are in proportion to the backends, as at the target.
    pub least_proxies: u32,
}

/// How many membership changes one repetition measures.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Changes of a single entry, of each kind.
    pub entries: u32,
    /// Changes of a whole zone; up to 25 times as many in fleets of under 1,000 backends.
    pub zones: u32,
    /// Whole lists, of each kind; more in small fleets as well.
    pub lists: u32,
}

/// Sweeps over other numbers than that of backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweeps {
    /// Backends while tenants and classes are swept.
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

/// The size that results are extrapolated to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// Backends.
    pub backends: u32,
    /// Proxies.
    pub proxies: u32,
    /// Tenants.
    pub tenants: u32,
    /// Request classes.
    pub classes: u32,
    /// Requests a second at one proxy, in the mean over the proxies.
    pub requests_per_second: f64,
    /// Rate of a hot proxy, as a multiple of the mean.
    pub hot_factor: f64,
    /// Changes of configuration a day.
    pub configuration_changes_per_day: f64,
    /// Changed entries of the list of backends a day.
    pub entry_changes_per_day: f64,
    /// Changed entries a second while many backends restart.
    pub burst_changes_per_second: f64,
    /// The two numbers of backends whose costs are compared.
    pub ratio_sizes: [u32; 2],
}

/// What the target may cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Milliseconds added to a request at its 99th percentile.
    pub added_ms: f64,
    /// Percent of a core for control work.
    pub control_core_percent: f64,
    /// Memory of one proxy, megabytes of 10^6 bytes.
    pub memory_mb: f64,
    /// Control bytes a second to one proxy.
    pub control_bytes_per_second: f64,
    /// Seconds until a list is in force.
    pub list_seconds: f64,
    /// File descriptors of one proxy.
    pub descriptors: f64,
    /// A request's cost at the larger of the two compared sizes over that at the smaller.
    pub request_ratio: f64,
    /// The same of one changed entry.
    pub entry_ratio: f64,
}

impl SlopesScenario {
    /// Returns the number of proxies of a fleet with this number of backends: in proportion, as at the target.
    #[must_use]
    pub fn proxies_for(&self, backends: u32) -> u32 {
        let per_backend = f64::from(self.target.proxies) / f64::from(self.target.backends);
        let proportional = (f64::from(backends) * per_backend).round() as u32;
        proportional.max(self.fleet.least_proxies)
    }
}
