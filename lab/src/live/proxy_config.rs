//! Configuration files of real processes, and settings of real and simulated proxies.

use super::scenario::{DiscoveryMode, LiveScenario};
use crate::units::MICROS_PER_MILLISECOND;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Name of the class of all requests of the lab's clients; the class is idempotent.
pub const REQUEST_CLASS: &str = "read";
/// Timeout of a client's request, in milliseconds.
pub const CLIENT_TIMEOUT_MS: u64 = 2_000;
/// Name of the machine type of all endpoints.
pub const MACHINE_TYPE: &str = "standard";

/// Returns the configuration of a real process. `discovery` is the address of discovery for this process;
/// `cached_list` is its initial endpoint list, as discovery serializes it.
#[must_use]
pub fn configuration(
    scenario: &LiveScenario,
    proxy_index: u32,
    discovery: SocketAddr,
    cached_list: &Value,
) -> Value {
    json!({
        "name": format!("proxy-{proxy_index}"),
        "listen": "127.0.0.1:0",
        "operator": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", u64::from(proxy_index) + 1),
        "limits": {"memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
        "known": cached_list,
        "settings": settings(scenario, proxy_index),
    })
}

/// Returns an endpoint list without endpoints.
#[must_use]
pub fn empty_list() -> Value {
    json!({"revision": 0, "complete": true, "members": []})
}

/// Returns the settings of a proxy, real or simulated.
#[must_use]
pub fn settings(scenario: &LiveScenario, proxy_index: u32) -> Value {
    let zones = &scenario.backends.zones;
    let mode = match scenario.discovery.mode {
        DiscoveryMode::Pushed => "pushed",
        DiscoveryMode::Polled => "on_request",
    };
    json!({
        "me": proxy_index,
        "balancers": scenario.proxy_count(),
        "zone": proxy_index as usize % zones.len(),
        "failureDomains": zones,
        "kinds": [MACHINE_TYPE],
        "membershipMode": mode,
        "classes": [request_class()],
        "permissions": permissions(),
        "safety": safety_limits(scenario),
    })
}

fn request_class() -> Value {
    json!({
        "name": REQUEST_CLASS,
        "aimUs": 500_000,
        "deadlineUs": CLIENT_TIMEOUT_MS * MICROS_PER_MILLISECOND,
        "worth": 1.0,
        "lateWorth": 0.5,
        "effect": "retryable",
    })
}

fn permissions() -> Value {
    json!({
        "maxAttempts": 4,
        "secondCopies": false,
        "cancel": true,
        "probes": false,
        "connIdleUs": 15_000_000,
        "multiplex": 1,
        "retryAfter": true,
        "maxRetryAfterUs": 2_000_000,
        "dialTimeoutUs": 250_000,
    })
}

fn safety_limits(scenario: &LiveScenario) -> Value {
    json!({
        "askWithinUs": scenario.discovery.poll_interval_ms * MICROS_PER_MILLISECOND,
        "coldFrom": 0.3,
        "coldUs": 8_000_000,
        "fallMultiple": 3.0,
        "fallUs": 2_000_000,
    })
}
