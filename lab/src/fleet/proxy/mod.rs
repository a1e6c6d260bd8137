//! An emulated proxy: its policy, what it knows of backends, and its watch of discovery. Everything else of a
//! real proxy is part of the simulation.

mod watcher;

pub use watcher::{OutgoingCall, Watcher};

use super::discovery::ListUpdate;
use super::policy::Policy;
use super::process::ProcessState;
use tillerproxy::api::{Backend, MembershipEvent, Micros, Readiness, Zone};

/// What a proxy knows of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownBackend {
    /// Whether it may be sent to.
    pub readiness: Readiness,
    /// When its process last started.
    pub started_at: Option<Micros>,
    /// Since when the proxy has known that it drains or was removed.
    pub unavailable_since: Option<Micros>,
}

impl Default for KnownBackend {
    fn default() -> Self {
        Self {
            readiness: Readiness::Removed,
            started_at: None,
            unavailable_since: None,
        }
    }
}

impl KnownBackend {
    /// Notes since when it has not been ready.
    fn update_availability(&mut self, now: Micros) {
        self.unavailable_since = match self.readiness {
            Readiness::Ready => None,
            Readiness::Draining | Readiness::Removed => self.unavailable_since.or(Some(now)),
        };
    }
}

/// One proxy.
pub struct EmulatedProxy {
    /// Its zone.
    pub zone: Zone,
    /// Whether its process runs.
    pub state: ProcessState,
    /// How often it has started; events of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// Its decisions.
    pub policy: Box<dyn Policy>,
    /// Its watch of discovery.
    pub watcher: Watcher,
    /// What it knows of each backend.
    pub known_backends: Vec<KnownBackend>,
}

impl EmulatedProxy {
    /// Returns whether its process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    /// Applies an update of the endpoint list.
    pub fn apply(&mut self, now: Micros, update: &ListUpdate) {
        if update.complete {
            for known in &mut self.known_backends {
                known.readiness = Readiness::Removed;
            }
        }
        for endpoint in update.endpoints.iter() {
            let known = &mut self.known_backends[endpoint.id.index()];
            known.readiness = endpoint.readiness;
            known.started_at = endpoint.started_at;
            known.update_availability(now);
        }
        if update.complete {
            for known in &mut self.known_backends {
                known.update_availability(now);
            }
        }
    }

    /// Returns the endpoint list that it holds, as a process that starts finds it in its cache.
    #[must_use]
    pub fn cached_endpoints(&self, published: &[Backend]) -> Vec<Backend> {
        published
            .iter()
            .zip(&self.known_backends)
            .filter(|(_, known)| known.readiness != Readiness::Removed)
            .map(|(endpoint, known)| Backend {
                readiness: known.readiness,
                started_at: known.started_at,
                ..*endpoint
            })
            .collect()
    }
}

/// Converts an update of the endpoint list to the policy's event.
#[must_use]
pub fn membership_event(update: &ListUpdate) -> MembershipEvent<'_> {
    if update.complete {
        MembershipEvent::Full(&update.endpoints)
    } else {
        MembershipEvent::Delta(&update.endpoints)
    }
}
