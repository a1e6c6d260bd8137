//! The `slopes` experiment: measures the cost of one proxy's decisions, membership updates and state as backends,
//! proxies, tenants and classes grow, and compares the cost at the target size with budgets.
//!
//! Costs are the processor time of the real decision module under load in virtual time ([`virtual_proxy`]) and of
//! the real translator of discovery's responses ([`membership`]). Memory is counted by the global allocator
//! ([`memory`]). Sockets are not measured.

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

/// Template of the progress bar, in the syntax of `indicatif`.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} {msg} (about {eta} left)";

/// Command-line options of `slopes`.
#[derive(Args, Clone, Debug)]
pub struct SlopesOptions {
    #[command(flatten)]
    common: CommonOptions,
    /// Read sizes, load, target and budgets from this TOML file in place of the built-in values.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Measure at these numbers of backends, ascending, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...",
        value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_BACKENDS)))]
    sizes: Option<Vec<u32>>,
    /// Repeat each measurement this number of times, in place of the scenario's.
    #[arg(long, value_name = "N",
        value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_REPETITIONS)))]
    repetitions: Option<u32>,
    /// Write the figures to this file as comma-separated values.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Plot the costs over the number of backends to this SVG file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// Measurements and analysis of a run: the part `measured` of the JSON result.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesResult {
    /// Figures at each measured size.
    pub measurements: Measurements,
    /// Fitted curves, and figures at the target size compared with their budgets.
    pub analysis: Analysis,
}

/// Runs the experiment, prints its report and writes the result files that the options name.
///
/// # Errors
/// Returns an error if the scenario can't be read or is invalid, a result file can't be written, or the proxy rejects
/// the settings or an endpoint list that the lab generated.
pub fn run(options: &SlopesOptions) -> Result<(), LabError> {
    let scenario = options.scenario()?;
    let progress = options.progress_bar(&scenario);
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
/// Returns an error if the proxy rejects the settings or an endpoint list that the lab generated.
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
    /// Reads the scenario and replaces the values that the command line sets.
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
        scenario
            .validate()
            .map_err(|invalid_value| invalid_value.into_error(Path::new("command line")))?;
        Ok(scenario)
    }

    /// Creates the progress bar; `--quiet` hides it.
    fn progress_bar(&self, scenario: &SlopesScenario) -> ProgressBar {
        if self.common.quiet {
            return ProgressBar::hidden();
        }
        let style = ProgressStyle::with_template(PROGRESS_TEMPLATE);
        let bar = ProgressBar::new(Bench::step_count(scenario));
        bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    }
}
