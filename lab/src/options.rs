//! Options that every experiment takes.

use crate::results::RunInfo;
use clap::Args;
use std::path::PathBuf;

/// Options that every experiment takes.
#[derive(Args, Clone, Debug)]
pub struct CommonOptions {
    /// Seed of all random numbers; the same seed gives the same figures, processor time aside.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File that the JSON result is written to.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Hide the progress bar.
    #[arg(long)]
    pub quiet: bool,
}

impl CommonOptions {
    /// Describes the run for the result.
    #[must_use]
    pub fn run_info(&self, experiment: &'static str) -> RunInfo {
        RunInfo::new(experiment, self.seed)
    }
}
