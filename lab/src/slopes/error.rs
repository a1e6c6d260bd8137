//! Errors of the `slopes` experiment.

use crate::error::LabError;
use tillerproxy::proxy::discovery::DiscoveryError;
use tillerproxy::simulator::ParseSettingsError;

/// An error that ends a measurement.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The settings parser or the balancer rejects the settings that the lab generated.
    #[error("the proxy rejects the settings: {0}")]
    Settings(#[from] ParseSettingsError),
    /// The random distributions of the load can't be constructed from the scenario's values.
    #[error("`load`: cannot construct the distributions of arrivals, tenants and classes")]
    LoadDistribution,
    /// The translator rejects an endpoint list that the lab generated.
    #[error("the proxy rejects an endpoint list: {0}")]
    EndpointList(#[from] DiscoveryError),
}

impl From<SlopesError> for LabError {
    fn from(error: SlopesError) -> Self {
        Self::Failed(Box::new(error))
    }
}
