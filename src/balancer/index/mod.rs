//! The selection index: it selects among thousands of backends without comparing each of them.
//!
//! Each ready backend has one of three positions, which `indexing` determines:
//!
//! | position | backends | how selection treats them |
//! | --- | --- | --- |
//! | indexed | idle, healthy, with the limit of their machine type | found by rank in their [`Group`] |
//! | compared | with attempts in flight, slow recently, half open, or with a limit of their own | compared one by one |
//! | excluded | not allowed to receive requests at present | left out until their position is evaluated again |

mod candidates;
mod group;
mod ranked_set;

pub(crate) use candidates::{Candidates, TiedCandidates};
pub(crate) use group::Group;

use super::backends::{BackendKey, BackendState, BackendTable};
use super::limits::LimitSource;
use crate::api::{BackendId, Cell, MachineType, Micros, Zone};
use fastrand::Rng;
use indexmap::IndexSet;
use ranked_set::MemberChange;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// Key of a [`Group`] in the [`SelectionIndex`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey(usize);

/// State that the index keeps of one backend.
#[derive(Default)]
pub(crate) struct IndexEntry {
    pub(crate) group: GroupKey,
    /// Slot offset, from 0 to 1: the fraction that is added to the backend's limit before it is rounded down to slots.
    /// The offset is computed from the backend's rank in its group.
    pub(crate) slot_offset: f64,
    /// Version of the group for which `slot_offset` was computed.
    pub(crate) slot_offset_version: u32,
    /// Time at which the backend's position is evaluated again; `None` if no recheck is due.
    recheck_at: Option<Micros>,
}

impl IndexEntry {
    /// Returns the entry of a backend that was just assigned to a group.
    pub(crate) fn new(group: GroupKey) -> Self {
        Self {
            group,
            ..Self::default()
        }
    }
}

/// Position of a backend in the index, which determines how selection finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Position {
    /// Selection finds the backend by its rank in its group.
    Indexed,
    /// Selection compares the backend with others one by one.
    Compared,
    /// Selection does not consider the backend.
    Excluded,
}

/// A change of one backend: it became ready, stopped being ready, or restarted.
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub(crate) backend: BackendKey,
    pub(crate) group: GroupKey,
    pub(crate) id: BackendId,
}

/// A set of backends whose order of iteration depends only on the history of insertions and removals, so that the same
/// events lead to the same actions.
pub(crate) type BackendSet = IndexSet<BackendKey, FxBuildHasher>;

/// The ready backends by their position.
///
/// Rule 3 (draining): the index contains no backend that is draining or removed.
#[derive(Default)]
pub(crate) struct SelectionIndex {
    groups: Vec<Group>,
    group_keys: FxHashMap<(Zone, MachineType), GroupKey>,
    /// Backends that selection compares one by one: their position is [`Position::Compared`].
    individually_compared: BackendSet,
    /// Ready backends that have a limit of their own instead of that of their machine type.
    with_own_limit: BackendSet,
    /// Ready backends that are ejected and not readmitted yet.
    ejected: BackendSet,
    /// Ready backends of each cell.
    cells: FxHashMap<Cell, BackendSet>,
    /// Number of ready backends.
    ready: usize,
    /// Backends by the time at which their position is evaluated again, the earliest first.
    rechecks: BinaryHeap<Reverse<(Micros, BackendKey)>>,
}

impl SelectionIndex {
    /// Returns the key of the group of a zone and machine type, and adds the group if there is none yet.
    pub(crate) fn find_or_add_group(&mut self, zone: Zone, machine_type: MachineType) -> GroupKey {
        let next = GroupKey(self.groups.len());
        let key = *self.group_keys.entry((zone, machine_type)).or_insert(next);
        if key == next {
            self.groups.push(Group::new(zone, machine_type));
        }
        key
    }

    /// Returns all groups.
    pub(crate) fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns all groups with their keys.
    pub(crate) fn keyed_groups(&self) -> impl Iterator<Item = (GroupKey, &Group)> {
        let numbered = self.groups.iter().enumerate();
        numbered.map(|(number, group)| (GroupKey(number), group))
    }

    /// Returns a group, or `None` if no group has this key.
    pub(crate) fn group(&self, key: GroupKey) -> Option<&Group> {
        self.groups.get(key.0)
    }

    /// Returns the backends that selection compares one by one. Every ready backend with attempts in flight is among
    /// them.
    pub(crate) fn individually_compared(&self) -> &BackendSet {
        &self.individually_compared
    }

    /// Returns the ready backends that have a limit of their own, from their windows or a load report.
    pub(crate) fn with_own_limit(&self) -> &BackendSet {
        &self.with_own_limit
    }

    /// Returns the ready backends of a cell, or `None` if the cell never had any.
    pub(crate) fn cell(&self, cell: Cell) -> Option<&BackendSet> {
        self.cells.get(&cell)
    }

