//! Command-line options shared by all experiments.

use crate::results::RunInfo;
use clap::Args;
use std::path::PathBuf;

/// Command-line options shared by all experiments.
#[derive(Args, Clone, Debug)]
pub struct CommonOptions {
    /// Seed of all random numbers; the same seed gives the same figures, except for processor time.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the JSON result to this file.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Hide the progress bar.
    #[arg(long)]
    pub quiet: bool,
}

impl CommonOptions {
    /// Returns the description of this run for its result file.
    #[must_use]
    pub fn run_info(&self, experiment: &'static str) -> RunInfo {
        RunInfo::new(experiment, self.seed)
    }
}
