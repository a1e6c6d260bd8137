//! The data structures that answer a choice among thousands of backends without a look at each.
//!
//! What they are ordered by, and which backends they hold, is decided in `src/balancer/`.

use crate::api::{BackendId, Cell, MachineType, Micros, Zone};
use crate::state::{LimitSource, Server, Servers};
use fastrand::Rng;
use indexmap::IndexSet;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

#[cfg(test)]
mod tests;

const WORD: usize = u64::BITS as usize;
/// A batch of at least this many changes, and of this part of the set, is merged in one pass over the set.
const MERGED_BATCH: usize = 8;
const MERGED_PART: usize = 64;

/// A set of backends in the order of their ids, each with a flag.
///
/// The position of a member in that order is its rank. A flag is set or read in constant time once the rank is known;
/// counting flags looks at one word for 64 members.
#[derive(Default)]
pub(crate) struct RankedSet {
    ids: Vec<BackendId>,
    places: Vec<u32>,
    flags: Vec<u64>,
}

impl RankedSet {
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// The rank of a member.
    pub(crate) fn rank(&self, id: BackendId) -> Option<usize> {
        self.ids.binary_search(&id).ok()
    }

    /// The place that the member of that rank was inserted with.
    pub(crate) fn place(&self, rank: usize) -> usize {
        self.places[rank] as usize
    }

    pub(crate) fn flag(&self, rank: usize) -> bool {
        self.flags[rank / WORD] >> (rank % WORD) & 1 == 1
    }

    pub(crate) fn set_flag(&mut self, rank: usize, flag: bool) {
        let bit = 1 << (rank % WORD);
        let word = &mut self.flags[rank / WORD];
        *word = if flag { *word | bit } else { *word & !bit };
    }

    /// Makes each id of the batch a member with the given place, or none where the place is `None`. An id must not
    /// stand in the batch twice. Flags of members that stay are kept, new members have none.
    pub(crate) fn apply(&mut self, mut batch: Vec<(BackendId, Option<usize>)>) {
        if batch.len() >= MERGED_BATCH && batch.len() >= self.len() / MERGED_PART {
            batch.sort_unstable_by_key(|&(id, _)| id);
            return self.merge(&batch);
        }
        for (id, place) in batch {
            match (self.ids.binary_search(&id), place) {
                (Ok(rank), Some(place)) => self.places[rank] = place as u32,
                (Ok(rank), None) => self.remove(rank),
                (Err(rank), Some(place)) => self.insert(rank, id, place),
                (Err(_), None) => {}
            }
        }
    }

    fn insert(&mut self, rank: usize, id: BackendId, place: usize) {
        self.ids.insert(rank, id);
        self.places.insert(rank, place as u32);
        self.flags.resize(self.len().div_ceil(WORD), 0);
        let low = (1_u64 << (rank % WORD)) - 1;
        let first = &mut self.flags[rank / WORD];
        let mut carry = *first >> (WORD - 1);
        *first = (*first & low) | (*first & !low) << 1;
        for word in &mut self.flags[rank / WORD + 1..] {
            let top = *word >> (WORD - 1);
            *word = *word << 1 | carry;
            carry = top;
        }
    }

    fn remove(&mut self, rank: usize) {
        self.ids.remove(rank);
        self.places.remove(rank);
        let low = (1_u64 << (rank % WORD)) - 1;
        let mut carry = 0;
        for word in self.flags[rank / WORD + 1..].iter_mut().rev() {
            let bottom = *word & 1;
            *word = *word >> 1 | carry << (WORD - 1);
            carry = bottom;
        }
        let first = &mut self.flags[rank / WORD];
        *first = (*first & low) | (*first >> 1 & !low) | carry << (WORD - 1);
        self.flags.truncate(self.ids.len().div_ceil(WORD));
    }

    fn merge(&mut self, batch: &[(BackendId, Option<usize>)]) {
        let old = std::mem::take(self);
        let mut changes = batch.iter().peekable();
        for (rank, &id) in old.ids.iter().enumerate() {
            while let Some(&(new, place)) = changes.next_if(|&&(new, _)| new < id) {
                self.push(new, place, false);
            }
            let place = match changes.next_if(|&&(changed, _)| changed == id) {
                Some(&(_, place)) => place,
                None => Some(old.place(rank)),
            };
            self.push(id, place, old.flag(rank));
        }
        changes.for_each(|&(new, place)| self.push(new, place, false));
    }

    fn push(&mut self, id: BackendId, place: Option<usize>, flag: bool) {
        let Some(place) = place else { return };
        self.ids.push(id);
        self.places.push(place as u32);
        self.flags.resize(self.len().div_ceil(WORD), 0);
        self.set_flag(self.len() - 1, flag);
    }

    /// How many members of these ranks have the flag.
    pub(crate) fn count(&self, ranks: Range<usize>) -> usize {
        self.words(ranks)
            .map(|(_, word)| word.count_ones() as usize)
            .sum()
    }

