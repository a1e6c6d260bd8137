//! Settings of a balancer, fixed while it runs.

use super::{ClassIndex, Micros, Zone};
use thiserror::Error;

/// Which backends drop a repeated request with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend.
    AllBackends,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Repeats are dropped by their idempotency key, within a scope and for a time after the first attempt.
    Keyed {
        /// The backends that know one another's keys.
        scope: KeyScope,
        /// How long they remember a key.
        ttl: Micros,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The latency objective: a response within this span earns the full priority weight.
    pub latency_objective: Micros,
    /// The part of a request's own expected work that is added to the latency objective. (Not used by the decisions.)
    pub objective_work_factor: f64,
    /// How long a client waits in all.
    pub timeout: Micros,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// The part of the priority weight that a response past the latency objective still earns.
    pub late_weight_factor: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all proxies.
    pub quota_per_s: f64,
}

/// The values of a load report that the decisions read, by their position in the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReportFields {
    /// Requests in flight at the backend. (Not used by the decisions.)
    pub in_flight: Option<usize>,
    /// Requests in its queue. (Not used by the decisions.)
    pub queued: Option<usize>,
    /// Recent service time, milliseconds.
    pub service_time_ms: Option<usize>,
}

/// What a proxy may do.
#[derive(Clone, Copy, Debug)]
pub struct Permissions {
    /// Attempts for one request, the first included.
    pub max_attempts: u16,
    /// Whether requests may be hedged: two attempts in flight at once. (The decisions make no use of it.)
    pub hedging: bool,
    /// Whether attempts may be cancelled. (Not used by the decisions: they cancel none.)
    pub cancellation: bool,
    /// Whether backends may be sent health checks. (Not used by the decisions: they send none.)
    pub health_checks: bool,
    /// An idle connection closes after this time.
    pub idle_timeout: Micros,
    /// Requests that one connection carries at the same time.
    pub requests_per_connection: u32,
    /// The longest `Retry-After` that clients follow, where that is known.
    pub max_retry_after: Option<Micros>,
}

/// Figures of the safety rules.
#[derive(Clone, Copy, Debug)]
pub struct SafetyLimits {
    /// The rules take a proxy without a watch to know the endpoint list as of this long ago: it has to poll that often.
    pub poll_interval: Micros,
    /// The part of its capacity that a backend has when its slow start begins.
    pub slow_start_initial_capacity: f64,
    /// The time after its start at which a backend has its full capacity.
    pub slow_start_duration: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_load_factor: f64,
    /// ... for this long, a backend that warms up collapses. (Not used by the decisions.)
    pub collapse_time: Micros,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The list and each change come by themselves. (On real sockets: discovery is an agent on the same machine, which the
    /// proxy calls all the time.)
    Pushed,
    /// The list comes only after [`Action::Subscribe`](super::Action::Subscribe). (On real sockets: discovery is a service
    /// that all proxies share.)
    Polled,
}

/// The settings of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this proxy among all proxies, from 0.
    pub proxy_index: u32,
    /// Number of proxies.
    pub proxy_count: u32,
    /// The zone of this proxy.
    pub zone: Zone,
    /// Number of zones.
    pub zone_count: u16,
    /// Number of machine types.
    pub machine_type_count: u8,
    /// How the endpoint list comes.
    pub discovery_mode: DiscoveryMode,
    /// Whether a backend does less work for a key that it served recently. (Not used by the decisions.)
    pub key_affinity: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a part of its class's weight. (Not used by the decisions:
    /// such a request is never queued.)
    pub over_quota_weight: f64,
    /// Cost of an attempt in another zone, as a part of a mean request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of a health check, in the same unit. (Not used by the decisions.)
    pub health_check_cost: f64,
    /// Where the values of a load report stand.
    pub load_report: LoadReportFields,
    /// Whether load reports come with health checks alone.
    pub load_report_by_health_check: bool,
    /// What is allowed.
    pub permissions: Permissions,
    /// Figures of the safety rules.
    pub safety: SafetyLimits,
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{field}`: {problem}")]
pub struct SettingsError {
    /// Which setting.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Settings {
    /// Returns a class.
    ///
    /// # Panics
    /// If there is no such class.
    #[must_use]
    pub fn class(&self, index: ClassIndex) -> &Class {
        &self.classes[index.index()]
    }

    /// Checks that the figures can be worked with.
    ///
    /// # Errors
    /// The first setting that makes no sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(
            self.proxy_count > 0,
            "balancers",
            "there must be at least one",
        )?;
        check(
            !self.classes.is_empty(),
            "classes",
            "there must be at least one",
        )?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            let field = format!("tenants[{index}].allowance_per_s");
            check(
                is_not_negative(tenant.quota_per_s),
                &field,
                "must be 0 or more",
            )?;
        }
        check(
            is_fraction(self.over_quota_weight),
            "over_share_worth",
            "must lie in 0..=1",
        )?;
        check(
            self.permissions.max_attempts > 0,
            "max_attempts",
            "there must be at least one",
        )?;
        let safety = &self.safety;
        check(
            is_fraction(safety.slow_start_initial_capacity),
            "cold_from",
            "must lie in 0..=1",
        )?;
        let factor = safety.collapse_load_factor;
        check(
            factor.is_finite() && factor > 0.0,
            "fall_multiple",
            "must be above 0",
        )
    }
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let field = |name: &str| format!("classes[{index}].{name}");
        check(self.latency_objective > 0, &field("aim"), "must be above 0")?;
        check(
            self.timeout >= self.latency_objective,
            &field("deadline"),
            "must not be under the aim",
        )?;
        check(
            is_not_negative(self.priority_weight),
            &field("worth"),
            "must be 0 or more",
        )?;
        check(
            is_fraction(self.late_weight_factor),
            &field("late_worth"),
            "must lie in 0..=1",
        )?;
        check(
            is_not_negative(self.objective_work_factor),
            &field("aim_stretch"),
            "must be 0 or more",
        )
    }
}

/// Errors name a setting by the short form of its key in the configuration, such as `cold_from` for `coldFrom` and `aim`
/// for `aimUs`; `docs/GLOSSARY.md` lists the keys.
fn check(holds: bool, field: &str, problem: &str) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError {
        field: field.into(),
        problem: problem.into(),
    })
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
