//! An ordered set of backends with a value and a flag for each member.

use crate::api::BackendId;
use std::ops::Range;

const WORD_BITS: usize = u64::BITS as usize;
/// Minimum number of changes in a batch that is merged in one pass over the set. The changes of a smaller batch are
/// applied one by one.
const MIN_MERGED_BATCH: usize = 8;
/// Maximum ratio of the set's members to the changes of a batch that is merged in one pass. The changes of a batch that
/// is small compared with the set are applied one by one.
const MAX_MEMBERS_PER_MERGED_CHANGE: usize = 64;

/// A change of one backend in a [`RankedSet`].
#[derive(Clone, Copy)]
pub(crate) struct MemberChange<V> {
    pub(crate) id: BackendId,
    /// Value to insert, or to replace the present value with; `None` to remove the backend from the set.
    pub(crate) value: Option<V>,
}

/// A set of backends in the order of their ids, each with a value and a flag.
///
/// The rank of a member is its position in that order. Finding a rank takes logarithmic time; reading or setting a flag
/// by rank takes constant time. Counting the flagged members of a range, or finding the nth of them, reads one 64-bit
/// word for every 64 members of the range.
pub(crate) struct RankedSet<V> {
    ids: Vec<BackendId>,
    values: Vec<V>,
    flags: Vec<u64>,
}

impl<V> Default for RankedSet<V> {
    fn default() -> Self {
        Self {
            ids: Vec::new(),
            values: Vec::new(),
            flags: Vec::new(),
        }
    }
}

impl<V: Copy> RankedSet<V> {
    /// Returns the number of members.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns the rank of a member, or `None` if the id is not in the set.
    pub(crate) fn rank(&self, id: BackendId) -> Option<usize> {
        self.ids.binary_search(&id).ok()
    }

    /// Returns the value of the member at `rank`.
    pub(crate) fn value(&self, rank: usize) -> V {
        self.values[rank]
    }

    /// Returns the flag of the member at `rank`.
    pub(crate) fn flag(&self, rank: usize) -> bool {
        self.flags[rank / WORD_BITS] >> (rank % WORD_BITS) & 1 == 1
    }

    /// Sets the flag of the member at `rank`.
    pub(crate) fn set_flag(&mut self, rank: usize, flag: bool) {
        let bit = 1 << (rank % WORD_BITS);
        let word = &mut self.flags[rank / WORD_BITS];
        if flag {
            *word |= bit;
        } else {
            *word &= !bit;
        }
    }

    /// Applies a batch of changes, which must not contain an id twice. Removing an id that is not in the set has no
    /// effect.
    ///
    /// Members that stay keep their flags; the flag of a new member is not set.
    pub(crate) fn apply(&mut self, mut batch: Vec<MemberChange<V>>) {
        let is_large = batch.len() >= MIN_MERGED_BATCH
            && batch.len() >= self.len() / MAX_MEMBERS_PER_MERGED_CHANGE;
        if is_large {
            batch.sort_unstable_by_key(|change| change.id);
            self.merge(&batch);
            return;
        }
        for MemberChange { id, value } in batch {
            match (self.ids.binary_search(&id), value) {
                (Ok(rank), Some(value)) => self.values[rank] = value,
                (Ok(rank), None) => self.remove(rank),
                (Err(rank), Some(value)) => self.insert(rank, id, value),
                (Err(_), None) => {}
            }
        }
    }

    /// Inserts a member, and shifts the flags of all later ranks up by one.
    fn insert(&mut self, rank: usize, id: BackendId, value: V) {
        self.ids.insert(rank, id);
        self.values.insert(rank, value);
        self.flags.resize(self.len().div_ceil(WORD_BITS), 0);
        let low_bits = (1_u64 << (rank % WORD_BITS)) - 1;
        let first = &mut self.flags[rank / WORD_BITS];
        let mut carry = *first >> (WORD_BITS - 1);
        *first = (*first & low_bits) | (*first & !low_bits) << 1;
        for word in &mut self.flags[rank / WORD_BITS + 1..] {
            let top_bit = *word >> (WORD_BITS - 1);
            *word = *word << 1 | carry;
            carry = top_bit;
        }
    }

