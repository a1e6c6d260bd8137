//! Tests of the emulated fleet: its parts, the rule checker, and simulations of small scenarios.

mod backend;
mod client;
mod command_line;
mod discovery;
mod events;
mod report;
mod rules;
mod scenario;
mod simulation;

use std::path::Path;
use tillerproxy_lab::error::LabError;
use tillerproxy_lab::fleet::scenario::FleetScenario;

/// The small scenario: two zones in two regions, 6 proxies, 24 backends, some hundred requests per second, for three
/// seconds.
const SMALL: &str = r#"
duration_s = 3.0

[fleet]
proxies = 6
backends = 24
zones = 2
regions = 2
racks_per_zone = 3

[[kind]]
name = "standard"
share = 1.0
cores = 2
speed_spread = 0.1

[network]
cross_region_ms = 5.0

[[class]]
name = "read"
share = 0.7
work_ms = 50.0
spread = { distribution = "exponential" }
aim_ms = 400.0
deadline_ms = 1000.0
effect = "safe"

[[class]]
name = "payment"
share = 0.3
work_ms = 80.0
aim_ms = 800.0
deadline_ms = 1500.0
worth = 4.0
effect = "unsafe"

[tenants]
count = 5
skew = 1.0

[load]
fraction = 0.6

[discovery]
notice_ms = 100.0

[safety]
cold_time_s = 2.0
fall_time_s = 0.5
"#;

fn parse(text: &str) -> Result<FleetScenario, LabError> {
    tillerproxy_lab::scenario::parse(text, Path::new("small.toml"))
}

/// Returns the small scenario with further tables, such as events of the timeline.
fn small_scenario_with_tables(tables: &str) -> FleetScenario {
    parse(&format!("{SMALL}\n{tables}")).expect("the small scenario and the tables are valid")
}
