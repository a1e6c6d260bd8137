//! The processes that share the limits of a proxy: the old and the new one during an upgrade.
//!
//! Each process holds the lock of a slot, a small file in the temporary directory that all of them have, and writes what
//! it uses into it. The kernel releases the lock when the process ends, however it ends, so a slot is never outdated.

use rustix::fs::{FlockOperation, flock};
use rustix::param::page_size;
use std::cell::Cell;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The largest number of processes that share the limits. An old process may still complete its last responses while two
/// further upgrades follow.
pub const MAX_PROCESSES: usize = 4;
/// Where the kernel reports the pages of this process.
const PAGES_FILE: &str = "/proc/self/statm";

/// What a process uses of the shared limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The number of descriptors, including those that the process sets aside.
    pub descriptors: usize,
    /// The memory in bytes.
    pub memory_bytes: usize,
}

/// The encoded form of a [`ProcessUsage`].
type UsageRecord = [u8; 16];

impl ProcessUsage {
    fn encode(self) -> UsageRecord {
        let mut record = UsageRecord::default();
        record[..8].copy_from_slice(&(self.descriptors as u64).to_le_bytes());
        record[8..].copy_from_slice(&(self.memory_bytes as u64).to_le_bytes());
        record
    }

    fn decode(record: UsageRecord) -> Self {
        let number = |from: usize| {
            let bytes = record[from..from + 8].try_into().unwrap_or_default();
            usize::try_from(u64::from_le_bytes(bytes)).unwrap_or(usize::MAX)
        };
        Self {
            descriptors: number(0),
            memory_bytes: number(8),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            descriptors: self.descriptors.saturating_add(other.descriptors),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
        }
    }
}

/// The slot of another process.
#[derive(Debug)]
struct OtherSlot {
    file: File,
    /// Whether a process held the lock when it was last checked.
    is_held: Cell<bool>,
}

/// A process's membership in the group, which ends when it is dropped.
#[derive(Debug)]
pub struct ProcessGroup {
    own_slot: File,
    other_slots: Vec<OtherSlot>,
}

impl ProcessGroup {
    /// Joins the group of the processes that accept clients at this address. `directory` is the temporary directory that
    /// they share.
    ///
    /// # Errors
    /// The files of the slots cannot be opened, or all slots are held.
    pub fn join(directory: &Path, clients: SocketAddr) -> io::Result<Self> {
        let mut own_slot = None;
        let mut other_slots = Vec::new();
        for slot in 0..MAX_PROCESSES {
            let path = directory.join(format!("tillerproxy-{clients}-{slot}"));
            let file = OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)?;
            let is_locked = own_slot.is_none()
                && flock(&file, FlockOperation::NonBlockingLockExclusive).is_ok();
            if is_locked {
                own_slot = Some(file);
            } else {
                other_slots.push(OtherSlot {
                    file,
                    is_held: Cell::new(false),
                });
            }
        }
        let own_slot = own_slot.ok_or(io::ErrorKind::ResourceBusy)?;
        let group = Self {
            own_slot,
            other_slots,
        };
        group.find_others();
        Ok(group)
    }

    /// Finds the other processes that are in the group now.
    pub fn find_others(&self) {
        for slot in &self.other_slots {
            // A lock that can be shared is held by nobody. It is released before anybody can want it for longer.
            let is_free = flock(&slot.file, FlockOperation::NonBlockingLockShared).is_ok();
            if is_free {
                let _ = flock(&slot.file, FlockOperation::Unlock);
            }
            slot.is_held.set(!is_free);
        }
    }

    /// Returns whether another process was in the group when [`Self::find_others`] was last called.
    #[must_use]
    pub fn has_others(&self) -> bool {
        self.other_slots.iter().any(|slot| slot.is_held.get())
    }

    /// Returns what the other processes use now.
    #[must_use]
    pub fn usage_of_others(&self) -> ProcessUsage {
        let held = self.other_slots.iter().filter(|slot| slot.is_held.get());
        held.map(|slot| {
            let mut record = UsageRecord::default();
            // Until a process that has just joined has written its usage, that of the slot's last holder counts.
            let _ = slot.file.read_at(&mut record, 0);
            ProcessUsage::decode(record)
        })
        .fold(ProcessUsage::default(), ProcessUsage::plus)
    }

    /// Tells the other processes what this one uses.
    pub fn report(&self, usage: ProcessUsage) {
        let _ = self.own_slot.write_at(&usage.encode(), 0);
    }
}

/// Returns the resident memory of this process in bytes, which includes memory that was freed but not returned to the
/// kernel; `None` if the kernel does not report it.
#[must_use]
pub fn resident_bytes() -> Option<usize> {
    let text = fs::read_to_string(PAGES_FILE).ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages.saturating_mul(page_size()))
}

#[cfg(test)]
mod tests;
