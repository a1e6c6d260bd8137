//! The `live` experiment.

use crate::cli::CommonOptions;
use crate::error::LabError;
use clap::Args;

/// Options of `live`.
#[derive(Args, Clone, Debug)]
pub struct LiveOptions {
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment.
///
/// # Errors
/// What kept it from running.
pub fn run(options: &LiveOptions) -> Result<(), LabError> {
    let info = options.common.run_info("live");
    Err(LabError::Failed(format!("{} is not there yet", info.experiment)))
}
