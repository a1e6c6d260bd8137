//! Scenario of the `slopes` experiment: what is swept, the load, the target and its budgets.

use crate::scenario::{InvalidValue, Scenario};
use serde::{Deserialize, Serialize};

/// Most backends that can be measured; ids and lists stay far below their own bounds.
pub const MOST_BACKENDS: u32 = 50_000;
/// Most proxies of a fleet.
pub const MOST_PROXIES: u32 = 100_000;
/// Most tenants: a request names its tenant by 16 bits.
pub const MOST_TENANTS: u32 = u16::MAX as u32;
/// Most classes: a request names its class by 8 bits.
pub const MOST_CLASSES: u32 = u8::MAX as u32;
/// Most repetitions of a measurement.
pub const MOST_REPETITIONS: u32 = 1_000;
/// Most zones and kinds of machine.
const MOST_GROUPS: u32 = 26;
/// Most requests or open requests of one repetition.
const MOST_EVENTS: u32 = 1_000_000;
/// Bounds of the requests a second of one proxy, and of how many times that a hot proxy gets.
const LEAST_RATE: f64 = 1.0;
const MOST_RATE: f64 = 1e6;
const MOST_HOT_FACTOR: f64 = 1_000.0;
/// The longest mean service time, milliseconds.
const MOST_LATENCY_MS: f64 = 60_000.0;
/// The largest mean batch.
const MOST_BATCH: f64 = 10_000.0;
/// The largest exponent of the distribution over tenants.
const MOST_SKEW: f64 = 10.0;
/// The oldest proxy, seconds: a day.
const MOST_AGE_SECONDS: f64 = 86_400.0;
/// Most membership changes of one repetition.
const MOST_CHANGES: u32 = 100_000;

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
    /// What the fleet has besides the swept number.
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
    /// Mean number of requests that arrive between two readings of the clock; fewer where that takes over 50
    /// ms.
    pub batch_requests: f64,
    /// Exponent of the Zipf distribution of requests over tenants; 0 spreads them evenly.
    pub tenant_skew: f64,
    /// How long the proxy has run when its first request comes. The balancer's token buckets of tenants start
    /// nearly empty, and only a request that finds no token is compared with what all tenants asked: at 0 that
    /// is nearly every request of a small tenant.
    pub proxy_age_seconds: f64,
}

/// What the fleet has besides the swept number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetShape {
    /// Zones; backends are dealt to them in turn.
    pub zones: u32,
    /// Kinds of machine.
    pub kinds: u32,
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

/// Sweeps over what is not the number of backends.
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
    /// How many times the mean a hot proxy gets.
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

impl Default for SlopesScenario {
    fn default() -> Self {
        Self {
            sizes: vec![10, 30, 100, 300, 1_000, 2_000, 6_000],
            repetitions: 5,
            load: Load::default(),
            fleet: FleetShape::default(),
            changes: Changes::default(),
            sweeps: Sweeps::default(),
            target: Target::default(),
            budgets: Budgets::default(),
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            requests_per_second: 282.0,
            latency_ms: 50.0,
            warm_up_requests: 1_000,
            measured_requests: 2_000,
            batch_requests: 8.0,
            tenant_skew: 1.0,
            proxy_age_seconds: 0.0,
        }
    }
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            zones: 5,
            kinds: 3,
            tenants: 100,
            classes: 4,
            least_proxies: 3,
        }
    }
}

impl Default for Changes {
    fn default() -> Self {
        Self {
            entries: 100,
            zones: 4,
            lists: 4,
        }
    }
}

impl Default for Sweeps {
    fn default() -> Self {
        Self {
            backends: 300,
            tenants: vec![1, 10, 100, 1_000, 5_000, 15_000],
            classes: vec![1, 4, 16, 64],
            proxies: vec![3, 30, 100, 300, 710],
            open_requests: vec![100, 300, 1_000],
        }
    }
}

impl Default for Target {
    fn default() -> Self {
        Self {
            backends: 6_000,
            proxies: 710,
            tenants: 15_000,
            classes: 8,
            requests_per_second: 282.0,
            hot_factor: 5.0,
            configuration_changes_per_day: 1_300.0,
            entry_changes_per_day: 3_000.0,
            burst_changes_per_second: 20.0,
            ratio_sizes: [100, 6_000],
        }
    }
}

impl Default for Budgets {
    fn default() -> Self {
        Self {
            added_ms: 1.2,
            control_core_percent: 2.2,
            memory_mb: 256.0,
            control_bytes_per_second: 3_000.0,
            list_seconds: 5.0,
            descriptors: 1_024.0,
            request_ratio: 3.0,
            entry_ratio: 5.0,
        }
    }
}

impl SlopesScenario {
    /// Proxies of a fleet with so many backends: in proportion, as at the target.
    #[must_use]
    pub fn proxies_for(&self, backends: u32) -> u32 {
        let per_backend = f64::from(self.target.proxies) / f64::from(self.target.backends);
        let proportional = (f64::from(backends) * per_backend).round() as u32;
        proportional.max(self.fleet.least_proxies)
    }
}

