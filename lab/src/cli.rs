//! Command line of the lab.

use crate::error::LabError;
use crate::{fleet, live, slopes};
use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

/// Measures tillerproxy at the size of a large fleet.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    /// Experiment to run.
    #[command(subcommand)]
    pub experiment: Experiment,
}

/// Experiments of the lab.
#[derive(Debug, Subcommand)]
pub enum Experiment {
    /// Measure the cost of one proxy's decisions, membership updates and state as the fleet grows.
    Slopes(slopes::SlopesOptions),
    /// Simulate a whole fleet in virtual time, with the real decision module in every proxy.
    Fleet(fleet::FleetOptions),
    /// Run real and emulated processes against one emulated discovery service, over loopback.
    Live(live::LiveOptions),
}

impl Arguments {
    /// Installs a log subscriber that writes to standard error. `RUST_LOG` sets the level; the default is `info`.
    pub fn install_logging(&self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .without_time()
            .init();
    }

    /// Runs the selected experiment.
    ///
    /// # Errors
    /// Returns an error if the experiment can't run or its result can't be written.
    pub fn run(&self) -> Result<(), LabError> {
        match &self.experiment {
            Experiment::Slopes(options) => slopes::run(options),
            Experiment::Fleet(options) => fleet::run(options),
            Experiment::Live(options) => live::run(options),
        }
    }
}
