//! The event queue of the simulation, ordered by virtual time.
//!
//! Events of the same time are popped in the order in which they were pushed, so that a run depends only on its
//! scenario and seed. Events of the current bucket are kept in a binary heap. Later events are kept unsorted in the
//! buckets of a timing wheel, and those beyond the wheel's horizon in a second heap. Most events are therefore pushed
//! in constant time, however many deadlines are pending.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tillerproxy::api::Micros;

/// Width of a bucket as an exponent of two: 512 microseconds.
const BUCKET_BITS: u32 = 9;
/// Number of buckets of the wheel: a horizon of 8.4 seconds.
const BUCKETS: usize = 1 << 14;

/// A pending event with its time, and a sequence number that orders events of the same time.
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
    /// Orders the earliest entry as the greatest, because `BinaryHeap` pops the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A queue that pops the earliest event first, and events of the same time in the order of their pushes.
#[derive(Debug)]
pub struct EventQueue<T> {
    /// Time of the event popped last.
    now: Micros,
    /// Sequence number of the next event to be pushed.
    sequence: u64,
    /// Events of the current bucket and earlier ones.
    near: BinaryHeap<Entry<T>>,
    /// Number of the current bucket, counted from time 0.
    bucket: u64,
    /// The timing wheel: events within its horizon, by bucket number modulo the number of buckets.
    wheel: Vec<Vec<Entry<T>>>,
    /// Number of events in the timing wheel.
    in_wheel: usize,
    /// Emptied vectors of past buckets, kept so that later buckets reuse their memory.
    spare: Vec<Vec<Entry<T>>>,
    /// Events beyond the wheel's horizon.
    far: BinaryHeap<Entry<T>>,
}

impl<T: Copy> EventQueue<T> {
    /// Creates an empty queue at time 0.
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

    /// Returns the time of the event popped last.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the number of pending events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.near.len() + self.in_wheel + self.far.len()
    }

    /// Returns whether no event is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an event. A time in the past is replaced by the current time.
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

    /// Adds an event that happens `delay` after the current time.
    pub fn push_after(&mut self, delay: Micros, event: T) {
        self.push(self.now.saturating_add(delay), event);
    }

    /// Removes and returns the next event with its time, which becomes the current time of the queue.
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

    /// Moves to the next bucket, or directly to the bucket of the next far event if the wheel is empty.
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