    /// Returns the number of ready backends that are ejected and not readmitted yet.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Returns the number of ready backends.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready
    }

    /// Adds a backend to the set of its cell, or removes it from the set.
    pub(crate) fn set_cell_member(&mut self, cell: Cell, backend: BackendKey, is_member: bool) {
        set_member(self.cells.entry(cell).or_default(), backend, is_member);
    }

    /// Applies a batch of changes to the groups and returns the backends whose position must be evaluated again.
    ///
    /// Given a rank and the number of members, `unwrapped_offset` returns the slot offset before it is wrapped to 0..1.
    pub(crate) fn apply(
        &mut self,
        mut batch: Vec<Change>,
        backends: &BackendTable,
        unwrapped_offset: impl Fn(usize, usize) -> f64,
    ) -> Vec<BackendKey> {
        let mut to_evaluate: Vec<BackendKey> = batch.iter().map(|change| change.backend).collect();
        batch.sort_unstable_by_key(|change| (change.group, change.id));
        batch.dedup_by_key(|change| (change.group, change.id));
        let mut changed_groups = Vec::new();
        for changes in batch.chunk_by(|a, b| a.group == b.group) {
            let key = changes[0].group;
            self.apply_to_group(key, changes, backends, &unwrapped_offset);
            changed_groups.push(key);
        }
        let is_in_changed_group =
            |&&key: &&BackendKey| changed_groups.contains(&backends[key].index_entry.group);
        to_evaluate.extend(
            self.individually_compared
                .iter()
                .filter(is_in_changed_group),
        );
        to_evaluate
    }

    /// Applies the changes of one group, and updates the number of ready backends.
    fn apply_to_group(
        &mut self,
        key: GroupKey,
        changes: &[Change],
        backends: &BackendTable,
        unwrapped_offset: impl Fn(usize, usize) -> f64,
    ) {
        let is_member = |&backend: &BackendKey| {
            let backend = &backends[backend];
            backend.ready && backend.index_entry.group == key
        };
        let members = changes
            .iter()
            .map(|change| MemberChange {
                id: change.id,
                value: backends.find(change.id).filter(is_member),
            })
            .collect();
        let group = &mut self.groups[key.0];
        self.ready -= group.members().len();
        group.apply(members, unwrapped_offset);
        self.ready += group.members().len();
    }

    /// Sets the position of a backend. With `valid_until`, the position is evaluated again at that time.
    pub(crate) fn set_position(
        &mut self,
        key: BackendKey,
        backend: &mut BackendState,
        position: Position,
        valid_until: Option<Micros>,
    ) {
        let has_own_limit = backend.limit.source() != LimitSource::MachineType;
        let is_ejected = backend.outlier_detector.is_ejected();
        set_member(
            &mut self.with_own_limit,
            key,
            backend.ready && has_own_limit,
        );
        set_member(&mut self.ejected, key, backend.ready && is_ejected);
        set_member(
            &mut self.individually_compared,
            key,
            position == Position::Compared,
        );
        self.set_indexed(backend, position == Position::Indexed);
        let entry = &mut backend.index_entry;
        if let Some(until) = valid_until
            && entry.recheck_at.is_none_or(|at| until < at)
        {
            entry.recheck_at = Some(until);
            self.rechecks.push(Reverse((until, key)));
        }
    }

    /// Sets whether selection finds a backend by its rank. Has no effect on a backend that is not ready.
    pub(crate) fn set_indexed(&mut self, backend: &BackendState, is_indexed: bool) {
        if !backend.ready {
            return;
        }
        let Some(group) = self.groups.get_mut(backend.index_entry.group.0) else {
            return;
        };
        if let Some(rank) = group.members().rank(backend.id) {
            group.members_mut().set_flag(rank, is_indexed);
        }
    }

    /// Removes the earliest recheck that is due and returns its backend, or `None` if none is due. A recheck that was
    /// replaced by an earlier one is dropped.
    pub(crate) fn pop_due_recheck(
        &mut self,
        now: Micros,
        backends: &mut BackendTable,
    ) -> Option<BackendKey> {
        while let Some(&Reverse((at, key))) = self.rechecks.peek() {
            if at > now {
                return None;
            }
            self.rechecks.pop();
            let entry = &mut backends[key].index_entry;
            if entry.recheck_at == Some(at) {
                entry.recheck_at = None;
                return Some(key);
            }
        }
        None
    }

    /// Returns one of the candidates at random, each with the same probability, or `None` if there are no candidates.
    pub(crate) fn pick_random(&self, candidates: &Candidates, rng: &mut Rng) -> Option<BackendKey> {
        match candidates {
            Candidates::One(backend) => Some(*backend),
            Candidates::Members { count, group, runs } => {
                let nth = if *count > 1 { rng.usize(0..*count) } else { 0 };
                self.groups[group.0].nth(runs, nth)
            }
        }
    }
}

/// Adds a backend to a set, or removes it from the set.
fn set_member(set: &mut BackendSet, backend: BackendKey, is_member: bool) {
    if is_member {
        set.insert(backend);
    } else {
        set.swap_remove(&backend);
    }
}
