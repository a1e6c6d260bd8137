//! The settings of a balancer, which do not change while it runs.

use super::{ClassIndex, Micros, Zone};
use std::fmt;
use thiserror::Error;

/// The backends that share their idempotency keys. Each of them drops a request whose key one of them has executed
/// before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend.
    AllBackends,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// Backends drop a repeated request by its idempotency key, within the key's scope and until the key expires.
    Keyed {
        /// The backends that share their keys: each of them drops a request that another one has executed.
        scope: KeyScope,
        /// Time from the first attempt until the key expires.
        ttl: Micros,
    },
    /// The request must not be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The latency objective: a response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// The latency objective of a request is extended by its expected work times this factor. (The balancer does not
    /// use it.)
    pub objective_work_factor: f64,
    /// Total time for which a client waits for its answer.
    pub timeout: Micros,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response past the latency objective still earns, 0 to 1.
    pub late_weight_factor: f64,
    /// Whether a request of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota over all proxies, in requests per second.
    pub quota_per_s: f64,
}

/// The positions of the known values in a load report; `None` for a value that the reports lack.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReportFields {
    /// Position of the number of requests in flight at the backend. (The balancer does not use it.)
    pub in_flight: Option<usize>,
    /// Position of the number of requests in the backend's queue. (The balancer does not use it.)
    pub queued: Option<usize>,
    /// Position of the recent service time, in milliseconds.
    pub service_time_ms: Option<usize>,
}

/// Limits on the actions of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Permissions {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u16,
    /// Whether requests may be hedged: two attempts in flight at once. (The balancer does not hedge.)
    pub hedging: bool,
    /// Whether attempts may be cancelled. (The balancer does not cancel attempts.)
    pub cancellation: bool,
    /// Whether health checks may be sent to backends. (The balancer does not send
    /// health checks.)
    pub health_checks: bool,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Maximum number of concurrent requests on one connection.
    pub requests_per_connection: u32,
    /// The longest `Retry-After` that clients follow; `None` if it is unknown.
    pub max_retry_after: Option<Micros>,
}

/// Parameters of the safety rules.
#[derive(Clone, Copy, Debug)]
pub struct SafetyLimits {
    /// Maximum time between two polls of the endpoint list by a proxy without a watch. The rules assume that the list
    /// which such a proxy has is at most this old.
    pub poll_interval: Micros,
    /// Fraction of its capacity that a backend has when its slow start begins, 0 to 1.
    pub slow_start_initial_capacity: f64,
    /// Time from a backend's start until it has its full capacity.
    pub slow_start_duration: Micros,
    /// Multiple of its current capacity above which the load on a backend in slow start makes it collapse, if the load
    /// lasts for `collapse_time`.
    pub collapse_load_factor: f64,
    /// Time for which a load above `collapse_load_factor` must last until the backend collapses. (The balancer does not
    /// use it.)
    pub collapse_time: Micros,
}

/// How the endpoint list reaches the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The balancer receives the list and each change without requesting them. In the proxy process, discovery is an
    /// agent on the same machine on which the proxy always holds a watch.
    Pushed,
    /// The balancer receives the list only after [`Action::Subscribe`](super::Action::Subscribe). In the proxy process,
    /// discovery is a service that all proxies share.
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
    /// How the endpoint list reaches the balancer.
    pub discovery_mode: DiscoveryMode,
    /// Whether a backend does less work for a request whose key it served recently. (The balancer does not use it.)
    pub key_affinity: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's weight, 0 to 1. (The balancer
    /// does not use it, because it never queues such a request.)
    pub over_quota_weight: f64,
    /// Cost of an attempt in another zone, as a fraction of a mean request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of a health check, as a fraction of a mean request's priority weight. (The balancer does not use it.)
    pub health_check_cost: f64,
    /// Positions of the values in a load report.
    pub load_report: LoadReportFields,
    /// Whether only responses to health checks carry a load report.
    pub load_report_by_health_check: bool,
    /// Limits on the actions of the proxy.
    pub permissions: Permissions,
    /// Parameters of the safety rules.
    pub safety: SafetyLimits,
}

/// A setting that [`Settings::validate`] checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// [`Settings::proxy_count`].
    ProxyCount,
    /// The number of [`Settings::classes`].
    ClassCount,
    /// [`Class::latency_objective`] of the class with this index.
    LatencyObjective(usize),
    /// [`Class::timeout`] of the class with this index.
    Timeout(usize),
    /// [`Class::priority_weight`] of the class with this index.
    PriorityWeight(usize),
    /// [`Class::late_weight_factor`] of the class with this index.
    LateWeightFactor(usize),
    /// [`Class::objective_work_factor`] of the class with this index.
    ObjectiveWorkFactor(usize),
    /// [`Tenant::quota_per_s`] of the tenant with this index.
    Quota(usize),
    /// [`Settings::over_quota_weight`].
    OverQuotaWeight,
    /// [`Permissions::max_attempts`].
    MaxAttempts,
    /// [`SafetyLimits::slow_start_initial_capacity`].
    SlowStartInitialCapacity,
    /// [`SafetyLimits::collapse_load_factor`].
    CollapseLoadFactor,
}

