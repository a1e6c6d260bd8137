//! Clients: when they send which requests, which proxy they reach, and what they do with a response.
//!
//! A client makes a call ([`ClientCall`]) and sends it in one or more attempts; each attempt is a request to a
//! proxy.

mod arrivals;
mod front;
mod quotas;
mod retry;
mod traffic;
mod weighted;

pub use arrivals::ArrivalProcess;
pub use front::{FrontLoadBalancer, TrafficShift};
pub use quotas::TenantQuotas;
pub use retry::{AttemptFailure, RetryPolicy};
pub use traffic::TrafficMix;

use tillerproxy::api::{ClassIndex, Micros, TenantIndex, Zone};

/// What a client wants, with all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct ClientCall {
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant.
    pub tenant: TenantIndex,
    /// The client's zone, before traffic shifts.
    pub zone: Zone,
    /// The key of the data that it is about.
    pub key: u64,
    /// Work, microseconds on a core of speed 1.
    pub work: f64,
    /// Priority weight of a response within the latency objective; lower than its class's over its tenant's
    /// quota.
    pub priority_weight: f64,
    /// When the client made it.
    pub started_at: Micros,
    /// Attempts so far.
    pub attempts: u8,
    /// Number in 0..1 that chooses the proxy of the first attempt.
    pub proxy_draw: f64,
    /// Number in 0..1 that decides whether a traffic shift moves it.
    pub shift_draw: f64,
    /// Number in 0..1 that decides whether and when the client disconnects.
    pub disconnect_draw: f64,
    /// Whether it has ended.
    pub ended: bool,
}