    /// The rank of the `nth` member, from 0, that has the flag among these ranks.
    pub(crate) fn select(&self, ranks: Range<usize>, mut nth: usize) -> Option<usize> {
        for (at, mut word) in self.words(ranks) {
            let here = word.count_ones() as usize;
            if nth < here {
                (0..nth).for_each(|_| word &= word - 1);
                return Some(at * WORD + word.trailing_zeros() as usize);
            }
            nth -= here;
        }
        None
    }

    /// The words of flags that cover these ranks, with the flags of other ranks cleared.
    fn words(&self, ranks: Range<usize>) -> impl Iterator<Item = (usize, u64)> {
        let first = ranks.start / WORD;
        let end = if ranks.is_empty() {
            first
        } else {
            ranks.end.div_ceil(WORD)
        };
        let mask = move |at: usize| {
            let from = if at == first {
                u64::MAX << (ranks.start % WORD)
            } else {
                u64::MAX
            };
            let beyond = (at + 1) * WORD;
            let to = if beyond > ranks.end {
                u64::MAX >> (beyond - ranks.end)
            } else {
                u64::MAX
            };
            from & to
        };
        self.flags[first..end]
            .iter()
            .enumerate()
            .map(move |(i, word)| (first + i, word & mask(first + i)))
    }
}

/// Two runs of ranks.
pub(crate) type Runs = [Range<usize>; 2];

/// The ready backends of one zone and kind of machine, in the order of their ids. Each has an offset that grows with its
/// rank and wraps around 1 once, so there are two runs in which it grows.
pub(crate) struct Group {
    pub(crate) zone: Zone,
    pub(crate) kind: MachineType,
    /// Flagged: those that the choice finds by their rank alone.
    pub(crate) members: RankedSet,
    /// Grows with each change of the members; ranks of another version are out of date.
    pub(crate) version: u32,
    /// The first rank of the second run.
    wrap: usize,
}

impl Group {
    /// All members.
    pub(crate) fn runs(&self) -> Runs {
        [0..self.wrap, self.wrap..self.members.len()]
    }

    /// The members for which `holds`, which it does for those of the highest offsets; about so many are expected.
    pub(crate) fn highest(&self, expected: usize, holds: impl Fn(usize) -> bool) -> Runs {
        let (wrap, end) = (self.wrap, self.members.len());
        let first = first_rank(0..wrap, wrap.saturating_sub(expected), &holds);
        let second = first_rank(
            wrap..end,
            end.saturating_sub(expected.saturating_sub(wrap)),
            &holds,
        );
        [first..wrap, second..end]
    }

    /// How many members of these runs are flagged.
    pub(crate) fn count(&self, runs: &Runs) -> usize {
        runs.iter().map(|run| self.members.count(run.clone())).sum()
    }

    /// The place of the `nth` flagged member of these runs.
    fn nth(&self, [first, second]: &Runs, nth: usize) -> Option<usize> {
        let rank = match nth.checked_sub(self.members.count(first.clone())) {
            None => self.members.select(first.clone(), nth),
            Some(nth) => self.members.select(second.clone(), nth),
        };
        rank.map(|rank| self.members.place(rank))
    }

    /// The place of the flagged member with the highest offset of each run.
    pub(crate) fn tops(&self) -> impl Iterator<Item = usize> {
        self.runs().into_iter().filter_map(|run| {
            let last = self.members.count(run.clone()).checked_sub(1)?;
            self.members
                .select(run, last)
                .map(|rank| self.members.place(rank))
        })
    }
}

/// The first of these ranks for which `holds`, which it does for all that follow; the end if for none. The search goes
/// on from a guess that is off by a few at the most.
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

/// Backends of the same rank in a choice.
pub(crate) enum Candidates {
    /// The one at this place.
    One(usize),
    /// The flagged members, so many, of runs of a group.
    Members(usize, usize, Runs),
}

impl Candidates {
    fn count(&self) -> usize {
        match self {
            Self::One(_) => 1,
            Self::Members(count, ..) => *count,
        }
    }
}

/// The candidates of the highest rank so far. Of those that tie, some are kept with the chance that they have in a draw.
#[derive(Default)]
pub(crate) struct Ties {
    rank: i64,
    count: usize,
    pub(crate) best: Option<Candidates>,
}

impl Ties {
    pub(crate) fn offer(&mut self, rank: i64, candidates: Candidates, rng: &mut Rng) {
        if self.best.is_some() && rank < self.rank {
            return;
        }
        let tied = self.best.is_some() && rank == self.rank;
        let count = candidates.count();
        self.count = count + if tied { self.count } else { 0 };
        self.rank = rank;
        if !tied || rng.usize(0..self.count) < count {
            self.best = Some(candidates);
        }
    }
}

/// How the choice finds a backend.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Position {
    /// By its rank in its group.
    Indexed,
    /// By a look at it.
    Scanned,
    /// Not at all.
    Barred,
}

/// A backend that came, left or started anew.
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub(crate) place: usize,
    pub(crate) group: usize,
    pub(crate) id: BackendId,
}

/// A set of places with a fixed order for the same history.
pub(crate) type PlaceSet = IndexSet<usize, FxBuildHasher>;

