//! Measures how long changes of the endpoint list take to reach the proxies.

use super::quantiles::Quantiles;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Tracks each revision of the endpoint list from the change in discovery to the proxies.
///
/// A simulated proxy has a revision when it has read the whole response. A real process is known to have a revision
/// when it asks discovery for newer revisions.
#[derive(Debug)]
pub struct PropagationTracker {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Newest revision of each proxy, by proxy index; 0 before its first one.
    revisions: Vec<u64>,
    /// Changes since the last call of [`PropagationTracker::take`], by revision.
    changes: BTreeMap<u64, Change>,
}

#[derive(Debug)]
struct Change {
    made_at: Instant,
    /// Delay of each proxy that has received the change, in the order of receipt.
    delays: Vec<Duration>,
}

/// Propagation delays of the changes of a phase, in seconds. A figure covers only the changes that had reached the
/// required share of the proxies at the end of the phase.
#[derive(Clone, Debug, Serialize)]
pub struct PropagationFigures {
    /// Number of changes made.
    pub changes: usize,
    /// Number of changes that reached every proxy.
    #[serde(rename = "known_to_all")]
    pub reached_all: usize,
    /// Seconds until a change had reached half of the proxies.
    pub half: Option<Quantiles>,
    /// Seconds until a change had reached 99 % of the proxies.
    pub p99: Option<Quantiles>,
    /// Seconds until a change had reached all proxies.
    pub all: Option<Quantiles>,
}

impl PropagationTracker {
    /// Creates a tracker for `proxy_count` proxies without a revision.
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

    /// Records a change with this revision that was made at `made_at`.
    pub fn record_change(&self, revision: u64, made_at: Instant) {
        let change = Change {
            made_at,
            delays: Vec::new(),
        };
        self.state().changes.insert(revision, change);
    }

    /// Records that a proxy has this revision, and so every change up to it. A revision that is not newer than the
    /// proxy's newest one is ignored.
    pub fn record_revision(&self, proxy_index: usize, revision: u64) {
        let now = Instant::now();
        let mut state = self.state();
        let previous = state.revisions[proxy_index];
        if previous >= revision {
            return;
        }
        state.revisions[proxy_index] = revision;
        for (_, change) in state.changes.range_mut(previous + 1..=revision) {
            let delay = now.saturating_duration_since(change.made_at);
            change.delays.push(delay);
        }
    }

    /// Returns the number of proxies that have this revision or a newer one.
    #[must_use]
    pub fn proxies_with_revision(&self, revision: u64) -> usize {
        let state = self.state();
        let has_revision = |&&newest: &&u64| newest >= revision;
        state.revisions.iter().filter(has_revision).count()
    }

    /// Removes the changes recorded since the last call and returns their figures; `None` if there are none.
    #[must_use]
    pub fn take(&self) -> Option<PropagationFigures> {
        let mut state = self.state();
        let proxy_count = state.revisions.len();
        let changes = std::mem::take(&mut state.changes);
        drop(state);
        if changes.is_empty() {
            return None;
        }
        let delays = |proxies: usize| delays_until(&changes, proxies);
        Some(PropagationFigures {
            changes: changes.len(),
            reached_all: delays(proxy_count).len(),
            half: Quantiles::of(delays(proxy_count.div_ceil(2))),
            p99: Quantiles::of(delays((proxy_count * 99).div_ceil(100))),
            all: Quantiles::of(delays(proxy_count)),
        })
    }
}

/// Returns the seconds until each change had reached `proxies` proxies, without the changes that reached fewer.
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
