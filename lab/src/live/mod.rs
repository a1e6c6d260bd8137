//! The `live` experiment: real and simulated proxies watch one emulated discovery service over loopback.
//!
//! Real proxies are processes of the released program ([`process`]). Simulated proxies are tasks of the lab that
//! watch discovery as the program does and serve no clients ([`simulated_proxy`]). The emulated discovery service
//! ([`discovery`]) lists up to thousands of endpoints; some of them are emulated backends ([`backends`]). The phases
//! of a scenario ([`scenario`]) run one after another ([`experiment`]). In each phase the lab reads the resource usage
//! of every real process from `/proc` ([`usage`]) and counts the traffic between proxies and discovery
//! ([`traffic`]).

pub mod backends;
pub mod clients;
pub mod discovery;
pub mod error;
pub mod experiment;
pub mod figures;
pub mod http;
pub mod idle_connections;
pub mod latency;
pub mod process;
pub mod propagation;
pub mod proxies;
pub mod proxy_config;
pub mod quantiles;
pub mod report;
pub mod scenario;
pub mod simulated_proxy;
pub mod timer_lag;
pub mod traffic;
pub mod usage;

#[cfg(test)]
mod tests;

use crate::error::LabError;
use crate::options::CommonOptions;
use crate::results::RunResult;
use clap::Args;
use error::LiveError;
use experiment::Experiment;
use figures::LiveFigures;
use indicatif::{ProgressBar, ProgressStyle};
use scenario::LiveScenario;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads of the lab, shared by simulated proxies, discovery, backends and clients.
const LAB_THREADS: usize = 3;
/// `indicatif` template of the progress bar.
const PROGRESS_TEMPLATE: &str = "{bar:40} {percent:>3}% {elapsed} {msg}";

/// Command-line options of `live`.
#[derive(Args, Clone, Debug)]
pub struct LiveOptions {
    /// Scenario file, TOML.
    #[arg(value_name = "SCENARIO")]
    scenario: PathBuf,
    /// The proxy's program [default: release/tillerproxy in the target directory that holds the lab].
    #[arg(long, value_name = "PATH")]
    proxy: Option<PathBuf>,
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment, prints the report and writes the JSON result if a path for it is given.
///
/// # Errors
/// The scenario is invalid, the run can't start, a real process fails, a signal interrupts the run, or the result
/// can't be written. Every process that the run started has exited when the error is returned.
pub fn run(options: &LiveOptions) -> Result<(), LabError> {
    let scenario: LiveScenario = crate::scenario::read(&options.scenario)?;
    let program = proxy_program(options.proxy.as_deref())?;
    let info = options.common.run_info("live");
    let progress = progress_bar(&scenario, options.common.quiet);
    let measurement = measure(&scenario, &program, options.common.seed, progress);
    let figures = runtime()?.block_on(measurement)?;
    print!("{}", report::table(&figures));
    if let Some(path) = &options.common.json {
        let result = RunResult {
            run: info,
            scenario: &scenario,
            measured: &figures,
        };
        result.write(path)?;
    }
    Ok(())
}

/// Runs the scenario until it ends or SIGINT or SIGTERM arrives.
async fn measure(
    scenario: &LiveScenario,
    program: &Path,
    seed: u64,
    progress: ProgressBar,
) -> Result<LiveFigures, LiveError> {
    let mut interruption = pin!(interruption());
    let mut experiment = tokio::select! {
        started = Experiment::start(scenario.clone(), program, seed, progress) => started?,
        error = &mut interruption => return Err(error),
    };
    let result = tokio::select! {
        result = experiment.run_phases() => result,
        error = &mut interruption => Err(error),
    };
    experiment.stop().await;
    result?;
    Ok(experiment.into_figures())
}

/// Waits for SIGINT or SIGTERM and returns the error with which the run ends.
async fn interruption() -> LiveError {
    match wait_for_signal().await {
        Ok(signal) => LiveError::Interrupted { signal },
        Err(source) => LiveError::Io {
            operation: "wait for signals",
            source,
        },
    }
}

async fn wait_for_signal() -> io::Result<&'static str> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => Ok("SIGINT"),
        _ = terminate.recv() => Ok("SIGTERM"),
    }
}

fn runtime() -> Result<Runtime, LiveError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LAB_THREADS)
        .enable_all()
        .build()
        .map_err(|source| LiveError::Io {
            operation: "start the runtime",
            source,
        })
}

/// Returns the path of the proxy program: `given`, or the released program in the target directory of the lab.
///
/// # Errors
/// No file exists at that path.
fn proxy_program(given: Option<&Path>) -> Result<PathBuf, LiveError> {
    let program = match given {
        Some(program) => program.to_owned(),
        None => released_program().map_err(|source| LiveError::Io {
            operation: "find the lab's own program",
            source,
        })?,
    };
    if program.is_file() {
        Ok(program)
    } else {
        Err(LiveError::ProgramMissing { program })
    }
}

fn released_program() -> io::Result<PathBuf> {
    let lab = std::env::current_exe()?;
    let target = lab.parent().and_then(Path::parent);
    let target = target.unwrap_or(Path::new("target"));
    Ok(target.join("release").join("tillerproxy"))
}

fn progress_bar(scenario: &LiveScenario, quiet: bool) -> ProgressBar {
    if quiet {
        return ProgressBar::hidden();
    }
    let length: Duration = scenario
        .phases
        .iter()
        .filter_map(scenario::Phase::length)
        .sum();
    let style = ProgressStyle::with_template(PROGRESS_TEMPLATE);
    let bar = ProgressBar::new(length.as_millis() as u64);
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}
