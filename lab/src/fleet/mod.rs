//! The `fleet` experiment: simulates a whole fleet of proxies, backends, clients and discovery in virtual time.
//!
//! Every proxy hosts the decision module with its own settings, state and seed. Backends, discovery, networks and
//! clients are emulated by a discrete-event simulation whose results depend only on the scenario and the seed. Two
//! baselines are simulated on the same arrivals and events as the module.
//!
//! The simulation leaves out the processor time of the proxies, individual connections and their setup, streamed
//! responses, health checks, and services (every backend serves every request). A proxy that has not polled for a long
//! time does not count as informed: rule 3 (draining) and rule 4 (slow start) are checked against what discovery has
//! sent to the proxy.

pub mod backend;
pub mod client;
pub mod discovery;
pub mod events;
pub mod faults;
pub mod ids;
pub mod metrics;
pub mod plot;
pub mod policy;
pub mod process;
pub mod proxy;
pub mod random;
pub mod report;
pub mod request;
pub mod rules;
pub mod scenario;
pub mod simulation;
pub mod slab;
pub mod table;
pub mod topology;

use crate::error::LabError;
use crate::options::CommonOptions;
use crate::results::RunResult;
use crate::scenario::{InvalidValue, Scenario};
use clap::Args;
use faults::FaultSchedule;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use policy::PolicyKind;
use report::{FleetReport, PolicyReport};
use scenario::FleetScenario;
use simulation::Simulation;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Instant;
use topology::Topology;

/// Options of the `fleet` command.
#[derive(Args, Clone, Debug)]
pub struct FleetOptions {
    /// Scenario file (TOML).
    pub scenario: PathBuf,
    /// Policies to simulate, separated by commas.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module,random,two-choices"
    )]
    pub policies: Vec<PolicyKind>,
    /// Time for which clients send requests, instead of the scenario's `duration_s`.
    #[arg(long, value_name = "SECONDS")]
    pub duration_s: Option<f64>,
    /// Factor by which the numbers of proxies and backends are multiplied; the load follows the capacity.
    #[arg(long, value_name = "FACTOR")]
    pub scale: Option<f64>,
    /// File to which the time series is drawn (SVG).
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment: prints the result as a table, and writes the files that the options name.
///
/// # Errors
/// - [`LabError::Unreadable`] if the scenario file can't be read
/// - [`LabError::Scenario`] if the scenario is invalid, before or after the options are applied to it
/// - [`LabError::Settings`] and [`LabError::Panicked`] as for [`simulate`]
/// - [`LabError::Unwritable`] if a result file can't be written
pub fn run(options: &FleetOptions) -> Result<(), LabError> {
    let scenario = read_scenario(options)?;
    let seed = options.common.seed;
    // Read before the simulation: the checkout may have changed by its end.
    let run = options.common.run_info("fleet");
    let measured = simulate(&scenario, &options.policies, seed, options.common.quiet)?;
    println!("{measured}");
    if let Some(path) = &options.common.json {
        let result = RunResult {
            run,
            scenario: &scenario,
            measured: &measured,
        };
        result.write(path)?;
    }
    if let Some(path) = &options.plot {
        plot::draw(&measured, path)?;
    }
    Ok(())
}

/// Reads the scenario, applies the options that change it, and checks the changed scenario.
fn read_scenario(options: &FleetOptions) -> Result<FleetScenario, LabError> {
    let mut scenario: FleetScenario = crate::scenario::read(&options.scenario)?;
    if let Some(factor) = options.scale {
        check_scale(factor)?;
        scenario = scenario.scaled(factor);
    }
    if let Some(duration) = options.duration_s {
        scenario.duration_s = duration;
    }
    let invalid = |invalid_value: InvalidValue| LabError::Scenario {
        path: options.scenario.clone(),
        problem: format!("{invalid_value} (after the command-line options were applied)"),
        key: invalid_value.key,
    };
    scenario.validate().map_err(invalid)?;
    Ok(scenario)
}

/// Checks that the option `--scale` is finite and above 0.
fn check_scale(factor: f64) -> Result<(), LabError> {
    if factor.is_finite() && factor > 0.0 {
        return Ok(());
    }
    let invalid_value = InvalidValue::new("--scale", factor, "finite and above 0");
    Err(invalid_value.into_error(Path::new("command line")))
}

/// Simulates a scenario under each policy, each on a thread of its own. `quiet` hides the progress bars.
///
/// # Errors
/// [`LabError::Settings`] if a policy rejects its settings, [`LabError::Panicked`] if its thread panics.
pub fn simulate(
    scenario: &FleetScenario,
    policies: &[PolicyKind],
    seed: u64,
    quiet: bool,
) -> Result<FleetReport, LabError> {
    let topology = Topology::new(scenario, seed);
    let schedule = FaultSchedule::new(scenario, &topology, seed);
    let bars = MultiProgress::with_draw_target(progress_target(quiet));
    let simulate = |policy: PolicyKind| {
        let bar = bars.add(progress_bar(policy));
        simulate_policy(scenario, &topology, &schedule, policy, seed, &bar)
    };
    let results: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = policies
            .iter()
            .map(|&policy| scope.spawn(move || simulate(policy)))
            .collect();
        threads.into_iter().map(|thread| thread.join()).collect()
    });
    let mut reports = Vec::with_capacity(results.len());
    for (policy, result) in policies.iter().zip(results) {
        let report = result.map_err(|_| LabError::Panicked {
            subject: format!("policy {policy}"),
        })?;
        reports.push(report?);
    }
    Ok(FleetReport::new(scenario, &topology, reports))
}

fn progress_target(quiet: bool) -> ProgressDrawTarget {
    if quiet {
        ProgressDrawTarget::hidden()
    } else {
        ProgressDrawTarget::stderr()
    }
}

fn progress_bar(policy: PolicyKind) -> ProgressBar {
    let style =
        ProgressStyle::with_template("{prefix:>12} {bar:40} {pos}/{len} ms of virtual time, {eta}");
    ProgressBar::new(0)
        .with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
        .with_prefix(policy.to_string())
}

/// Simulates a scenario under one policy, with its progress shown by `bar`.
fn simulate_policy(
    scenario: &FleetScenario,
    topology: &Topology,
    schedule: &FaultSchedule,
    policy: PolicyKind,
    seed: u64,
    bar: &ProgressBar,
) -> Result<PolicyReport, LabError> {
    let began = Instant::now();
    let factory = policy::factory(policy);
    let mut simulation =
        Simulation::new(scenario, topology, schedule, &*factory, seed).map_err(|source| {
            LabError::Settings {
                subject: format!("policy {policy}"),
                source,
            }
        })?;
    simulation.run(bar);
    bar.finish();
    let report = simulation.report(&policy.to_string());
    let elapsed = began.elapsed();
    tracing::info!(%policy, events = report.events, ?elapsed, "policy simulated");
    Ok(report)
}
