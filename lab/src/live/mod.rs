//! The `live` experiment: real processes beside hollow ones before one discovery stand-in, over loopback.
//!
//! Real processes are the released program; hollow ones are tasks of the lab that follow discovery as the
//! program does and serve nobody ([`hollow`]). Discovery ([`discovery`]) lists thousands of backends, of
//! which some are emulated ([`backends`]). Phases ([`scenario`]) are played one after another, and in each
//! what every real process takes is read from `/proc` and from the connections ([`report`]).

pub mod backends;
pub mod clients;
pub mod counted;
pub mod discovery;
pub mod experiment;
pub mod fleet;
pub mod hollow;
pub mod http;
pub mod idle;
pub mod latency;
pub mod lateness;
pub mod process;
pub mod proxy_config;
pub mod report;
pub mod scenario;
pub mod spread;
pub mod usage;

#[cfg(test)]
mod tests;

use crate::error::LabError;
use crate::options::CommonOptions;
use crate::results::RunResult;
use clap::Args;
use experiment::Experiment;
use indicatif::{ProgressBar, ProgressStyle};
use report::LiveFigures;
use scenario::LiveScenario;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Threads of the lab: hollow proxies, discovery, backends and clients share them.
const LAB_THREADS: usize = 3;

/// Options of `live`.
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

/// Runs the experiment.
///
/// # Errors
/// What kept it from running, or ended it on its way. Every process that it started has ended then.
pub fn run(options: &LiveOptions) -> Result<(), LabError> {
    let scenario: LiveScenario = crate::scenario::read(&options.scenario)?;
    let program = match &options.proxy {
        Some(program) => program.clone(),
        None => released_program().map_err(|error| LabError::Failed(error.to_string()))?,
    };
    process::check_program(&program)?;
    let info = options.common.run_info("live");
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(LAB_THREADS).enable_all().build();
    let runtime = runtime.map_err(|error| LabError::Failed(error.to_string()))?;
    let progress = progress_bar(&scenario, options.common.quiet);
    let measured = runtime.block_on(measure(&scenario, &program, options.common.seed, progress))?;
    print!("{}", measured.table());
    if let Some(path) = &options.common.json {
        RunResult {
            run: info,
            scenario: &scenario,
            measured: &measured,
        }
        .write(path)?;
    }
    Ok(())
}

async fn measure(
    scenario: &LiveScenario,
    program: &Path,
    seed: u64,
    progress: ProgressBar,
) -> Result<LiveFigures, LabError> {
    let mut interrupted = pin!(interrupted());
    let (mut experiment, mut figures) = tokio::select! {
        started = Experiment::start(scenario.clone(), program, seed, progress) => started?,
        error = &mut interrupted => return Err(error),
    };
    let played = tokio::select! {
        played = experiment.play(&mut figures) => played,
        error = &mut interrupted => Err(error),
    };
    experiment.end().await;
    played.map(|()| figures)
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() -> LabError {
    let wait = async {
        let (mut interrupt, mut terminate) = (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        );
        tokio::select! {
            _ = interrupt.recv() => Ok::<_, io::Error>("SIGINT"),
            _ = terminate.recv() => Ok("SIGTERM"),
        }
    };
    match wait.await {
        Ok(signal) => LabError::Failed(format!("interrupted by {signal}")),
        Err(error) => LabError::Failed(format!("signals can't be followed: {error}")),
    }
}

/// The released program in the target directory that holds the lab's own.
fn released_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let target = own
        .parent()
        .and_then(Path::parent)
        .unwrap_or(Path::new("target"));
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
    let bar = ProgressBar::new(length.as_millis() as u64);
    let style = ProgressStyle::with_template("{bar:40} {percent:>3}% {elapsed} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}
