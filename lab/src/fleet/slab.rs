//! Storage for things that several pending events refer to; a place is used again once nothing refers to it.

use std::ops::{Index, IndexMut};

/// Values at places that stay the same, each with a count of references.
#[derive(Debug)]
pub struct RefSlab<T> {
    places: Vec<(T, u32)>,
    free: Vec<u32>,
}

impl<T> RefSlab<T> {
    /// An empty slab.
    #[must_use]
    pub fn new() -> Self {
        Self {
            places: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Stores a value with `references` references and returns its place.
    pub fn insert(&mut self, value: T, references: u32) -> u32 {
        if let Some(place) = self.free.pop() {
            self.places[place as usize] = (value, references);
            return place;
        }
        self.places.push((value, references));
        (self.places.len() - 1) as u32
    }

    /// Adds a reference.
    pub fn retain(&mut self, place: u32) {
        self.places[place as usize].1 += 1;
    }

    /// Drops a reference. The value may be replaced after the last one; returns whether it was the last.
    pub fn release(&mut self, place: u32) -> bool {
        let references = &mut self.places[place as usize].1;
        *references -= 1;
        let last = *references == 0;
        if last {
            self.free.push(place);
        }
        last
    }

    /// The places in use.
    pub fn places(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.places.len() as u32).filter(|&place| self.places[place as usize].1 > 0)
    }
}

impl<T> Default for RefSlab<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Index<u32> for RefSlab<T> {
    type Output = T;
    fn index(&self, place: u32) -> &T {
        &self.places[place as usize].0
    }
}

impl<T> IndexMut<u32> for RefSlab<T> {
    fn index_mut(&mut self, place: u32) -> &mut T {
        &mut self.places[place as usize].0
    }
}
