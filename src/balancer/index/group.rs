//! Groups: the ready backends of one zone and machine type. Members of a group have the same limit unless they have one
//! of their own, and differ in their slot offsets, the fractions that are added to limits before rounding.

use super::ranked_set::{MemberChange, RankedSet};
use crate::api::{MachineType, Zone};
use crate::balancer::backends::BackendKey;
use std::ops::Range;

/// Two ranges of ranks in a [`Group`]. Within each range, the members' slot offsets ascend.
pub(crate) type Runs = [Range<usize>; 2];

/// The ready backends of one zone and machine type, in the order of their ids.
///
/// A member's slot offset increases with its rank and wraps from 1 to 0 at most once. The ranks therefore form two runs
/// with ascending offsets, and the members with the highest offsets are at the ends of these runs.
///
/// For example, four members with the offsets 0.618, 0.868, 0.118 and 0.368 form the runs of ranks 0 to 1 and 2 to 3.
/// At a limit of 1.2, members with an offset of at least 0.8 have two slots (here the member at rank 1, the end of the
/// first run) and the others have one.
pub(crate) struct Group {
    zone: Zone,
    machine_type: MachineType,
    /// Members in the order of their ids. The flag of a member is set while its position is
    /// [`Position::Indexed`](super::Position::Indexed).
    members: RankedSet<BackendKey>,
    /// Number of batches of changes applied so far.
    version: u32,
    /// First rank of the second run: the first whose slot offset has wrapped.
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

    /// Returns the members, for setting their flags.
    pub(super) fn members_mut(&mut self) -> &mut RankedSet<BackendKey> {
        &mut self.members
    }

    /// Returns the version of the group, which increases with each batch of changes. Ranks and slot offsets that were
    /// computed for an earlier version are out of date.
    pub(crate) fn version(&self) -> u32 {
        self.version
    }

    /// Applies a batch of membership changes and recomputes the runs. Given a rank and the number of members,
    /// `unwrapped_offset` returns the slot offset before it is wrapped to 0..1.
    pub(super) fn apply(
        &mut self,
        batch: Vec<MemberChange<BackendKey>>,
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
        // The offsets of all members span less than 1, so they pass at most one whole number.
        let wraps_at = first_offset.floor() + 1.0;
        let guess = ((wraps_at - first_offset) * count as f64) as usize;
        self.wrap_rank = first_rank(0..count, guess, |rank| {
            unwrapped_offset(rank, count) >= wraps_at
        });
    }

    /// Returns the two runs, which together cover the ranks of all members.
    pub(crate) fn runs(&self) -> Runs {
        [0..self.wrap_rank, self.wrap_rank..self.members.len()]
    }

    /// Returns the part of each run whose ranks satisfy `is_high`.
    ///
    /// `is_high` must hold exactly for the ranks whose slot offset is at least some bound, so that these ranks are at
    /// the ends of the runs. `expected_count` is an estimate of their number, from which the search starts; it affects
    /// the duration of the search and not its result.
    pub(crate) fn highest_offsets(
        &self,
        expected_count: usize,
        is_high: impl Fn(usize) -> bool,
    ) -> Runs {
        let wrap = self.wrap_rank;
        let end = self.members.len();
        let first_guess = wrap.saturating_sub(expected_count);
        let second_guess = end.saturating_sub(expected_count.saturating_sub(wrap));
        let first = first_rank(0..wrap, first_guess, &is_high);
        let second = first_rank(wrap..end, second_guess, &is_high);
        [first..wrap, second..end]
    }

    /// Returns the number of indexed members in these runs.
    pub(crate) fn count(&self, runs: &Runs) -> usize {
        runs.iter().map(|run| self.members.count(run.clone())).sum()
    }

    /// Returns the `nth` indexed member of these runs, counted from 0, or `None` if they have fewer.
    pub(super) fn nth(&self, runs: &Runs, nth: usize) -> Option<BackendKey> {
        let [first, second] = runs;
        let rank = match nth.checked_sub(self.members.count(first.clone())) {
            None => self.members.select(first.clone(), nth),
            Some(nth_of_second) => self.members.select(second.clone(), nth_of_second),
        };
        rank.map(|rank| self.members.value(rank))
    }

    /// Returns the indexed member with the highest slot offset of each run that has indexed members.
    pub(crate) fn highest_of_runs(&self) -> impl Iterator<Item = BackendKey> {
        self.runs().into_iter().filter_map(|run| {
            let last = self.members.count(run.clone()).checked_sub(1)?;
            let rank = self.members.select(run, last)?;
            Some(self.members.value(rank))
        })
    }
}

/// Returns the first rank of a range that satisfies `predicate`, or the end of the range if none does. If the predicate
/// holds for a rank, it must hold for all later ones.
///
/// The search moves from `guess` by one rank per step, so it is fast only if the guess is off by a few ranks.
fn first_rank(ranks: Range<usize>, guess: usize, predicate: impl Fn(usize) -> bool) -> usize {
    let mut first = guess.clamp(ranks.start, ranks.end);
    while first > ranks.start && predicate(first - 1) {
        first -= 1;
    }
    while first < ranks.end && !predicate(first) {
        first += 1;
    }
    first
}
