//! Default settings, backends and requests for tests of the decisions.

use tillerproxy::api::*;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Returns a class with a latency objective of 500 ms and a timeout of 2 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        timeout: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency,
    }
}

/// Returns settings with two zones, one proxy and five classes: 0 idempotent, 1 non-idempotent, and three keyed ones
/// whose key scope is all backends (2), a zone (3) or a cell (4).
pub fn settings() -> Settings {
    let keyed = |scope| {
        class(Idempotency::Keyed {
            scope,
            ttl: 600 * MS,
        })
    };
    Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone: Zone(0),
        zone_count: 2,
        machine_type_count: 1,
        discovery_mode: DiscoveryMode::Pushed,
        key_affinity: false,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            keyed(KeyScope::AllBackends),
            keyed(KeyScope::Zone),
            keyed(KeyScope::Cell),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.05,
        health_check_cost: 0.01,
        load_report: LoadReportFields::default(),
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            health_checks: false,
            idle_timeout: 5 * SECOND,
            requests_per_connection: 1,
            max_retry_after: Some(SECOND),
        },
        safety: SafetyLimits {
            poll_interval: 10 * SECOND,
            slow_start_initial_capacity: 0.2,
            slow_start_duration: 10 * SECOND,
            collapse_load_factor: 2.5,
            collapse_time: 2 * SECOND,
        },
    }
}

/// Returns a ready backend that is warm. Even ids are in zone 0, odd ids in zone 1; a cell has three backends.
pub fn backend(id: u32) -> Backend {
    Backend {
        id: BackendId(id),
        zone: Zone((id % 2) as u16),
        machine_type: MachineType(0),
        cell: Cell((id / 6 * 2 + id % 2) as u16),
        readiness: Readiness::Ready,
        started_at: None,
    }
}

/// Returns a request of tenant 0 with a timeout of 2 s.
pub fn request(id: u32, class: u8) -> Request {
    Request {
        id: RequestId(id),
        class: ClassIndex(class),
        tenant: TenantIndex(0),
        key: None,
        timeout: 2 * SECOND,
        expected_work: None,
        is_retry: false,
    }
}
