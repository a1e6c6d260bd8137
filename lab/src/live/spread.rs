//! How long changes take to become known to the proxies.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Follows each revision from the change itself to the proxies.
///
/// A hollow proxy holds a revision once it has read the whole answer, a real process once it asks for what is
/// newer.
#[derive(Debug)]
pub struct SpreadTracker {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Newest revision that each proxy holds.
    held: Vec<u64>,
    changes: BTreeMap<u64, Change>,
}

#[derive(Debug)]
struct Change {
    made: Instant,
    /// Times until the proxies that hold it did so, in the order in which they did.
    delays: Vec<Duration>,
}

/// Times of all changes of a phase, in seconds. A change counts for a figure only if so many proxies held it
/// by the end of the phase.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadFigures {
    /// Changes made.
    pub changes: usize,
    /// Changes that every proxy held.
    pub known_to_all: usize,
    /// Times until half of the proxies held a change.
    pub half: Option<Quantiles>,
    /// Times until 99 in 100 did.
    pub p99: Option<Quantiles>,
    /// Times until all did.
    pub all: Option<Quantiles>,
}

/// Median and maximum.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The median; the lower one of two.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Of the values given; `None` if there are none.
    #[must_use]
    pub fn of(mut values: Vec<f64>) -> Option<Self> {
        values.sort_unstable_by(f64::total_cmp);
        let max = *values.last()?;
        Some(Self {
            median: values[(values.len() - 1) / 2],
            max,
        })
    }
}

impl SpreadTracker {
    /// A tracker for so many proxies, none of which holds anything.
    #[must_use]
    pub fn new(proxies: usize) -> Self {
        Self {
            state: Mutex::new(State {
                held: vec![0; proxies],
                changes: BTreeMap::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A change was made at that time; it has this revision.
    pub fn changed(&self, revision: u64, made: Instant) {
        self.state().changes.insert(
            revision,
            Change {
                made,
                delays: Vec::new(),
            },
        );
    }

    /// A proxy holds this revision, and so all before it.
    pub fn holds(&self, proxy: usize, revision: u64) {
        let now = Instant::now();
        let mut state = self.state();
        let held = std::mem::replace(&mut state.held[proxy], revision);
        if held >= revision {
            state.held[proxy] = held;
            return;
        }
        for (_, change) in state.changes.range_mut(held + 1..=revision) {
            change
                .delays
                .push(now.saturating_duration_since(change.made));
        }
    }

    /// How many proxies hold this revision or a newer one.
    #[must_use]
    pub fn holders(&self, revision: u64) -> usize {
        self.state()
            .held
            .iter()
            .filter(|&&held| held >= revision)
            .count()
    }

    /// Figures of the changes made since the last call; they are forgotten.
    #[must_use]
    pub fn take(&self) -> Option<SpreadFigures> {
        let mut state = self.state();
        let proxies = state.held.len();
        let changes: Vec<Change> = std::mem::take(&mut state.changes).into_values().collect();
        drop(state);
        if changes.is_empty() {
            return None;
        }
        // The time by which so many proxies held a change is that of the last of them.
        let until = |holders: usize| {
            let reached = changes
                .iter()
                .filter_map(|change| change.delays.get(holders.max(1) - 1));
            reached.map(Duration::as_secs_f64).collect::<Vec<f64>>()
        };
        Some(SpreadFigures {
            changes: changes.len(),
            known_to_all: until(proxies).len(),
            half: Quantiles::of(until(proxies.div_ceil(2))),
            p99: Quantiles::of(until((proxies * 99).div_ceil(100))),
            all: Quantiles::of(until(proxies)),
        })
    }
}
