//! The `fleet` experiment: a whole fleet in virtual time.
//!
//! Every proxy hosts the decision module with its own settings, state and seed. Backends, discovery, networks and
//! clients are emulated by a discrete-event simulation that depends on its seed alone. Beside the module two
//! baselines are simulated on the same arrivals and events.
//!
//! Not emulated are: processor time of the proxies, single connections and their setup, streamed responses, health
//! checks, services (every backend serves every request), and the rule that a proxy which has not polled for long
//! counts as informed: rules 3 and 4 go by what discovery has in fact sent it.

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
use std::path::PathBuf;
use std::thread;
use std::time::Instant;
use topology::Topology;

/// Options of `fleet`.
#[derive(Args, Clone, Debug)]
pub struct FleetOptions {
    /// Scenario file (TOML).
    pub scenario: PathBuf,
    /// The policies to simulate.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module,random,two-choices"
    )]
    pub policies: Vec<PolicyKind>,
    /// How long clients send requests, in place of the scenario's `duration_s`.
    #[arg(long, value_name = "SECONDS")]
    pub duration_s: Option<f64>,
    /// Shrinks proxies, backends and load by this factor.
    #[arg(long, value_name = "FACTOR")]
    pub scale: Option<f64>,
    /// File that the time series is drawn to (SVG).
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment.
///
/// # Errors
/// [`LabError::Scenario`] for a scenario that makes no sense, [`LabError::Unwritable`] for a result that
/// can't be written.
pub fn run(options: &FleetOptions) -> Result<(), LabError> {
    let scenario = read_scenario(options)?;
    let seed = options.common.seed;
    // Before the simulation: the checkout may have moved on when it ends.
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

/// Reads the scenario and applies the options that change it.
fn read_scenario(options: &FleetOptions) -> Result<FleetScenario, LabError> {
    let mut scenario: FleetScenario = crate::scenario::read(&options.scenario)?;
    if let Some(factor) = options.scale {
        check_scale(factor)?;
        scenario = scenario.scaled(factor);
    }
    if let Some(duration) = options.duration_s {
        scenario.duration_s = duration;
    }
    let invalid = |InvalidValue { key, problem }| LabError::Scenario {
        path: options.scenario.clone(),
        key,
        problem: format!("{problem} (with the options of the command line)"),
    };
    scenario.validate().map_err(invalid)?;
    Ok(scenario)
}

fn check_scale(factor: f64) -> Result<(), LabError> {
    if factor.is_finite() && factor > 0.0 {
        return Ok(());
    }
    Err(LabError::Scenario {
        path: PathBuf::from("command line"),
        key: "--scale".to_owned(),
        problem: format!("{factor} must be above 0"),
    })
}

/// Simulates a scenario under each policy, each on a thread of its own.
///
/// # Errors
/// [`LabError::Settings`] where a policy rejects its settings, [`LabError::Panicked`] where its thread panics.
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
