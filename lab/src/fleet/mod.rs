//! The `fleet` experiment: a whole fleet in virtual time.
//!
//! Every proxy hosts the real decision module with its own settings, state and seed. Backends, discovery, networks
//! and clients are emulated by a discrete-event simulation that depends on its seed alone. Beside the module two
//! baselines are played on the same arrivals and events.

pub mod backend;
pub mod discovery;
pub mod events;
pub mod random;
pub mod scenario;
pub mod slab;
pub mod topology;

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
