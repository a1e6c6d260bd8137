//! The `slopes` experiment.

use crate::cli::CommonOptions;
use crate::error::LabError;
use clap::Args;

/// Options of `slopes`.
#[derive(Args, Clone, Debug)]
pub struct SlopesOptions {
    #[command(flatten)]
    common: CommonOptions,
}

/// Runs the experiment.
///
/// # Errors
/// What kept it from running.
pub fn run(options: &SlopesOptions) -> Result<(), LabError> {
    let info = options.common.run_info("slopes");
    Err(LabError::Failed(format!("{} is not there yet", info.experiment)))
}
