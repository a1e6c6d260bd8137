//! How long changes of the endpoint list take to reach the proxies.

use super::quantiles::Quantiles;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Follows each revision of the endpoint list from the change itself to the proxies.
///
/// A simulated proxy has a revision once it has read the whole response, a real process once it asks for
/// what is newer than that revision.
#[derive(Debug)]
pub struct PropagationTracker {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Newest revision of each proxy.
    revisions: Vec<u64>,
    /// Changes since the figures were taken last, by their revision.
    changes: BTreeMap<u64, Change>,
}

#[derive(Debug)]
struct Change {
    made_at: Instant,
    /// Time until each proxy that has the change got it, in the order in which they did.
    delays: Vec<Duration>,
}

/// Propagation delays of the changes of a phase, in seconds. A change counts for a figure only if as many
/// proxies had it by the end of the phase.
#[derive(Clone, Debug, Serialize)]
pub struct PropagationFigures {
    /// Changes made.
    pub changes: usize,
    /// Changes that reached every proxy.
    #[serde(rename = "known_to_all")]
    pub reached_all: usize,
    /// Time until a change had reached half of the proxies.
    pub half: Option<Quantiles>,
    /// Time until it had reached 99 % of them.
    pub p99: Option<Quantiles>,
    /// Time until it had reached all of them.
    pub all: Option<Quantiles>,
}

impl PropagationTracker {
    /// Makes a tracker for `proxy_count` proxies, none of which has a revision.
    #[must_use]
    pub fn new(proxy_count: usize) -> Self {
        Self {
            state: Mutex::new(State {
                revisions: vec![0; proxy_count],
                changes: BTreeMap::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a change was made at `made_at` and has this revision.
    pub fn record_change(&self, revision: u64, made_at: Instant) {
        let change = Change {
            made_at,
            delays: Vec::new(),
        };
        self.state().changes.insert(revision, change);
    }

    /// Records that a proxy has this revision, and so all changes before it. Older revisions than the
    /// proxy's newest one are ignored.
    pub fn record_revision(&self, proxy: usize, revision: u64) {
        let now = Instant::now();
        let mut state = self.state();
        let previous = state.revisions[proxy];
        if previous >= revision {
            return;
        }
        state.revisions[proxy] = revision;
        for (_, change) in state.changes.range_mut(previous + 1..=revision) {
            let delay = now.saturating_duration_since(change.made_at);
            change.delays.push(delay);
        }
    }

    /// Returns how many proxies have this revision or a newer one.
    #[must_use]
    pub fn proxies_at(&self, revision: u64) -> usize {
        let state = self.state();
        let is_reached = |&&newest: &&u64| newest >= revision;
        state.revisions.iter().filter(is_reached).count()
    }

    /// Returns the figures of the changes made since the last call and forgets these changes; `None` where
    /// there were none.
    #[must_use]
    pub fn take(&self) -> Option<PropagationFigures> {
        let mut state = self.state();
        let proxy_count = state.revisions.len();
        let changes = std::mem::take(&mut state.changes);
        drop(state);
        if changes.is_empty() {
            return None;
        }
        let until = |proxies: usize| delays_until(&changes, proxies);
        Some(PropagationFigures {
            changes: changes.len(),
            reached_all: until(proxy_count).len(),
            half: Quantiles::of(until(proxy_count.div_ceil(2))),
            p99: Quantiles::of(until((proxy_count * 99).div_ceil(100))),
            all: Quantiles::of(until(proxy_count)),
        })
    }
}

/// Returns the seconds until each change had reached `proxies` of the proxies, without the changes that did
/// not reach as many.
fn delays_until(changes: &BTreeMap<u64, Change>, proxies: usize) -> Vec<f64> {
    let last = proxies.max(1) - 1;
    let mut delays = Vec::new();
    for change in changes.values() {
        if let Some(delay) = change.delays.get(last) {
            delays.push(delay.as_secs_f64());
        }
    }
    delays
}
