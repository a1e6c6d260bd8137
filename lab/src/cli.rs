//! Command line of the lab.

use crate::error::LabError;
use crate::{fleet, live, slopes};
use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

/// Measures tillerproxy at the size of a large fleet.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    /// The experiment to run.
    #[command(subcommand)]
    pub experiment: Experiment,
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
    /// Returns what kept it from running or its result from being written.
    pub fn run(&self) -> Result<(), LabError> {
        match &self.experiment {
            Experiment::Slopes(options) => slopes::run(options),
            Experiment::Fleet(options) => fleet::run(options),
            Experiment::Live(options) => live::run(options),
        }
    }
}
