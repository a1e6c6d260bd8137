//! The phases of a scenario.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One phase.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Phase {
    /// Nothing changes.
    Rest {
        /// Length in seconds.
        seconds: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Single endpoints change, one after another.
    Changes {
        /// Length in seconds.
        seconds: f64,
        /// Changes a second.
        per_s: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// All endpoints of a zone are removed in one change and return in another.
    ZoneLoss {
        /// Length in seconds.
        seconds: f64,
        /// Name of the zone.
        zone: String,
        /// Seconds until it returns.
        absent_s: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery moves; every process is notified by a new configuration and SIGHUP.
    Reload {
        /// Length in seconds.
        seconds: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery is down and returns; one endpoint changes meanwhile.
    Outage {
        /// Length in seconds.
        seconds: f64,
        /// Seconds until it returns.
        down_s: f64,
        /// What callers see meanwhile.
        #[serde(rename = "calls")]
        behavior: OutageBehavior,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Every real process ends on SIGTERM and is started again, all at once.
    Restart {
        /// Length in seconds.
        seconds: f64,
    },
    /// Idle client connections are opened step by step, to measure the memory that each takes.
    IdleConnections {
        /// Connections to one process in the last step.
        connections: u32,
    },
}

/// What a caller of discovery sees during an outage.
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
    /// Returns the name of the kind, as scenarios have it.
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

    /// Returns the length in seconds; `None` where it depends on the measurement itself.
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

    /// Returns the length; `None` where it depends on the measurement itself.
    #[must_use]
    pub fn length(&self) -> Option<Duration> {
        self.seconds().map(Duration::from_secs_f64)
    }

    /// Returns whether clients send requests meanwhile.
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
