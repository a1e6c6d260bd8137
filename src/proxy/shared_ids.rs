//! The ids of executed requests that the processes of an upgrade share: a request that one of them has sent to a backend
//! must not run again at another.
//!
//! The ids lie as hashes in a file of fixed size in the temporary directory that all processes have. A hash belongs into
//! one bucket of the file; a bucket that is full loses its oldest id. Times are those of the kernel's monotonic clock, which
//! all processes share.

use rustix::fs::{FlockOperation, flock};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

/// The number of buckets in the file.
const BUCKETS: u64 = 4 * 1024;
const IDS_PER_BUCKET: usize = 4;
/// Size of an id in the file: its hash and the time at which it was recorded, in milliseconds.
const ID_BYTES: usize = 16;
const BUCKET_BYTES: usize = IDS_PER_BUCKET * ID_BYTES;
/// The file begins with the seed of the hashes.
const SEED_BYTES: usize = 8;

/// An id in the file. Both numbers are 0 where there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RecordedId {
    hash: u64,
    recorded_at_ms: u64,
}

impl RecordedId {
    fn encode(self) -> [u8; ID_BYTES] {
        let mut bytes = [0; ID_BYTES];
        bytes[..8].copy_from_slice(&self.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&self.recorded_at_ms.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        let number = |from: usize| {
            let bytes = bytes[from..from + 8].try_into().unwrap_or_default();
            u64::from_le_bytes(bytes)
        };
        Self {
            hash: number(0),
            recorded_at_ms: number(8),
        }
    }
}

/// The ids that the processes of an upgrade share.
#[derive(Debug)]
pub struct SharedIds {
    file: File,
    seed: u64,
    /// The time for which an id is remembered.
    remembered_time: Duration,
}

impl SharedIds {
    /// Opens the ids of the processes that accept clients at this address. `directory` is the temporary directory that
    /// they share.
    ///
    /// # Errors
    /// The file cannot be opened, locked or written.
    pub fn open(
        directory: &Path,
        clients: SocketAddr,
        remembered_time: Duration,
    ) -> io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(directory.join(format!("tillerproxy-{clients}-ids")))?;
        // Two processes that start together must not choose different seeds.
        flock(&file, FlockOperation::LockExclusive)?;
        let seed = seed_of(&file);
        flock(&file, FlockOperation::Unlock)?;
        Ok(Self {
            file,
            seed: seed?,
            remembered_time,
        })
    }

    /// Returns the seed with which all processes hash the ids.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns whether the id with this hash has been recorded recently.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        let now = now_ms();
        let bucket = self.bucket(hash);
        bucket
            .iter()
            .any(|id| id.hash == hash && self.is_remembered(*id, now))
    }

    /// Records the id with this hash. Where the file cannot be written, other processes do not learn of it.
    pub fn insert(&self, hash: u64) {
        let now = now_ms();
        let bucket = self.bucket(hash);
        let same = bucket.iter().position(|id| id.hash == hash);
        let oldest = (0..IDS_PER_BUCKET).min_by_key(|&index| bucket[index].recorded_at_ms);
        let recorded = RecordedId {
            hash,
            recorded_at_ms: now,
        };
        self.write(hash, same.or(oldest).unwrap_or_default(), recorded);
    }

    /// Forgets the id with this hash.
    pub fn remove(&self, hash: u64) {
        if let Some(index) = self.bucket(hash).iter().position(|id| id.hash == hash) {
            self.write(hash, index, RecordedId::default());
        }
    }

    /// A time after the present one is of a machine that has restarted since.
    fn is_remembered(&self, id: RecordedId, now_ms: u64) -> bool {
        now_ms
            .checked_sub(id.recorded_at_ms)
            .is_some_and(|age| Duration::from_millis(age) < self.remembered_time)
    }

    /// Reads the bucket of a hash.
    fn bucket(&self, hash: u64) -> [RecordedId; IDS_PER_BUCKET] {
        let mut bytes = [0; BUCKET_BYTES];
        // What the file does not have yet stays 0.
        let _ = self.file.read_at(&mut bytes, bucket_offset(hash));
        let mut ids = [RecordedId::default(); IDS_PER_BUCKET];
        for (id, bytes) in ids.iter_mut().zip(bytes.chunks_exact(ID_BYTES)) {
            *id = RecordedId::decode(bytes);
        }
        ids
    }

    /// Writes the id at this index of the bucket of a hash.
    fn write(&self, hash: u64, index: usize, id: RecordedId) {
        let offset = bucket_offset(hash) + (index * ID_BYTES) as u64;
        if let Err(error) = self.file.write_all_at(&id.encode(), offset) {
            tracing::warn!(%error, "cannot tell other processes which requests have run");
        }
    }
}

/// Returns the seed that the file begins with. A new file is given one.
fn seed_of(file: &File) -> io::Result<u64> {
    let mut bytes = [0; SEED_BYTES];
    let _ = file.read_at(&mut bytes, 0)?;
    let written = u64::from_le_bytes(bytes);
    if written != 0 {
        return Ok(written);
    }
    let seed = fastrand::u64(1..);
    file.write_all_at(&seed.to_le_bytes(), 0)?;
    Ok(seed)
}

/// Returns the position of the bucket of a hash in the file.
fn bucket_offset(hash: u64) -> u64 {
    SEED_BYTES as u64 + (hash % BUCKETS) * BUCKET_BYTES as u64
}

/// Returns the milliseconds of the kernel's monotonic clock.
fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}

#[cfg(test)]
mod tests;