impl fmt::Display for SettingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ProxyCount => f.write_str("number of proxies"),
            Self::ClassCount => f.write_str("number of classes"),
            Self::LatencyObjective(class) => write!(f, "latency objective of class {class}"),
            Self::Timeout(class) => write!(f, "timeout of class {class}"),
            Self::PriorityWeight(class) => write!(f, "priority weight of class {class}"),
            Self::LateWeightFactor(class) => write!(f, "late weight factor of class {class}"),
            Self::ObjectiveWorkFactor(class) => write!(f, "objective work factor of class {class}"),
            Self::Quota(tenant) => write!(f, "quota of tenant {tenant}"),
            Self::OverQuotaWeight => f.write_str("over-quota weight"),
            Self::MaxAttempts => f.write_str("maximum number of attempts"),
            Self::SlowStartInitialCapacity => f.write_str("initial capacity of slow start"),
            Self::CollapseLoadFactor => f.write_str("collapse load factor"),
        }
    }
}

/// The values that a setting may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedValues {
    /// At least 1.
    AtLeastOne,
    /// Any finite number above 0.
    AboveZero,
    /// Any finite number that is 0 or more.
    ZeroOrMore,
    /// 0 to 1, both included.
    ZeroToOne,
    /// At least the latency objective of the same class, which is given in microseconds.
    AtLeastLatencyObjective(Micros),
}

impl fmt::Display for AllowedValues {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtLeastOne => f.write_str("at least 1"),
            Self::AboveZero => f.write_str("above 0"),
            Self::ZeroOrMore => f.write_str("0 or more"),
            Self::ZeroToOne => f.write_str("0 to 1"),
            Self::AtLeastLatencyObjective(objective) => {
                write!(
                    f,
                    "at least {objective}, the latency objective of the class"
                )
            }
        }
    }
}

/// A setting whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{setting}: found {found}, allowed {allowed}")]
pub struct SettingsError {
    /// The setting.
    pub setting: SettingKind,
    /// The value found, as text.
    pub found: String,
    /// The values that are allowed for the setting.
    pub allowed: AllowedValues,
}

impl Settings {
    /// Returns the class with an index.
    ///
    /// # Panics
    /// If the settings have no class with this index.
    #[must_use]
    pub fn class(&self, index: ClassIndex) -> &Class {
        &self.classes[index.index()]
    }

    /// Checks that each setting has an allowed value.
    ///
    /// # Errors
    /// The first setting whose value is not allowed.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check_count(SettingKind::ProxyCount, self.proxy_count)?;
        check_count(SettingKind::ClassCount, self.classes.len())?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            check_zero_or_more(SettingKind::Quota(index), tenant.quota_per_s)?;
        }
        check_fraction(SettingKind::OverQuotaWeight, self.over_quota_weight)?;
        check_count(SettingKind::MaxAttempts, self.permissions.max_attempts)?;
        self.safety.validate()
    }
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        check(
            self.latency_objective > 0,
            SettingKind::LatencyObjective(index),
            self.latency_objective,
            AllowedValues::AboveZero,
        )?;
        check(
            self.timeout >= self.latency_objective,
            SettingKind::Timeout(index),
            self.timeout,
            AllowedValues::AtLeastLatencyObjective(self.latency_objective),
        )?;
        check_zero_or_more(SettingKind::PriorityWeight(index), self.priority_weight)?;
        check_fraction(
            SettingKind::LateWeightFactor(index),
            self.late_weight_factor,
        )?;
        check_zero_or_more(
            SettingKind::ObjectiveWorkFactor(index),
            self.objective_work_factor,
        )
    }
}

impl SafetyLimits {
    fn validate(&self) -> Result<(), SettingsError> {
        check_fraction(
            SettingKind::SlowStartInitialCapacity,
            self.slow_start_initial_capacity,
        )?;
        let factor = self.collapse_load_factor;
        check(
            factor.is_finite() && factor > 0.0,
            SettingKind::CollapseLoadFactor,
            factor,
            AllowedValues::AboveZero,
        )
    }
}

fn check_count<T>(setting: SettingKind, count: T) -> Result<(), SettingsError>
where
    T: fmt::Display + Default + PartialEq,
{
    let zero = T::default();
    check(count != zero, setting, count, AllowedValues::AtLeastOne)
}

fn check_zero_or_more(setting: SettingKind, value: f64) -> Result<(), SettingsError> {
    let is_allowed = value.is_finite() && value >= 0.0;
    check(is_allowed, setting, value, AllowedValues::ZeroOrMore)
}

fn check_fraction(setting: SettingKind, value: f64) -> Result<(), SettingsError> {
    let is_allowed = (0.0..=1.0).contains(&value);
    check(is_allowed, setting, value, AllowedValues::ZeroToOne)
}

fn check(
    is_allowed: bool,
    setting: SettingKind,
    found: impl fmt::Display,
    allowed: AllowedValues,
) -> Result<(), SettingsError> {
    if is_allowed {
        return Ok(());
    }
    Err(SettingsError {
        setting,
        found: found.to_string(),
        allowed,
    })
}
