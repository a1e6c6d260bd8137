//! The sweeps and the sizes of each.

use crate::slopes::scenario::SlopesScenario;
use crate::slopes::setup::Setup;
use serde::Serialize;

/// Kinds of quantity that are measured at a size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasurementScope {
    /// Costs of the balancer's decisions on requests, and memory.
    Decisions,
    /// Costs of decisions on requests and of membership changes, memory, and bytes of discovery's responses.
    Everything,
}

/// A series of measurements in which one size varies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// Sweep over the number of backends, with proxies in proportion.
    Backends,
    /// Sweep over the number of tenants.
    Tenants,
    /// Sweep over the number of request classes.
    Classes,
    /// Sweep over the number of proxies, with the target's number of backends.
    Proxies,
}

impl Sweep {
    /// Every sweep, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Backends, Self::Tenants, Self::Classes, Self::Proxies];

    /// Returns the value that the size varied by this sweep has in `setup`.
    #[must_use]
    pub fn size(self, setup: &Setup) -> u32 {
        match self {
            Self::Backends => setup.backends,
            Self::Tenants => setup.tenants,
            Self::Classes => setup.classes,
            Self::Proxies => setup.proxies,
        }
    }

    /// Returns the setups that a scenario measures in this sweep.
    #[must_use]
    pub fn setups(self, scenario: &SlopesScenario) -> Vec<Setup> {
        let sweeps = &scenario.sweeps;
        let numbers = match self {
            Self::Backends => &scenario.sizes,
            Self::Tenants => &sweeps.tenants,
            Self::Classes => &sweeps.classes,
            Self::Proxies => &sweeps.proxies,
        };
        numbers
            .iter()
            .map(|&number| self.setup(scenario, number))
            .collect()
    }

    /// Returns the setup in which the size varied by this sweep is `number`.
    fn setup(self, scenario: &SlopesScenario, number: u32) -> Setup {
        let base = setup_with_backends(scenario, scenario.sweeps.backends);
        match self {
            Self::Backends => setup_with_backends(scenario, number),
            Self::Tenants => Setup {
                tenants: number,
                ..base
            },
            Self::Classes => Setup {
                classes: number,
                ..base
            },
            Self::Proxies => Setup {
                proxies: number,
                ..setup_with_backends(scenario, scenario.target.backends)
            },
        }
    }

    /// Returns the kinds of quantity that are measured at each size of this sweep.
    pub(super) fn scope(self) -> MeasurementScope {
        if self == Self::Backends {
            MeasurementScope::Everything
        } else {
            MeasurementScope::Decisions
        }
    }
}

/// Returns the setup with this number of backends, proxies in proportion, and the scenario's tenants and classes.
fn setup_with_backends(scenario: &SlopesScenario, backends: u32) -> Setup {
    Setup {
        backends,
        proxies: scenario.proxies_for(backends),
        tenants: scenario.fleet.tenants,
        classes: scenario.fleet.classes,
        requests_per_second: scenario.load.requests_per_second,
    }
}
