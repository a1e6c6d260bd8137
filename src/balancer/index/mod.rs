//! The index of selection: it answers a choice among thousands of backends without a look at each.
//!
//! An idle backend with the limit of its machine type and nothing against it is found by its rank in its [`Group`]; one
//! that is busy, slow or has a limit of its own is compared one by one; one that gets nothing for a time is left out
//! until that time is over. Which of the three holds is decided in `indexing`.

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
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// Key of a group in the [`SelectionIndex`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey(usize);

/// What the index keeps of one backend.
#[derive(Default)]
pub(crate) struct IndexEntry {
    pub(crate) group: GroupKey,
    /// The slot offset that its rank in the group gives it, and the version of the group that this is of.
    pub(crate) slot_offset: f64,
    pub(crate) slot_offset_version: u32,
    /// When its position is evaluated again.
    recheck_at: Option<Micros>,
}

impl IndexEntry {
    /// Returns the entry of a new member of a group.
    pub(crate) fn new(group: GroupKey) -> Self {
        Self {
            group,
            ..Self::default()
        }
    }
}

/// How selection finds a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Position {
    /// By its rank in its group.
    Indexed,
    /// By comparing it with others.
    Compared,
    /// Not at all.
    Excluded,
}

/// A backend that was added, removed or restarted.
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub(crate) backend: BackendKey,
    pub(crate) group: GroupKey,
    pub(crate) id: BackendId,
}

/// A set of backends with a fixed order for the same history.
pub(crate) type BackendSet = IndexSet<BackendKey, FxBuildHasher>;

/// All ready backends, sorted by how selection finds them.
///
/// Rule 3: a draining or removed backend is not in here.
#[derive(Default)]
pub(crate) struct SelectionIndex {
    groups: Vec<Group>,
    group_keys: FxHashMap<(Zone, MachineType), GroupKey>,
    compared: BackendSet,
    with_own_limit: BackendSet,
    ejected: BackendSet,
    cells: FxHashMap<Cell, BackendSet>,
    ready: usize,
    rechecks: BinaryHeap<Reverse<(Micros, BackendKey)>>,
}

impl SelectionIndex {
    /// Returns the group of a zone and machine type, made where it is new.
    pub(crate) fn group_of(&mut self, zone: Zone, machine_type: MachineType) -> GroupKey {
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

    /// Returns the group of a backend, if there is one.
    pub(crate) fn group(&self, key: GroupKey) -> Option<&Group> {
        self.groups.get(key.0)
    }

    /// Returns the backends that selection compares one by one.
    pub(crate) fn compared(&self) -> &BackendSet {
        &self.compared
    }

    /// Returns the backends that have a limit of their own.
    pub(crate) fn with_own_limit(&self) -> &BackendSet {
        &self.with_own_limit
    }

    /// Returns the ready backends of a cell.
    pub(crate) fn cell(&self, cell: Cell) -> Option<&BackendSet> {
        self.cells.get(&cell)
    }

    /// Counts the backends that are ejected.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Counts the ready backends.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready
    }

    /// Adds a backend to its cell or removes it.
    pub(crate) fn set_cell_member(&mut self, cell: Cell, backend: BackendKey, is_member: bool) {
        set_member(self.cells.entry(cell).or_default(), backend, is_member);
    }

    /// Brings the groups up to a batch of changes. `unwrapped_offset` is the slot offset, with the whole turns before it,
    /// of a rank among so many members. Returns the backends whose position has to be evaluated again.
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
        to_evaluate.extend(self.compared.iter().filter(is_in_changed_group));
        to_evaluate
    }

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
            .map(|change| (change.id, backends.find(change.id).filter(is_member)))
            .collect();
        let group = &mut self.groups[key.0];
        self.ready -= group.members().len();
        group.apply(members, unwrapped_offset);
        self.ready += group.members().len();
    }

    /// Sets the position of a backend, which holds until `valid_until`.
    pub(crate) fn set(
        &mut self,
        key: BackendKey,
        backend: &mut BackendState,
        position: Position,
        valid_until: Option<Micros>,
    ) {
        let has_own_limit = backend.limit.source() != LimitSource::MachineType;
        let is_ejected = backend.health.is_ejected();
        set_member(&mut self.with_own_limit, key, backend.ready && has_own_limit);
        set_member(&mut self.ejected, key, backend.ready && is_ejected);
        set_member(&mut self.compared, key, position == Position::Compared);
        self.set_indexed(backend, position == Position::Indexed);
        let entry = &mut backend.index_entry;
        if let Some(until) = valid_until
            && entry.recheck_at.is_none_or(|at| until < at)
        {
            entry.recheck_at = Some(until);
            self.rechecks.push(Reverse((until, key)));
        }
    }

    /// Sets whether selection finds a backend by its rank.
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

    /// Returns a backend whose position held until now or before; each is returned once.
    pub(crate) fn next_due(
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

    /// Samples one of the candidates.
    pub(crate) fn sample(&self, candidates: &Candidates, rng: &mut Rng) -> Option<BackendKey> {
        match candidates {
            Candidates::One(backend) => Some(*backend),
            Candidates::Members { count, group, runs } => {
                let nth = if *count > 1 { rng.usize(0..*count) } else { 0 };
                self.groups[group.0].nth(runs, nth)
            }
        }
    }
}

/// Adds a backend to a set or removes it.
fn set_member(set: &mut BackendSet, backend: BackendKey, is_member: bool) {
    if is_member {
        set.insert(backend);
    } else {
        set.swap_remove(&backend);
    }
}
