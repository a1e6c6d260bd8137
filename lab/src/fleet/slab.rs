//! A slab with reference counts, for values that several pending events refer to. An entry is reused after its last
//! reference is released.

use std::fmt;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// Key of a value of type `T` in a [`RefSlab`].
pub struct Key<T> {
    index: u32,
    value: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Creates the key of the entry at an index.
    #[must_use]
    pub const fn new(index: u32) -> Self {
        Self {
            index,
            value: PhantomData,
        }
    }
}

// The traits are implemented by hand because derived implementations would require the same traits of `T`.
impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> Default for Key<T> {
    fn default() -> Self {
        Self::new(0)
    }
}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index
    }
}

impl<T> Eq for Key<T> {}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.index)
    }
}

/// A value and the number of references to it. A free entry has no reference and keeps its old value until reuse.
#[derive(Debug)]
struct Entry<T> {
    value: T,
    references: u32,
}

/// Reference-counted values with stable keys.
#[derive(Debug)]
pub struct RefSlab<T> {
    entries: Vec<Entry<T>>,
    free: Vec<Key<T>>,
}

impl<T> RefSlab<T> {
    /// Creates an empty slab.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Stores a value with an initial count of references and returns its key.
    pub fn insert(&mut self, value: T, references: u32) -> Key<T> {
        let entry = Entry { value, references };
        if let Some(key) = self.free.pop() {
            self.entries[key.index as usize] = entry;
            return key;
        }
        self.entries.push(entry);
        Key::new((self.entries.len() - 1) as u32)
    }

    /// Adds a reference to a value.
    pub fn retain(&mut self, key: Key<T>) {
        self.entries[key.index as usize].references += 1;
    }

    /// Releases a reference to a value and returns whether it was the last one. After the last one the entry may be
    /// reused for another value.
    pub fn release(&mut self, key: Key<T>) -> bool {
        let references = &mut self.entries[key.index as usize].references;
        *references -= 1;
        let last = *references == 0;
        if last {
            self.free.push(key);
        }
        last
    }

    /// Iterates over the keys in use, in the order of their indices.
    pub fn keys(&self) -> impl Iterator<Item = Key<T>> + '_ {
        (0..)
            .zip(&self.entries)
            .filter(|(_, entry)| entry.references > 0)
            .map(|(index, _)| Key::new(index))
    }
}

impl<T> Default for RefSlab<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Index<Key<T>> for RefSlab<T> {
    type Output = T;
    fn index(&self, key: Key<T>) -> &T {
        &self.entries[key.index as usize].value
    }
}

impl<T> IndexMut<Key<T>> for RefSlab<T> {
    fn index_mut(&mut self, key: Key<T>) -> &mut T {
        &mut self.entries[key.index as usize].value
    }
}