/// All ready backends, sorted by how the choice finds them.
#[derive(Default)]
pub(crate) struct ChoiceIndex {
    pub(crate) groups: Vec<Group>,
    by_key: FxHashMap<(Zone, MachineType), usize>,
    /// Those that the choice compares one by one.
    pub(crate) scanned: PlaceSet,
    /// Those with a limit of their own.
    pub(crate) individual: PlaceSet,
    /// Those that are ejected.
    pub(crate) ejected: PlaceSet,
    /// The ready backends of each cell.
    pub(crate) cells: FxHashMap<Cell, PlaceSet>,
    /// How many backends are ready.
    pub(crate) ready: usize,
    /// When the position of a backend is to be worked out again.
    rechecks: BinaryHeap<Reverse<(Micros, usize)>>,
}

impl ChoiceIndex {
    /// The group of a zone and kind, made where it is new.
    pub(crate) fn group_of(&mut self, zone: Zone, kind: MachineType) -> usize {
        *self.by_key.entry((zone, kind)).or_insert_with(|| {
            self.groups.push(Group {
                zone,
                kind,
                members: RankedSet::default(),
                version: 0,
                wrap: 0,
            });
            self.groups.len() - 1
        })
    }

    /// Brings the groups up to a batch of changes. `unwrapped_offset` is the offset, with the whole turns before it, of a rank
    /// among so many members. Returns the places whose position has to be worked out again.
    pub(crate) fn apply(
        &mut self,
        mut batch: Vec<Change>,
        servers: &Servers,
        unwrapped_offset: impl Fn(usize, usize) -> f64,
    ) -> Vec<usize> {
        let mut places: Vec<usize> = batch.iter().map(|change| change.place).collect();
        batch.sort_unstable_by_key(|change| (change.group, change.id));
        batch.dedup_by_key(|change| (change.group, change.id));
        let mut changed = Vec::new();
        for alike in batch.chunk_by(|a, b| a.group == b.group) {
            let number = alike[0].group;
            let member = |&place: &usize| servers[place].ready && servers[place].group == number;
            let places = alike
                .iter()
                .map(|change| (change.id, servers.find(change.id).filter(member)));
            let group = &mut self.groups[number];
            self.ready -= group.members.len();
            group.members.apply(places.collect());
            let members = group.members.len();
            self.ready += members;
            group.version += 1;
            let first = if members > 0 {
                unwrapped_offset(0, members)
            } else {
                0.0
            };
            let next_turn = first.floor() + 1.0;
            let guess = ((next_turn - first) * members as f64) as usize;
            group.wrap = first_rank(0..members, guess, |rank| {
                unwrapped_offset(rank, members) >= next_turn
            });
            changed.push(number);
        }
        places.extend(
            self.scanned
                .iter()
                .filter(|&&place| changed.contains(&servers[place].group)),
        );
        places
    }

    /// Books the position of a backend, which holds until the given time.
    pub(crate) fn set(
        &mut self,
        place: usize,
        server: &mut Server,
        position: Position,
        until: Option<Micros>,
    ) {
        sync(
            &mut self.individual,
            place,
            server.ready && server.limit_source != LimitSource::Kind,
        );
        sync(
            &mut self.ejected,
            place,
            server.ready && server.ejected_until.is_some(),
        );
        sync(&mut self.scanned, place, position == Position::Scanned);
        self.flag(server, position == Position::Indexed);
        if let Some(until) = until
            && server.recheck_at.is_none_or(|at| until < at)
        {
            server.recheck_at = Some(until);
            self.rechecks.push(Reverse((until, place)));
        }
    }

    /// Whether the choice finds a backend by its rank.
    pub(crate) fn flag(&mut self, server: &Server, flag: bool) {
        if let Some(group) = self.groups.get_mut(server.group).filter(|_| server.ready)
            && let Some(rank) = group.members.rank(server.id)
        {
            group.members.set_flag(rank, flag);
        }
    }

    /// The place of a backend whose position held until now or before; each is told once.
    pub(crate) fn next_due(&mut self, now: Micros, servers: &mut Servers) -> Option<usize> {
        while let Some(&Reverse((at, place))) = self.rechecks.peek() {
            if at > now {
                return None;
            }
            self.rechecks.pop();
            if servers[place].recheck_at == Some(at) {
                servers[place].recheck_at = None;
                return Some(place);
            }
        }
        None
    }

    /// Draws one of the candidates.
    pub(crate) fn draw(&self, candidates: &Candidates, rng: &mut Rng) -> Option<usize> {
        match candidates {
            Candidates::One(place) => Some(*place),
            Candidates::Members(count, number, runs) => {
                let nth = if *count > 1 { rng.usize(0..*count) } else { 0 };
                self.groups[*number].nth(runs, nth)
            }
        }
    }
}

/// Puts a place into a set or takes it out.
pub(crate) fn sync(set: &mut PlaceSet, place: usize, member: bool) {
    if member {
        set.insert(place);
    } else {
        set.swap_remove(&place);
    }
}
