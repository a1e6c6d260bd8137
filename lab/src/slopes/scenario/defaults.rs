//! Built-in values of a `slopes` scenario. `lab/scenarios/slopes.toml` contains the same values.

use super::{Budgets, Changes, FleetShape, Load, SlopesScenario, Sweeps, Target};

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
            machine_types: 3,
            tenants: 100,
            classes: 4,
            min_proxies: 3,
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
