//! The `slopes` experiment: what one proxy's decisions, membership and state cost as backends, proxies,
//! tenants and classes grow, and what that comes to at the target.
//!
//! Costs are processor time of the real decision module under load in virtual time ([`virtual_proxy`]) and of
//! the real translator of discovery's responses ([`membership`]); memory is counted by the allocator
//! ([`memory`]). Sockets are not part of it.

pub mod analysis;
pub mod costs;
pub mod csv_file;
pub mod endpoints;
pub mod error;
pub mod fit;
mod format;
pub mod measure;
pub mod membership;
pub mod memory;
pub mod plot;
pub mod quantity;
pub mod report;
pub mod scenario;
pub mod setup;
pub mod stopwatch;
pub mod virtual_proxy;

use crate::error::LabError;
use crate::options::CommonOptions;
use crate::results::RunResult;
use crate::scenario::{Scenario, read};
use analysis::Analysis;
use clap::Args;
use error::SlopesError;
use indicatif::{ProgressBar, ProgressStyle};
use measure::{Bench, Measurements};
use scenario::{MAX_BACKENDS, MAX_REPETITIONS, SlopesScenario};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// Layout of the progress bar.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} {msg} (about {eta} left)";

/// Options of `slopes`.
#[derive(Args, Clone, Debug)]
pub struct SlopesOptions {
    #[command(flatten)]
    common: CommonOptions,
    /// TOML file with sizes, load, target and budgets; built-in values without one.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Numbers of backends to measure at, ascending, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...",
        value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_BACKENDS)))]
    sizes: Option<Vec<u32>>,
    /// Repetitions of each measurement, in place of the scenario's.
    #[arg(long, value_name = "N",
        value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_REPETITIONS)))]
    repetitions: Option<u32>,
    /// File that the figures are written to as comma-separated values.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// SVG file that the costs over the number of backends are plotted to.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// What the JSON result holds besides the run and the scenario.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesResult {
    /// The measurements.
    pub measurements: Measurements,
    /// Fits and budgets.
    pub analysis: Analysis,
}

/// Runs the experiment.
///
/// # Errors
/// A scenario that makes no sense, a file that can't be written, or settings that the program rejects.
pub fn run(options: &SlopesOptions) -> Result<(), LabError> {
    let scenario = options.scenario()?;
    let progress = options.progress(&scenario);
    let result = measure(&scenario, options.common.seed, &progress)?;
    println!("{}", report::text(&result.measurements, &result.analysis));
    if let Some(path) = &options.common.json {
        let run_result = RunResult {
            run: options.common.run_info("slopes"),
            scenario: &scenario,
            measured: &result,
        };
        run_result.write(path)?;
    }
    if let Some(path) = &options.csv {
        csv_file::write(path, &result.measurements)?;
    }
    if let Some(path) = &options.plot {
        plot::write(path, &result.measurements)?;
    }
    Ok(())
}

/// Measures a scenario and analyses the figures.
///
/// # Errors
/// Where the program rejects the settings or a list that the lab made.
pub fn measure(
    scenario: &SlopesScenario,
    seed: u64,
    progress: &ProgressBar,
) -> Result<SlopesResult, SlopesError> {
    let measurements = Bench::new(scenario, seed, progress).run()?;
    progress.finish_and_clear();
    let analysis = Analysis::of(scenario, &measurements);
    Ok(SlopesResult {
        measurements,
        analysis,
    })
}

impl SlopesOptions {
    /// Returns the scenario with the values that the command line replaces.
    fn scenario(&self) -> Result<SlopesScenario, LabError> {
        let mut scenario = match &self.scenario {
            Some(path) => read(path)?,
            None => SlopesScenario::default(),
        };
        if let Some(sizes) = &self.sizes {
            scenario.sizes.clone_from(sizes);
        }
        if let Some(repetitions) = self.repetitions {
            scenario.repetitions = repetitions;
        }
        scenario.validate().map_err(|invalid| LabError::Scenario {
            path: Path::new("command line").to_owned(),
            key: invalid.key,
            problem: invalid.problem,
        })?;
        Ok(scenario)
    }

    fn progress(&self, scenario: &SlopesScenario) -> ProgressBar {
        if self.common.quiet {
            return ProgressBar::hidden();
        }
        let style = ProgressStyle::with_template(PROGRESS_TEMPLATE);
        let bar = ProgressBar::new(Bench::steps(scenario));
        bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    }
}
