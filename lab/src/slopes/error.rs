//! Errors of the `slopes` experiment.

use crate::error::LabError;
use tillerproxy::proxy::discovery::DiscoveryError;
use tillerproxy::simulator::ParseSettingsError;

/// Why a measurement of `slopes` failed.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The program rejects the settings that the lab made.
    #[error("the proxy rejects the settings: {0}")]
    Settings(#[from] ParseSettingsError),
    /// The load of the scenario has no distribution of arrivals or tenants.
    #[error("`load` has no distribution of arrivals or tenants")]
    LoadDistribution,
    /// The program rejects an endpoint list that the lab made.
    #[error("the proxy rejects an endpoint list: {0}")]
    EndpointList(#[from] DiscoveryError),
}

impl From<SlopesError> for LabError {
    fn from(error: SlopesError) -> Self {
        Self::Failed(Box::new(error))
    }
}
