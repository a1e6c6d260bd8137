//! Ids for the names that discovery gives backends.

use crate::api::BackendId;
use rustc_hash::{FxHashMap, FxHashSet};

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Assigns each backend name an id: the hash of the name, so that all proxies number a backend
/// alike.
///
/// Two names with the same hash get different ids, in the order in which they come; only for those
/// two the proxies may disagree.
#[derive(Debug, Default)]
pub(super) struct BackendIds {
    by_name: FxHashMap<String, BackendId>,
    assigned: FxHashSet<BackendId>,
}

impl BackendIds {
    /// Returns the id of a name, and assigns one to a new name.
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

    /// Returns the id of a name that has one.
    pub(super) fn get(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }

    /// Forgets a name and frees its id.
    pub(super) fn remove(&mut self, name: &str) {
        if let Some(id) = self.by_name.remove(name) {
            self.assigned.remove(&id);
        }
    }

    /// Forgets all names but those of the ids given.
    pub(super) fn retain(&mut self, listed: &FxHashSet<BackendId>) {
        self.by_name.retain(|_, id| listed.contains(id));
        self.assigned.retain(|id| listed.contains(id));
    }

    #[cfg(test)]
    pub(super) fn name_count(&self) -> usize {
        self.by_name.len()
    }

    #[cfg(test)]
    pub(super) fn assigned_count(&self) -> usize {
        self.assigned.len()
    }
}

/// Hashes with FNV-1a, 32 bits, which is the same in each build and on each machine.
fn fnv1a(bytes: &[u8]) -> u32 {
    let mut hash = FNV_OFFSET_BASIS;
    for &byte in bytes {
        hash = (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

#[cfg(test)]
mod tests;
