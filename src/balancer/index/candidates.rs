//! Backends that tie in a selection.

use super::GroupKey;
use super::group::Runs;
use crate::balancer::backends::BackendKey;
use fastrand::Rng;

/// Backends with the same preference.
pub(crate) enum Candidates {
    /// A single backend.
    One(BackendKey),
    /// The flagged members of runs of a group.
    Members {
        /// How many they are.
        count: usize,
        /// Their group.
        group: GroupKey,
        /// The runs.
        runs: Runs,
    },
}

impl Candidates {
    fn count(&self) -> usize {
        match self {
            Self::One(_) => 1,
            Self::Members { count, .. } => *count,
        }
    }
}

/// The candidates with the greatest preference so far.
///
/// Of candidates that tie, some are kept with the chance that they have in a uniform sample (reservoir sampling).
#[derive(Default)]
pub(crate) struct TiedCandidates {
    preference: i64,
    count: usize,
    best: Option<Candidates>,
}

impl TiedCandidates {
    /// Offers candidates of a preference.
    pub(crate) fn offer(&mut self, preference: i64, candidates: Candidates, rng: &mut Rng) {
        let is_first = self.best.is_none();
        if !is_first && preference < self.preference {
            return;
        }
        let is_tied = !is_first && preference == self.preference;
        let count = candidates.count();
        self.count = if is_tied { self.count + count } else { count };
        self.preference = preference;
        if !is_tied || rng.usize(0..self.count) < count {
            self.best = Some(candidates);
        }
    }

    /// Whether there were no candidates.
    pub(crate) fn is_empty(&self) -> bool {
        self.best.is_none()
    }

    /// Returns the candidates that were kept.
    pub(crate) fn into_best(self) -> Option<Candidates> {
        self.best
    }
}
