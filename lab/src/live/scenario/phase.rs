//! Phases of a scenario.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A phase of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Phase {
    /// The endpoint list and the proxies stay unchanged.
    Rest {
        /// Length of the phase in seconds.
        seconds: f64,
        /// Whether clients send requests during the phase.
        #[serde(default)]
        clients: bool,
    },
    /// Single endpoints change at a constant rate.
    Changes {
        /// Length of the phase in seconds.
        seconds: f64,
        /// Changes per second.
        per_s: f64,
        /// Whether clients send requests during the phase.
        #[serde(default)]
        clients: bool,
    },
    /// All endpoints of a zone are removed in one change and become active again in another.
    ZoneLoss {
        /// Length of the phase in seconds.
        seconds: f64,
        /// Name of the zone.
        zone: String,
        /// Seconds until the zone is active again.
        absent_s: f64,
        /// Whether clients send requests during the phase.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery moves to new addresses. Every real process is notified by a new configuration file and SIGHUP.
    Reload {
        /// Length of the phase in seconds.
        seconds: f64,
        /// Whether clients send requests during the phase.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery has an outage; one endpoint is recorded as changed when the outage ends.
    Outage {
        /// Length of the phase in seconds.
        seconds: f64,
        /// Length of the outage in seconds.
        down_s: f64,
        /// Behavior of discovery during the outage.
        #[serde(rename = "calls")]
        behavior: OutageBehavior,
        /// Whether clients send requests during the phase.
        #[serde(default)]
        clients: bool,
    },
    /// Every real process receives SIGTERM at the same time and is started again after its exit.
    Restart {
        /// Length of the phase in seconds.
        seconds: f64,
    },
    /// Idle client connections are opened in steps, to measure the memory per connection.
    IdleConnections {
        /// Number of connections to each process in the last step.
        connections: u32,
    },
}

/// Behavior of discovery toward its callers during an outage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageBehavior {
    /// Connections are refused.
    Refused,
    /// Connections are accepted and reset.
    Reset,
    /// Calls are answered with 503.
    Unavailable,
}

impl Phase {
    /// Returns the name of the kind, as scenarios spell it.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Rest { .. } => "rest",
            Self::Changes { .. } => "changes",
            Self::ZoneLoss { .. } => "zone_loss",
            Self::Reload { .. } => "reload",
            Self::Outage { .. } => "outage",
            Self::Restart { .. } => "restart",
            Self::IdleConnections { .. } => "idle_connections",
        }
    }

    /// Returns the length in seconds; `None` if it depends on the measurement itself.
    #[must_use]
    pub fn seconds(&self) -> Option<f64> {
        match self {
            Self::Rest { seconds, .. }
            | Self::Changes { seconds, .. }
            | Self::ZoneLoss { seconds, .. }
            | Self::Reload { seconds, .. }
            | Self::Outage { seconds, .. }
            | Self::Restart { seconds } => Some(*seconds),
            Self::IdleConnections { .. } => None,
        }
    }

    /// Returns the length; `None` if it depends on the measurement itself.
    #[must_use]
    pub fn length(&self) -> Option<Duration> {
        self.seconds().map(Duration::from_secs_f64)
    }

    /// Reports whether clients send requests during the phase.
    #[must_use]
    pub fn has_clients(&self) -> bool {
        match self {
            Self::Rest { clients, .. }
            | Self::Changes { clients, .. }
            | Self::ZoneLoss { clients, .. }
            | Self::Reload { clients, .. }
            | Self::Outage { clients, .. } => *clients,
            Self::Restart { .. } | Self::IdleConnections { .. } => false,
        }
    }
}
