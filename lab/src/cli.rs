//! Command line of the lab.

use crate::error::LabError;
use crate::results::RunInfo;
use crate::{fleet, live, slopes};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use tracing_subscriber::EnvFilter;

/// Measures tillerproxy at the size of a large fleet.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    /// The experiment to run.
    #[command(subcommand)]
    pub experiment: Experiment,
}

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

/// One experiment of the lab.
#[derive(Debug, Subcommand)]
pub enum Experiment {
    /// Cost of one proxy's decisions, membership and state as the fleet grows.
    Slopes(slopes::SlopesOptions),
    /// A whole fleet in virtual time, the real decision module in every proxy.
    Fleet(fleet::FleetOptions),
    /// Real processes beside emulated ones before one discovery stand-in, over loopback.
    Live(live::LiveOptions),
}

impl Arguments {
    /// Sends log lines to standard error; `RUST_LOG` sets the level, `info` by default.
    pub fn install_logging(&self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .without_time()
            .init();
    }

    /// Runs the experiment.
    ///
    /// # Errors
    /// What kept it from running or its result from being written.
    pub fn run(&self) -> Result<(), LabError> {
        match &self.experiment {
            Experiment::Slopes(options) => slopes::run(options),
            Experiment::Fleet(options) => fleet::run(options),
            Experiment::Live(options) => live::run(options),
        }
    }
}

impl CommonOptions {
    /// What the result says about the run.
    #[must_use]
    pub fn run_info(&self, experiment: &'static str) -> RunInfo {
        RunInfo::new(experiment, self.seed)
    }
}
