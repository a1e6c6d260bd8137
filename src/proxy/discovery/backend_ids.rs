//! Ids for the names that discovery gives backends.

use crate::api::BackendId;
use rustc_hash::{FxHashMap, FxHashSet};

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Assigns an id to each backend name: the hash of the name, so that all proxies use the same id for a backend.
///
/// Names with the same hash get different ids, in the order in which they are first listed. The proxies may disagree on
/// the ids of these names only.
#[derive(Debug, Default)]
pub(super) struct BackendIds {
    by_name: FxHashMap<String, BackendId>,
    /// The ids that are assigned to backends at present.
    assigned: FxHashSet<BackendId>,
}

impl BackendIds {
    /// Returns the id of a name. A name without an id is assigned one.
    pub(super) fn get_or_assign(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.by_name.get(name) {
            return id;
        }
        let mut id = BackendId(fnv1a(name.as_bytes()));
        while !self.assigned.insert(id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.by_name.insert(name.to_owned(), id);
        id
    }

    /// Returns the id of a name; `None` if none was assigned.
    pub(super) fn get(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }

    /// Removes a name and frees its id.
    pub(super) fn remove(&mut self, name: &str) {
        if let Some(id) = self.by_name.remove(name) {
            self.assigned.remove(&id);
        }
    }

    /// Removes all names except those with an id in `listed`.
    pub(super) fn retain(&mut self, listed: &FxHashSet<BackendId>) {
        self.by_name.retain(|_, id| listed.contains(id));
        self.assigned.retain(|id| listed.contains(id));
    }

    /// Returns the number of names that have an id.
    #[cfg(test)]
    pub(super) fn name_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the number of ids in use, which equals the number of names unless a removal left an id behind.
    #[cfg(test)]
    pub(super) fn assigned_count(&self) -> usize {
        self.assigned.len()
    }
}

/// Returns the 32-bit FNV-1a hash of `bytes`, which is the same in every build and on every machine.
fn fnv1a(bytes: &[u8]) -> u32 {
    let mut hash = FNV_OFFSET_BASIS;
    for &byte in bytes {
        hash = (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

#[cfg(test)]
mod tests;
