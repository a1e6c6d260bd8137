//! Tests of the ranked set (compared with an ordered map), of groups, and of the order of rechecks.

use super::ranked_set::{MemberChange, RankedSet};
use super::*;
use std::collections::BTreeMap;
use std::ops::Range;

/// Value and flag of one member of a ranked set.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Member {
    value: usize,
    is_flagged: bool,
}

/// A ranked set and an ordered map as its model. The same changes are applied to both.
#[derive(Default)]
struct ModelledSet {
    set: RankedSet<usize>,
    model: BTreeMap<BackendId, Member>,
}

impl ModelledSet {
    fn apply(&mut self, batch: Vec<MemberChange<usize>>) {
        for change in &batch {
            match change.value {
                Some(value) => self.insert_into_model(change.id, value),
                None => drop(self.model.remove(&change.id)),
            }
        }
        self.set.apply(batch);
    }

    fn insert_into_model(&mut self, id: BackendId, value: usize) {
        let added = Member {
            value,
            is_flagged: false,
        };
        self.model.entry(id).or_insert(added).value = value;
    }

    fn set_flag(&mut self, id: BackendId, flag: bool) {
        if let Some(rank) = self.set.rank(id) {
            self.set.set_flag(rank, flag);
        }
        if let Some(member) = self.model.get_mut(&id) {
            member.is_flagged = flag;
        }
    }

    /// Asserts that set and model have the same members, and the same flagged members in a range of ranks.
    fn check(&self, ranks: Range<usize>) {
        assert_eq!(self.set.len(), self.model.len());
        for (rank, (&id, &expected)) in self.model.iter().enumerate() {
            assert_eq!(self.set.rank(id), Some(rank));
            let member = Member {
                value: self.set.value(rank),
                is_flagged: self.set.flag(rank),
            };
            assert_eq!(member, expected, "rank {rank}");
        }
        let members: Vec<Member> = self.model.values().copied().collect();
        let flagged: Vec<usize> = ranks
            .clone()
            .filter(|&rank| members[rank].is_flagged)
            .collect();
        assert_eq!(
            self.set.count(ranks.clone()),
            flagged.len(),
            "{ranks:?} of {}",
            members.len()
        );
        for nth in 0..=flagged.len() {
            assert_eq!(
                self.set.select(ranks.clone(), nth),
                flagged.get(nth).copied(),
                "{ranks:?}, {nth}"
            );
        }
    }
}

#[test]
fn a_ranked_set_equals_an_ordered_map_after_random_batches() {
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let mut modelled = ModelledSet::default();
        for _ in 0..60 {
            let size = if rng.u8(0..4) == 0 {
                rng.usize(0..120)
            } else {
                rng.usize(0..4)
            };
            let mut ids: Vec<BackendId> = (0..size).map(|_| BackendId(rng.u32(0..300))).collect();
            ids.sort_unstable();
            ids.dedup();
            rng.shuffle(&mut ids);
            let change = |id| MemberChange {
                id,
                value: (rng.u8(0..5) < 3).then(|| rng.usize(0..1_000)),
            };
            modelled.apply(ids.into_iter().map(change).collect());
            for _ in 0..20 {
                modelled.set_flag(BackendId(rng.u32(0..300)), rng.bool());
            }
            let start = rng.usize(0..=modelled.model.len());
            let end = rng.usize(start..=modelled.model.len());
            modelled.check(start..end);
        }
    }
}

fn ready(id: u32, group: GroupKey) -> BackendState {
    BackendState {
        id: BackendId(id),
        index_entry: IndexEntry::new(group),
        ready: true,
        listed: true,
        ..BackendState::default()
    }
}

fn change(backend: BackendKey, group: GroupKey, id: u32) -> Change {
    let id = BackendId(id);
    Change { backend, group, id }
}

#[test]
fn membership_changes_update_the_members_versions_and_ready_count() {
    let mut index = SelectionIndex::default();
    let mut backends = BackendTable::default();
    let own = index.find_or_add_group(Zone(0), MachineType(0));
    let other = index.find_or_add_group(Zone(1), MachineType(0));
    assert_eq!(index.find_or_add_group(Zone(0), MachineType(0)), own);
    let keys =
        [(5, own), (3, own), (4, other)].map(|(id, group)| backends.insert(ready(id, group)));
    let offset = |rank: usize, members: usize| rank as f64 / members as f64;
    let first_added = change(keys[0], own, 5);
    let all = vec![
        first_added,
        change(keys[1], own, 3),
        change(keys[2], other, 4),
        first_added,
    ];
    index.apply(all, &backends, offset);
    assert_eq!(index.ready, 3);
    assert_eq!(index.groups[own.0].members().len(), 2);
    backends[keys[0]].ready = false;
    index.apply(vec![first_added], &backends, offset);
    assert_eq!(index.ready, 2);
    assert_eq!(index.groups[own.0].version(), 2);
    assert_eq!(index.groups[other.0].version(), 1);
}

#[test]
fn highest_offsets_returns_the_same_ranks_for_any_expected_count() {
    for members in [0, 1, 2, 7, 64, 65] {
        for shift in [0.0, 0.3, 5.99] {
            let mut index = SelectionIndex::default();
            let mut backends = BackendTable::default();
            let group = index.find_or_add_group(Zone(0), MachineType(0));
            let batch = (0..members)
                .map(|id| change(backends.insert(ready(id, group)), group, id))
                .collect();
            let unwrapped_offset =
                |rank: usize, members: usize| rank as f64 / members as f64 + shift;
            index.apply(batch, &backends, unwrapped_offset);
            let offset = |rank: usize| unwrapped_offset(rank, members as usize).fract();
            for (min_offset, expected_count) in [(0.0, 0), (0.2, 3), (0.5, 99), (0.97, 1), (2.0, 5)]
            {
                let is_high = |rank| offset(rank) >= min_offset;
                let found = index.groups[group.0].highest_offsets(expected_count, is_high);
                let mut found: Vec<usize> = found.into_iter().flatten().collect();
                found.sort_unstable();
                let expected: Vec<usize> = (0..members as usize)
                    .filter(|&rank| offset(rank) >= min_offset)
                    .collect();
                assert_eq!(
                    found, expected,
                    "{members} members, shifted by {shift}, offsets of at least {min_offset}"
                );
            }
        }
    }
}

#[test]
fn due_rechecks_are_returned_in_the_order_of_their_times() {
    let mut index = SelectionIndex::default();
    let mut backends = BackendTable::default();
    let group = index.find_or_add_group(Zone(0), MachineType(0));
    let keys = [0, 1, 2].map(|id| backends.insert(ready(id, group)));
    for (at, key) in [(30, keys[0]), (10, keys[1]), (20, keys[2])] {
        index.set_position(key, &mut backends[key], Position::Excluded, Some(at));
    }
    assert_eq!(index.pop_due_recheck(9, &mut backends), None);
    let due = [20, 20, 20].map(|now| index.pop_due_recheck(now, &mut backends));
    assert_eq!(due, [Some(keys[1]), Some(keys[2]), None]);
}
