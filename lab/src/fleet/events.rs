//! The event queue: what happens next in virtual time.
//!
//! Events of the same time come in the order in which they were pushed, so that a run depends on its seed
//! alone. The near future is a binary heap; later events wait in the buckets of a wheel, unsorted, until their
//! bucket is near. Pushing costs constant time for most events, however many deadlines are pending.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tillerproxy::api::Micros;

/// Width of a bucket, as a power of two: 512 us.
const BUCKET_BITS: u32 = 9;
/// Number of buckets: a horizon of 8.4 s.
const BUCKETS: usize = 1 << 14;

/// An event with its time and its rank among those of the same time.
#[derive(Clone, Copy, Debug)]
struct Entry<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The earliest is the greatest: `BinaryHeap` pops the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A queue of events, earliest first, first pushed first among those of the same time.
#[derive(Debug)]
pub struct EventQueue<T> {
    now: Micros,
    sequence: u64,
    /// Events of the current bucket and before.
    near: BinaryHeap<Entry<T>>,
    /// The number of the current bucket, counted from time 0.
    bucket: u64,
    wheel: Vec<Vec<Entry<T>>>,
    in_wheel: usize,
    /// Empty vectors of buckets that have passed: they keep their memory for others.
    spare: Vec<Vec<Entry<T>>>,
    /// Events beyond the wheel's horizon.
    far: BinaryHeap<Entry<T>>,
}

impl<T: Copy> EventQueue<T> {
    /// An empty queue at time 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            now: 0,
            sequence: 0,
            near: BinaryHeap::new(),
            bucket: 0,
            wheel: (0..BUCKETS).map(|_| Vec::new()).collect(),
            in_wheel: 0,
            spare: Vec::new(),
            far: BinaryHeap::new(),
        }
    }

    /// The time of the event popped last.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many events are pending.
    #[must_use]
    pub fn len(&self) -> usize {
        self.near.len() + self.in_wheel + self.far.len()
    }

    /// Whether no event is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an event; one whose time has passed happens now.
    pub fn push(&mut self, at: Micros, event: T) {
        let at = at.max(self.now);
        let entry = Entry {
            at,
            sequence: self.sequence,
            event,
        };
        self.sequence += 1;
        let bucket = at >> BUCKET_BITS;
        if bucket <= self.bucket {
            self.near.push(entry);
        } else if bucket - self.bucket < BUCKETS as u64 {
            let entries = &mut self.wheel[bucket as usize % BUCKETS];
            if entries.capacity() == 0 {
                *entries = self.spare.pop().unwrap_or_default();
            }
            entries.push(entry);
            self.in_wheel += 1;
        } else {
            self.far.push(entry);
        }
    }

    /// Adds an event that happens after a span from now.
    pub fn push_after(&mut self, span: Micros, event: T) {
        self.push(self.now.saturating_add(span), event);
    }

    /// The next event and its time, which is the queue's present from then on.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        while self.near.is_empty() {
            if self.is_empty() {
                return None;
            }
            self.advance();
        }
        let entry = self.near.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    /// Moves to the next bucket, or to the next one that holds anything where the wheel is empty.
    fn advance(&mut self) {
        let next_far = self.far.peek().map(|entry| entry.at >> BUCKET_BITS);
        self.bucket = match next_far {
            Some(bucket) if self.in_wheel == 0 => bucket,
            _ => self.bucket + 1,
        };
        let mut due = std::mem::take(&mut self.wheel[self.bucket as usize % BUCKETS]);
        self.in_wheel -= due.len();
        self.near.extend(due.drain(..));
        if due.capacity() > 0 {
            self.spare.push(due);
        }
        while self
            .far
            .peek()
            .is_some_and(|entry| entry.at >> BUCKET_BITS <= self.bucket)
        {
            self.near.extend(self.far.pop());
        }
    }
}

impl<T: Copy> Default for EventQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