impl Scenario for SlopesScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        ascending("sizes", &self.sizes, MOST_BACKENDS)?;
        within("repetitions", self.repetitions, 1, MOST_REPETITIONS)?;
        self.load.validate()?;
        self.fleet.validate()?;
        within("changes.entries", self.changes.entries, 1, MOST_CHANGES)?;
        within("changes.zones", self.changes.zones, 1, MOST_CHANGES)?;
        within("changes.lists", self.changes.lists, 1, MOST_CHANGES)?;
        self.sweeps.validate()?;
        self.target.validate()?;
        self.budgets.validate()
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        between(
            "load.requests_per_second",
            self.requests_per_second,
            LEAST_RATE,
            MOST_RATE,
        )?;
        between("load.latency_ms", self.latency_ms, 0.001, MOST_LATENCY_MS)?;
        within(
            "load.warm_up_requests",
            self.warm_up_requests,
            0,
            MOST_EVENTS,
        )?;
        within(
            "load.measured_requests",
            self.measured_requests,
            1,
            MOST_EVENTS,
        )?;
        between("load.batch_requests", self.batch_requests, 0.1, MOST_BATCH)?;
        between("load.tenant_skew", self.tenant_skew, 0.0, MOST_SKEW)?;
        between(
            "load.proxy_age_seconds",
            self.proxy_age_seconds,
            0.0,
            MOST_AGE_SECONDS,
        )
    }
}

impl FleetShape {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("fleet.zones", self.zones, 1, MOST_GROUPS)?;
        within("fleet.kinds", self.kinds, 1, MOST_GROUPS)?;
        within("fleet.tenants", self.tenants, 1, MOST_TENANTS)?;
        within("fleet.classes", self.classes, 1, MOST_CLASSES)?;
        within("fleet.least_proxies", self.least_proxies, 1, MOST_PROXIES)
    }
}

impl Sweeps {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("sweeps.backends", self.backends, 1, MOST_BACKENDS)?;
        ascending("sweeps.tenants", &self.tenants, MOST_TENANTS)?;
        ascending("sweeps.classes", &self.classes, MOST_CLASSES)?;
        ascending("sweeps.proxies", &self.proxies, MOST_PROXIES)?;
        ascending("sweeps.open_requests", &self.open_requests, MOST_EVENTS)
    }
}

impl Target {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("target.backends", self.backends, 1, MOST_BACKENDS)?;
        within("target.proxies", self.proxies, 1, MOST_PROXIES)?;
        within("target.tenants", self.tenants, 1, MOST_TENANTS)?;
        within("target.classes", self.classes, 1, MOST_CLASSES)?;
        between(
            "target.requests_per_second",
            self.requests_per_second,
            LEAST_RATE,
            MOST_RATE,
        )?;
        between("target.hot_factor", self.hot_factor, 0.001, MOST_HOT_FACTOR)?;
        positive(
            "target.configuration_changes_per_day",
            self.configuration_changes_per_day,
        )?;
        positive("target.entry_changes_per_day", self.entry_changes_per_day)?;
        positive(
            "target.burst_changes_per_second",
            self.burst_changes_per_second,
        )?;
        ascending("target.ratio_sizes", &self.ratio_sizes, MOST_BACKENDS)
    }
}

impl Budgets {
    fn validate(&self) -> Result<(), InvalidValue> {
        positive("budgets.added_ms", self.added_ms)?;
        positive("budgets.control_core_percent", self.control_core_percent)?;
        positive("budgets.memory_mb", self.memory_mb)?;
        positive(
            "budgets.control_bytes_per_second",
            self.control_bytes_per_second,
        )?;
        positive("budgets.list_seconds", self.list_seconds)?;
        positive("budgets.descriptors", self.descriptors)?;
        positive("budgets.request_ratio", self.request_ratio)?;
        positive("budgets.entry_ratio", self.entry_ratio)
    }
}

fn invalid(key: &str, given: impl std::fmt::Display, allowed: &str) -> InvalidValue {
    InvalidValue {
        key: key.to_owned(),
        problem: format!("{given} is not allowed; allowed: {allowed}"),
    }
}

fn within(key: &str, given: u32, least: u32, most: u32) -> Result<(), InvalidValue> {
    if (least..=most).contains(&given) {
        return Ok(());
    }
    Err(invalid(key, given, &format!("{least} to {most}")))
}

fn between(key: &str, given: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    if (least..=most).contains(&given) {
        return Ok(());
    }
    Err(invalid(key, given, &format!("{least} to {most}")))
}

fn positive(key: &str, given: f64) -> Result<(), InvalidValue> {
    if given.is_finite() && given > 0.0 {
        return Ok(());
    }
    Err(invalid(key, given, "a finite number above 0"))
}

fn ascending(key: &str, given: &[u32], most: u32) -> Result<(), InvalidValue> {
    let in_order = given.windows(2).all(|pair| pair[0] < pair[1]);
    let in_range = given.iter().all(|value| (1..=most).contains(value));
    if !given.is_empty() && in_order && in_range {
        return Ok(());
    }
    let allowed = format!("one or more numbers of 1 to {most}, ascending");
    Err(invalid(key, format_args!("{given:?}"), &allowed))
}
