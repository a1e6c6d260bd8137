//! Candidates of a selection: the backends with the greatest preference.

use super::GroupKey;
use super::group::Runs;
use crate::balancer::backends::BackendKey;
use fastrand::Rng;

/// Backends with the same preference.
pub(crate) enum Candidates {
    /// A single backend.
    One(BackendKey),
    /// The indexed members of a group whose ranks are in `runs`.
    Members {
        /// Number of the members.
        count: usize,
        /// Group that the members belong to.
        group: GroupKey,
        /// Ranges of ranks that contain the members.
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

/// Keeps candidates with the greatest preference offered so far.
///
/// If several offers tie, one of them is kept, with a probability proportional to its number of backends (reservoir
/// sampling). Every tied backend then has the same chance if one is picked at random from the kept candidates.
#[derive(Default)]
pub(crate) struct TiedCandidates {
    preference: i64,
    /// Number of backends in all offers that tie.
    count: usize,
    best: Option<Candidates>,
}

impl TiedCandidates {
    /// Offers candidates that have the given preference.
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

    /// Reports whether no candidates were offered.
    pub(crate) fn is_empty(&self) -> bool {
        self.best.is_none()
    }

    /// Returns the candidates that were kept, or `None` if none were offered.
    pub(crate) fn into_best(self) -> Option<Candidates> {
        self.best
    }
}
