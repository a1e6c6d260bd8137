//! The configuration file of a real process.

use super::scenario::{DiscoveryMode, LiveScenario};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The class of the requests that the lab's clients send; it is safe to repeat.
pub const CLASS: &str = "read";
/// How long a client waits for its answer.
pub const DEADLINE_MS: u64 = 2_000;
/// The only kind of machine.
pub const KIND: &str = "standard";

/// The configuration of process `me`, whose discovery is at `discovery`. `known` is the list that it starts
/// with, in discovery's form.
#[must_use]
pub fn configuration(
    scenario: &LiveScenario,
    me: u32,
    discovery: SocketAddr,
    known: &Value,
) -> Value {
    json!({
        "name": format!("proxy-{me}"),
        "listen": "127.0.0.1:0",
        "operator": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", u64::from(me) + 1),
        "limits": {"memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
        "known": known,
        "settings": settings(scenario, me),
    })
}

/// The list of a process that knows no backends.
#[must_use]
pub fn empty_list() -> Value {
    json!({"revision": 0, "complete": true, "members": []})
}

/// The settings of process `me`, real or hollow.
#[must_use]
pub fn settings(scenario: &LiveScenario, me: u32) -> Value {
    let zones = &scenario.backends.zones;
    let mode = match scenario.discovery.mode {
        DiscoveryMode::Push => "pushed",
        DiscoveryMode::Ask => "on_request",
    };
    json!({
        "me": me,
        "balancers": scenario.proxies(),
        "zone": me as usize % zones.len(),
        "failureDomains": zones,
        "kinds": [KIND],
        "membershipMode": mode,
        "classes": [{"name": CLASS, "aimUs": 500_000, "deadlineUs": DEADLINE_MS * 1_000, "worth": 1.0,
                     "lateWorth": 0.5, "effect": "retryable"}],
        "permissions": {"maxAttempts": 4, "secondCopies": false, "cancel": true, "probes": false,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000},
        "safety": {"askWithinUs": scenario.discovery.ask_within_ms * 1_000, "coldFrom": 0.3,
                   "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000},
    })
}