    /// Removes a member, and shifts the flags of all later ranks down by one.
    fn remove(&mut self, rank: usize) {
        self.ids.remove(rank);
        self.values.remove(rank);
        let low_bits = (1_u64 << (rank % WORD_BITS)) - 1;
        let mut carry = 0;
        for word in self.flags[rank / WORD_BITS + 1..].iter_mut().rev() {
            let bottom_bit = *word & 1;
            *word = *word >> 1 | carry << (WORD_BITS - 1);
            carry = bottom_bit;
        }
        let first = &mut self.flags[rank / WORD_BITS];
        *first = (*first & low_bits) | (*first >> 1 & !low_bits) | carry << (WORD_BITS - 1);
        self.flags.truncate(self.ids.len().div_ceil(WORD_BITS));
    }

    /// Applies a batch in the order of its ids in one pass over the set.
    fn merge(&mut self, batch: &[MemberChange<V>]) {
        let old = std::mem::take(self);
        let mut changes = batch.iter().peekable();
        for (rank, &id) in old.ids.iter().enumerate() {
            while let Some(change) = changes.next_if(|change| change.id < id) {
                self.push(change.id, change.value, false);
            }
            let value = match changes.next_if(|change| change.id == id) {
                Some(change) => change.value,
                None => Some(old.values[rank]),
            };
            self.push(id, value, old.flag(rank));
        }
        for change in changes {
            self.push(change.id, change.value, false);
        }
    }

    /// Appends a member after all others. Does nothing if `value` is `None`.
    fn push(&mut self, id: BackendId, value: Option<V>, flag: bool) {
        let Some(value) = value else {
            return;
        };
        self.ids.push(id);
        self.values.push(value);
        self.flags.resize(self.len().div_ceil(WORD_BITS), 0);
        self.set_flag(self.len() - 1, flag);
    }

    /// Returns the number of flagged members in a range of ranks.
    pub(crate) fn count(&self, ranks: Range<usize>) -> usize {
        self.words(ranks)
            .map(|(_, word)| word.count_ones() as usize)
            .sum()
    }

    /// Returns the rank of the `nth` flagged member in a range of ranks, counted from 0, or `None` if there are fewer.
    pub(crate) fn select(&self, ranks: Range<usize>, nth: usize) -> Option<usize> {
        let mut to_skip = nth;
        for (position, mut word) in self.words(ranks) {
            let flagged = word.count_ones() as usize;
            if to_skip >= flagged {
                to_skip -= flagged;
                continue;
            }
            for _ in 0..to_skip {
                let without_lowest_bit = word & (word - 1);
                word = without_lowest_bit;
            }
            return Some(position * WORD_BITS + word.trailing_zeros() as usize);
        }
        None
    }

    /// Returns the words of `flags` that cover a range of ranks, each with its position. The bits of ranks outside the
    /// range are cleared.
    fn words(&self, ranks: Range<usize>) -> impl Iterator<Item = (usize, u64)> {
        let first = ranks.start / WORD_BITS;
        let end = if ranks.is_empty() {
            first
        } else {
            ranks.end.div_ceil(WORD_BITS)
        };
        let words = self.flags[first..end].iter().enumerate();
        words.map(move |(offset, word)| {
            let position = first + offset;
            (position, word & mask(&ranks, position))
        })
    }
}

/// Returns a mask of the bits in the word at `position` whose ranks are in `ranks`.
fn mask(ranks: &Range<usize>, position: usize) -> u64 {
    let from_start = if position == ranks.start / WORD_BITS {
        u64::MAX << (ranks.start % WORD_BITS)
    } else {
        u64::MAX
    };
    let word_end = (position + 1) * WORD_BITS;
    let to_end = if word_end > ranks.end {
        u64::MAX >> (word_end - ranks.end)
    } else {
        u64::MAX
    };
    from_start & to_end
}
