//! The interface of the balancer: the input ([`Settings`], [`Event`]) and the output ([`Action`]) of a
//! [`Balancer`](crate::balancer::Balancer).
//!
//! The balancer does no I/O and reads no clock. The caller passes the current time with each call, in microseconds.

mod action;
mod event;
mod ids;
mod settings;

pub use action::{Action, LogEvent};
pub use event::{AttemptEnd, Backend, Event, MembershipEvent, Outcome, Readiness, Request};
pub use ids::{BackendId, Cell, ClassIndex, MachineType, Micros, RequestId, TenantIndex, Zone};
pub use settings::{
    AllowedValues, Class, DiscoveryMode, Idempotency, KeyScope, LoadReportFields, Permissions,
    SafetyLimits, SettingKind, Settings, SettingsError, Tenant,
};
