//! Settings of other deployments: everything that distinguishes them comes from the configuration.

use serde_json::{Value, json};
use tillerproxy::api::{DiscoveryMode, Idempotency, KeyScope};
use tillerproxy::proxy::config::Config;

fn config(settings: &Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 0.2, "memory_mb": 48, "sockets": 512}, "settings": settings})
}

fn parse(config: &Value) -> Result<Config, String> {
    Config::parse(config.to_string().as_bytes(), |_| None, 1).map_err(|e| e.to_string())
}

fn class(name: &str, effect: &str, group: &str, durations_ms: [u64; 3]) -> Value {
    let [objective, timeout, ttl] = durations_ms.map(|ms| ms * 1_000);
    json!({"name": name, "aimUs": objective, "deadlineUs": timeout, "worth": 2.0, "lateWorth": 0.2, "streamed": false,
           "effect": effect, "group": group, "keyTtlUs": ttl})
}

/// Endpoint lists are pushed, no tenant has a quota, idempotency keys hold in parts of the backends only, nothing may be
/// cancelled.
fn ferries() -> Value {
    json!({"me": 3, "balancers": 6, "zone": 1, "failureDomains": ["bryggen", "laksevag"],
        "kinds": ["fast", "standard", "small"], "membershipMode": "pushed", "tenants": [],
        "loadReport": {"via": "answers", "fields": ["avg_ms", "waiting"]},
        "classes": [class("sailings", "retryable", "all", [150, 450, 0]),
                    class("seat-hold", "dedup", "zone", [300, 900, 700]),
                    class("boarding-scan", "dedup", "cell", [250, 700, 400])],
        "permissions": {"maxAttempts": 2, "cancel": false, "connIdleUs": 60_000_000, "dialTimeoutUs": 100_000},
        "safety": {"askWithinUs": 0, "drainGraceUs": 250_000, "coldFrom": 0.13, "coldUs": 20_000_000,
                   "fallMultiple": 2.5, "fallUs": 3_000_000}})
}

/// Discovery is polled, no request is idempotent, timeouts are short.
fn ticketing() -> Value {
    let mut settings = ferries();
    settings["membershipMode"] = "on_request".into();
    settings["failureDomains"] = json!(["namba"]);
    settings["zone"] = 0.into();
    settings["classes"] = json!([
        class("pay", "fragile", "all", [220, 400, 0]),
        class("issue", "fragile", "all", [180, 350, 0]),
        class("void", "fragile", "all", [140, 300, 0])
    ]);
    settings["tenants"] = json!([{"name": "umeda-hall", "share": 0.7, "allowancePerS": 90.0},
                                 {"name": "street-kiosks", "share": 0.3, "allowancePerS": 40.0}]);
    settings["permissions"] =
        json!({"maxAttempts": 5, "retryAfter": true, "maxRetryAfterUs": 900_000});
    settings["loadReport"] = json!({"via": "probe", "fields": ["active"]});
    settings
}

#[test]
fn settings_of_a_pushed_deployment_are_read() {
    let ferries = parse(&config(&ferries())).expect("good settings");
    let idempotency: Vec<_> = ferries
        .settings
        .classes
        .iter()
        .map(|c| c.idempotency)
        .collect();
    assert_eq!(
        idempotency,
        [
            Idempotency::Idempotent,
            Idempotency::Keyed {
                scope: KeyScope::Zone,
                ttl: 700_000
            },
            Idempotency::Keyed {
                scope: KeyScope::Cell,
                ttl: 400_000
            },
        ]
    );
    assert_eq!(
        ferries.names.classes,
        ["sailings", "seat-hold", "boarding-scan"]
    );
    assert!(
        ferries.names.tenants.is_empty()
            && ferries.settings.discovery_mode == DiscoveryMode::Pushed
    );
    assert_eq!(
        (
            ferries.settings.permissions.max_attempts,
            ferries.connect_timeout
        ),
        (2, 100_000)
    );
    assert_eq!(
        (
            ferries.settings.load_report.service_time_ms,
            ferries.settings.load_report.in_flight
        ),
        (Some(0), None)
    );
    assert_eq!(ferries.settings.permissions.max_retry_after, None);
}

#[test]
fn settings_of_a_polled_deployment_are_read() {
    let ticketing = parse(&config(&ticketing())).expect("good settings");
    assert!(
        ticketing
            .settings
            .classes
            .iter()
            .all(|c| c.idempotency == Idempotency::NonIdempotent)
    );
    assert_eq!(
        ticketing.settings.classes.iter().map(|c| c.timeout).max(),
        Some(400_000)
    );
    assert_eq!(ticketing.names.tenants, ["umeda-hall", "street-kiosks"]);
    assert!(
        ticketing.settings.discovery_mode == DiscoveryMode::Polled
            && ticketing.settings.load_report_by_health_check
    );
    assert_eq!(
        ticketing.settings.permissions.max_retry_after,
        Some(900_000)
    );
    assert_eq!(ticketing.settings.zone_count, 1);
}

/// Where a setting stands, an invalid value, and the name of the field that the error has to give.
fn invalid_settings() -> [(&'static str, Value, &'static str); 14] {
    [
        (
            "/settings/classes/1/deadlineUs",
            "soon".into(),
            "classes[1].deadlineUs",
        ),
        (
            "/settings/classes/1/deadlineUs",
            (-1).into(),
            "classes[1].deadlineUs",
        ),
        ("/settings/classes/2/aimUs", 0.into(), "classes[2].aimUs"),
        (
            "/settings/classes/0/effect",
            "harmless".into(),
            "classes[0].effect",
        ),
        (
            "/settings/classes/1/group",
            "street".into(),
            "classes[1].group",
        ),
        ("/settings/classes/0/worth", Value::Null, "classes[0].worth"),
        (
            "/settings/classes/1/name",
            "sailings".into(),
            "classes[1].name",
        ),
        ("/settings/classes/1/name", "".into(), "classes[1].name"),
        ("/settings/classes", json!([]), "classes"),
        (
            "/settings/permissions/maxAttempts",
            0.into(),
            "permissions.maxAttempts",
        ),
        (
            "/settings/membershipMode",
            "gossip".into(),
            "membershipMode",
        ),
        ("/settings/safety/coldFrom", 1.5.into(), "safety.coldFrom"),
        ("/settings/balancers", 0.into(), "balancers"),
        ("/limits/sockets", "many".into(), "limits.sockets"),
    ]
}

#[test]
fn invalid_settings_are_reported_by_the_name_of_their_field() {
    for (pointer, value, field) in invalid_settings() {
        let mut config = config(&ferries());
        *config.pointer_mut(pointer).expect("it is there") = value;
        let error = parse(&config).expect_err(pointer);
        assert!(
            error.contains(field) && error.lines().count() == 1,
            "{pointer}: {error}"
        );
    }
}

#[test]
fn missing_settings_are_reported_by_the_name_of_their_field() {
    for field in [
        "me",
        "balancers",
        "classes",
        "permissions",
        "safety",
        "membershipMode",
    ] {
        let mut config = config(&ferries());
        config["settings"]
            .as_object_mut()
            .expect("an object")
            .remove(field);
        let error = parse(&config).expect_err(field);
        assert!(error.contains(field), "{error}");
    }
}
