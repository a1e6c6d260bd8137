//! Clients: the calls that they make, the proxies that they reach, and their retries.
//!
//! A client makes a call ([`ClientCall`]) and sends it in one or more attempts; each attempt is a request to a
//! proxy.

mod arrivals;
mod front;
mod quotas;
mod retry;
mod traffic;
mod weighted;

pub use arrivals::{ArrivalProcess, ArrivalSettings};
pub use front::{FrontLoadBalancer, TrafficShift};
pub use quotas::TenantQuotas;
pub use retry::{AttemptFailure, ClientBehavior};
pub use traffic::TrafficMix;

use tillerproxy::api::{ClassIndex, Micros, TenantIndex, Zone};

/// A call of a client, with all attempts that the client makes for it.
#[derive(Clone, Copy, Debug)]
pub struct ClientCall {
    /// Class of the call.
    pub class: ClassIndex,
    /// Tenant of the call.
    pub tenant: TenantIndex,
    /// Zone of the client, before traffic shifts.
    pub zone: Zone,
    /// Key of the data that the call reads or writes.
    pub key: u64,
    /// Work of the call, microseconds on a core of speed 1.
    pub work: f64,
    /// Priority weight of a response within the latency objective. A call over its tenant's quota has a lower weight
    /// than its class.
    pub priority_weight: f64,
    /// Time at which the client made the call.
    pub started_at: Micros,
    /// Number of attempts so far.
    pub attempts: u8,
    /// Uniform draw in 0..1 that selects the proxy of the first attempt.
    pub proxy_draw: f64,
    /// Uniform draw in 0..1 that decides whether a traffic shift applies to the call.
    pub shift_draw: f64,
    /// Uniform draw in 0..1 that decides whether and when the client disconnects.
    pub disconnect_draw: f64,
    /// Whether the call has ended.
    pub ended: bool,
}
