//! The `fleet` experiment.

use crate::cli::CommonOptions;
use crate::error::LabError;
use clap::Args;

/// Options of `fleet`.
#[derive(Args, Clone, Debug)]
pub struct FleetOptions {
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment.
///
/// # Errors
/// What kept it from running.
pub fn run(options: &FleetOptions) -> Result<(), LabError> {
    let info = options.common.run_info("fleet");
    Err(LabError::Failed(format!("{} is not there yet", info.experiment)))
}
