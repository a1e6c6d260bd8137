//! An emulated proxy: its policy, its knowledge of the backends, and its watch of discovery. The simulation does
//! everything else that a real proxy does.

mod watcher;

pub use watcher::{OutgoingCall, Watcher};

use super::discovery::ListUpdate;
use super::policy::Policy;
use super::process::ProcessState;
use tillerproxy::api::{Backend, MembershipEvent, Micros, Readiness, Zone};

/// The knowledge of a proxy about one backend, from the updates of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownBackend {
    /// Readiness of the backend.
    pub readiness: Readiness,
    /// Time at which the process of the backend last started.
    pub started_at: Option<Micros>,
    /// Time since which the proxy has known that the backend drains or was removed.
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
    /// Records the time since which the backend has not been ready.
    fn update_availability(&mut self, now: Micros) {
        self.unavailable_since = match self.readiness {
            Readiness::Ready => None,
            Readiness::Draining | Readiness::Removed => self.unavailable_since.or(Some(now)),
        };
    }
}

/// One emulated proxy.
pub struct EmulatedProxy {
    /// Zone of the proxy.
    pub zone: Zone,
    /// State of the process.
    pub state: ProcessState,
    /// Number of the process's incarnation, from 1; each stop begins a new one. Events of an earlier incarnation are
    /// ignored.
    pub incarnation: u32,
    /// Policy that decides for the proxy.
    pub policy: Box<dyn Policy>,
    /// Watch of discovery.
    pub watcher: Watcher,
    /// Knowledge about each backend, by backend id.
    pub known_backends: Vec<KnownBackend>,
}

impl EmulatedProxy {
    /// Returns whether the process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    /// Applies an update of the endpoint list. Backends that a full list lacks count as removed.
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

    /// Returns the endpoint list that the proxy holds, as a new process reads it from the cache. Zone, machine type and
    /// cell of the endpoints are taken from `published`.
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

/// Converts an update of the endpoint list to the membership event for the policy.
#[must_use]
pub fn membership_event(update: &ListUpdate) -> MembershipEvent<'_> {
    if update.complete {
        MembershipEvent::Full(&update.endpoints)
    } else {
        MembershipEvent::Delta(&update.endpoints)
    }
}
