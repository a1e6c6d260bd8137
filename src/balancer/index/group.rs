//! Backends that have the same limit, in the order of their slot offsets.

use super::ranked_set::RankedSet;
use crate::api::{BackendId, MachineType, Zone};
use crate::balancer::backends::BackendKey;
use std::ops::Range;

/// Two runs of ranks.
pub(crate) type Runs = [Range<usize>; 2];

/// The ready backends of one zone and machine type, in the order of their ids.
///
/// Each has a slot offset that grows with its rank and wraps around 1 once, so there are two runs in which it grows: with
/// the offsets 0.618, 0.868, 0.118 and 0.368 the ranks 0 to 1 and 2 to 3. At a limit of 1.2 the backends with an offset of
/// 0.8 and more, the end of a run, have two slots and the others one.
pub(crate) struct Group {
    zone: Zone,
    machine_type: MachineType,
    /// Flagged: those that selection finds by their rank alone.
    members: RankedSet<BackendKey>,
    version: u32,
    /// The first rank of the second run.
    wrap_rank: usize,
}

impl Group {
    /// Returns a group without members.
    pub(super) fn new(zone: Zone, machine_type: MachineType) -> Self {
        Self {
            zone,
            machine_type,
            members: RankedSet::default(),
            version: 0,
            wrap_rank: 0,
        }
    }

    /// Returns the zone of all members.
    pub(crate) fn zone(&self) -> Zone {
        self.zone
    }

    /// Returns the machine type of all members.
    pub(crate) fn machine_type(&self) -> MachineType {
        self.machine_type
    }

    /// Returns the members.
    pub(crate) fn members(&self) -> &RankedSet<BackendKey> {
        &self.members
    }

    /// Returns the members, to set their flags.
    pub(super) fn members_mut(&mut self) -> &mut RankedSet<BackendKey> {
        &mut self.members
    }

    /// Returns a number that grows with each change of the members; ranks of another version are out of date.
    pub(crate) fn version(&self) -> u32 {
        self.version
    }

    /// Takes a batch of changes. `unwrapped_offset` is the slot offset, with the whole turns before it, of a rank among so
    /// many members.
    pub(super) fn apply(
        &mut self,
        batch: Vec<(BackendId, Option<BackendKey>)>,
        unwrapped_offset: impl Fn(usize, usize) -> f64,
    ) {
        self.members.apply(batch);
        self.version += 1;
        let count = self.members.len();
        let first_offset = if count > 0 {
            unwrapped_offset(0, count)
        } else {
            0.0
        };
        let next_turn = first_offset.floor() + 1.0;
        let guess = ((next_turn - first_offset) * count as f64) as usize;
        self.wrap_rank = first_rank(0..count, guess, |rank| {
            unwrapped_offset(rank, count) >= next_turn
        });
    }

    /// Returns the runs of all members.
    pub(crate) fn runs(&self) -> Runs {
        [0..self.wrap_rank, self.wrap_rank..self.members.len()]
    }

    /// Returns the members for which `holds`, which it does for those of the highest offsets; about `expected` are
    /// expected.
    pub(crate) fn highest(&self, expected: usize, holds: impl Fn(usize) -> bool) -> Runs {
        let wrap = self.wrap_rank;
        let end = self.members.len();
        let first_guess = wrap.saturating_sub(expected);
        let second_guess = end.saturating_sub(expected.saturating_sub(wrap));
        let first = first_rank(0..wrap, first_guess, &holds);
        let second = first_rank(wrap..end, second_guess, &holds);
        [first..wrap, second..end]
    }

    /// Counts the flagged members of these runs.
    pub(crate) fn count(&self, runs: &Runs) -> usize {
        runs.iter().map(|run| self.members.count(run.clone())).sum()
    }

    /// Returns the `nth` flagged member of these runs.
    pub(super) fn nth(&self, runs: &Runs, nth: usize) -> Option<BackendKey> {
        let [first, second] = runs;
        let rank = match nth.checked_sub(self.members.count(first.clone())) {
            None => self.members.select(first.clone(), nth),
            Some(nth_of_second) => self.members.select(second.clone(), nth_of_second),
        };
        rank.map(|rank| self.members.value(rank))
    }

    /// Returns the flagged member with the highest offset of each run.
    pub(crate) fn highest_of_runs(&self) -> impl Iterator<Item = BackendKey> {
        self.runs().into_iter().filter_map(|run| {
            let last = self.members.count(run.clone()).checked_sub(1)?;
            let rank = self.members.select(run, last)?;
            Some(self.members.value(rank))
        })
    }
}

/// Returns the first of these ranks for which `holds`, which it does for all that follow; the end if for none. The search
/// goes on from a guess that is off by a few at the most.
fn first_rank(ranks: Range<usize>, guess: usize, holds: impl Fn(usize) -> bool) -> usize {
    let mut first = guess.clamp(ranks.start, ranks.end);
    while first > ranks.start && holds(first - 1) {
        first -= 1;
    }
    while first < ranks.end && !holds(first) {
        first += 1;
    }
    first
}
