//! What is swept, and the sizes of each sweep.

use crate::slopes::scenario::SlopesScenario;
use crate::slopes::setup::Setup;
use serde::Serialize;

/// What is measured at a size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// Requests, and memory.
    Decisions,
    /// Membership changes and bytes as well.
    Everything,
}

/// What is swept.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// Backends, and proxies in proportion.
    Backends,
    /// Tenants.
    Tenants,
    /// Request classes.
    Classes,
    /// Proxies, with the target's number of backends.
    Proxies,
}

impl Sweep {
    /// Every sweep, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Backends, Self::Tenants, Self::Classes, Self::Proxies];

    /// Returns the swept number of a size.
    #[must_use]
    pub fn size(self, setup: &Setup) -> u32 {
        match self {
            Self::Backends => setup.backends,
            Self::Tenants => setup.tenants,
            Self::Classes => setup.classes,
            Self::Proxies => setup.proxies,
        }
    }

    /// Returns the sizes that a scenario measures.
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

    /// Returns one size, at which the swept number is `number`.
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

    /// Returns what is measured at each of its sizes.
    pub(super) fn extent(self) -> Extent {
        if self == Self::Backends {
            Extent::Everything
        } else {
            Extent::Decisions
        }
    }
}

/// Returns the size with this number of backends, proxies in proportion, and the scenario's tenants and classes.
fn setup_with_backends(scenario: &SlopesScenario, backends: u32) -> Setup {
    Setup {
        backends,
        proxies: scenario.proxies_for(backends),
        tenants: scenario.fleet.tenants,
        classes: scenario.fleet.classes,
        requests_per_second: scenario.load.requests_per_second,
    }
}
