//! The correlation ids of the requests that are open, or that a backend may have executed recently.
//!
//! Clients give each request an id of its own. A request with an id that is still open, or that a backend may have executed,
//! could run a second time (rule 2, idempotency).

use super::shared_ids::SharedIds;
use hyper::header::HeaderValue;
use rustc_hash::{FxHashSet, FxHasher};
use std::cell::RefCell;
use std::hash::{Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The shortest time for which the id of an executed request is remembered, unless there are too many.
const MIN_REMEMBERED_TIME: Duration = Duration::from_secs(30);
/// The largest number of ids in a generation, so that the memory is bounded whatever clients send.
const MAX_GENERATION_IDS: usize = 16 * 1024;

/// Ids in two generations. The older one is forgotten when the younger one is full or old enough.
#[derive(Debug)]
struct RecentIds {
    young: FxHashSet<u64>,
    old: FxHashSet<u64>,
    began_at: Instant,
}

impl RecentIds {
    fn new() -> Self {
        Self {
            young: FxHashSet::default(),
            old: FxHashSet::default(),
            began_at: Instant::now(),
        }
    }

    fn insert(&mut self, hash: u64) {
        if self.young.len() >= MAX_GENERATION_IDS || self.began_at.elapsed() >= MIN_REMEMBERED_TIME
        {
            self.old = std::mem::take(&mut self.young);
            self.began_at = Instant::now();
        }
        self.young.insert(hash);
    }

    fn remove(&mut self, hash: u64) {
        self.young.remove(&hash);
        self.old.remove(&hash);
    }

    fn contains(&self, hash: u64) -> bool {
        self.young.contains(&hash) || self.old.contains(&hash)
    }
}

/// The ids that no request may have at present.
#[derive(Debug)]
pub struct CorrelationIds {
    open: RefCell<FxHashSet<HeaderValue>>,
    executed: RefCell<RecentIds>,
    /// The executed ids of all processes that accept the same clients; `None` if there are no others.
    shared: Option<SharedIds>,
    /// Makes the hashes differ from those of other proxies, so that clients cannot choose ids that collide.
    hash_seed: u64,
}

impl CorrelationIds {
    /// Creates the table of a process that shares its clients with no other.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Self::with_shared(None)
    }

    /// Creates the table of a process that may share the clients of this address with others, which have the same
    /// temporary directory.
    ///
    /// # Errors
    /// The same as those of [`SharedIds::open`].
    pub fn open_shared(directory: &Path, clients: SocketAddr) -> io::Result<Rc<Self>> {
        let shared = SharedIds::open(directory, clients, MIN_REMEMBERED_TIME)?;
        Ok(Self::with_shared(Some(shared)))
    }

    fn with_shared(shared: Option<SharedIds>) -> Rc<Self> {
        let hash_seed = shared
            .as_ref()
            .map_or_else(|| fastrand::u64(..), SharedIds::seed);
        Rc::new(Self {
            open: RefCell::default(),
            executed: RefCell::new(RecentIds::new()),
            shared,
            hash_seed,
        })
    }

    /// Claims the id of a request until the claim is dropped. Returns `None` if an open request has the id, or if a backend
    /// may execute or have executed a request with it.
    #[must_use]
    pub fn claim(self: &Rc<Self>, id: &HeaderValue) -> Option<ClaimedId> {
        if self.may_have_run(self.hash(id)) {
            return None;
        }
        let is_new = self.open.borrow_mut().insert(id.clone());
        is_new.then(|| ClaimedId {
            ids: Rc::clone(self),
            id: id.clone(),
        })
    }

    fn may_have_run(&self, hash: u64) -> bool {
        let is_shared = |shared: &SharedIds| shared.contains(hash);
        self.executed.borrow().contains(hash) || self.shared.as_ref().is_some_and(is_shared)
    }

    fn hash(&self, id: &HeaderValue) -> u64 {
        let mut hasher = FxHasher::default();
        self.hash_seed.hash(&mut hasher);
        id.as_bytes().hash(&mut hasher);
        hasher.finish()
    }
}

/// The claimed id of an open request. Dropping it releases the id for another request.
#[derive(Debug)]
pub struct ClaimedId {
    ids: Rc<CorrelationIds>,
    id: HeaderValue,
}

impl ClaimedId {
    /// Returns the record of the executions of the request, which the attempts keep.
    #[must_use]
    pub fn executions(&self) -> ExecutionRecord {
        ExecutionRecord {
            ids: Rc::clone(&self.ids),
            hash: self.ids.hash(&self.id),
        }
    }
}

impl Drop for ClaimedId {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
    }
}

/// Records whether a backend may execute a request, or may have executed it. Unlike [`ClaimedId`] it does not keep the head
/// of the request in memory.
#[derive(Debug)]
pub struct ExecutionRecord {
    ids: Rc<CorrelationIds>,
    hash: u64,
}

impl ExecutionRecord {
    /// Records that an attempt begins, so that no other request with the same id is taken.
    pub fn begin_attempt(&self) {
        self.ids.executed.borrow_mut().insert(self.hash);
        if let Some(shared) = &self.ids.shared {
            shared.insert(self.hash);
        }
    }

    /// Records that another request with the same id may run, because no backend has executed this one or it is idempotent.
    pub fn forget(&self) {
        self.ids.executed.borrow_mut().remove(self.hash);
        if let Some(shared) = &self.ids.shared {
            shared.remove(self.hash);
        }
    }
}

#[cfg(test)]
mod tests;
