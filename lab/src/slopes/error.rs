//! Errors of the `slopes` experiment.

use crate::error::LabError;
use tillerproxy::proxy::discovery::DiscoveryError;
use tillerproxy::simulator::ParseSettingsError;

/// An error that ends the `slopes` experiment.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// Tillerproxy's settings parser or its balancer rejects the settings that the lab generated.
    #[error("the proxy rejects the generated settings: {0}")]
    Settings(#[from] ParseSettingsError),
    /// The Poisson distribution of arrivals can't be constructed.
    #[error("a mean batch of {0} requests must be finite and above 0")]
    MeanBatch(f64),
    /// The Zipf distribution of requests over tenants can't be constructed.
    #[error(
        "a distribution over {tenants} tenants with the exponent {skew} (`load.tenant_skew`) \
         must have at least 1 tenant and an exponent of 0 or more"
    )]
    TenantDistribution {
        /// Number of tenants.
        tenants: u32,
        /// Exponent of the Zipf distribution.
        skew: f64,
    },
    /// A class index can't represent all request classes.
    #[error("the number of request classes is {0}, must be at most {max}", max = u8::MAX)]
    TooManyClasses(u32),
    /// The translator rejects an endpoint list that the lab generated.
    #[error("the proxy rejects a generated endpoint list: {0}")]
    EndpointList(#[from] DiscoveryError),
}

impl From<SlopesError> for LabError {
    fn from(error: SlopesError) -> Self {
        Self::Failed(Box::new(error))
    }
}
