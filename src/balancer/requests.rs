//! The requests that this proxy took and that are queued or have attempts in flight.

use super::backends::BackendKey;
use crate::api::{ClassIndex, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

#[cfg(test)]
mod tests;

/// Key of a request in the [`RequestTable`]. It stays the same as long as the request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey(u32);

impl RequestKey {
    /// Returns the key with this index in the table.
    pub(crate) fn from_index(index: usize) -> Self {
        Self(index as u32)
    }

    /// Returns the index in the table.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Whether an attempt is still in flight, and what is known of it if not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    /// It ended, and the backend did not run the request.
    NotExecuted,
    /// It ended, and the backend may have run the request.
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendKey,
    pub(crate) sent_at: Micros,
    /// How long its connection had been idle, as estimated; 0 for a new one.
    pub(crate) connection_idle: Micros,
    /// It times out so late compared with its work that a timeout means that it was lost.
    pub(crate) timeout_means_lost: bool,
    /// When it is overdue.
    pub(crate) overdue_at: Micros,
    /// It is the single request that shows whether its backend has recovered.
    pub(crate) is_trial: bool,
    /// Its response is streamed and has begun: the backend's work is done.
    pub(crate) response_started: bool,
    pub(crate) state: AttemptState,
}

impl Attempt {
    /// Returns an attempt that is sent now, on a new connection.
    pub(crate) fn new(backend: BackendKey, now: Micros) -> Self {
        Self {
            backend,
            sent_at: now,
            connection_idle: 0,
            timeout_means_lost: false,
            overdue_at: now,
            is_trial: false,
            response_started: false,
            state: AttemptState::InFlight,
        }
    }
}

/// A request that this proxy took and that is queued or has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    /// Its tenant is over its quota.
    pub(crate) over_quota: bool,
    /// It is over for the client, which has its final answer or has disconnected.
    pub(crate) closed: bool,
    /// A response is being streamed to the client.
    pub(crate) streaming: bool,
    /// Its body is not buffered any more: it can't be sent again.
    pub(crate) body_consumed: bool,
    /// Until when it waits for available capacity, while it does.
    pub(crate) queued_until: Option<Micros>,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Returns a request without attempts.
    pub(crate) fn new(
        id: RequestId,
        class: ClassIndex,
        over_quota: bool,
        arrived_at: Micros,
        deadline: Micros,
    ) -> Self {
        Self {
            id,
            class,
            arrived_at,
            deadline,
            over_quota,
            closed: false,
            streaming: false,
            body_consumed: false,
            queued_until: None,
            attempts: Vec::new(),
        }
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns the first attempt that a backend may have run. One that is in flight counts.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// The open requests. Keys are used again.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: Vec<OpenRequest>,
    free: Vec<RequestKey>,
    by_id: FxHashMap<RequestId, RequestKey>,
}

impl RequestTable {
    /// Finds the key of a request.
    pub(crate) fn find(&self, id: RequestId) -> Option<RequestKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the entry of a key that may be out of date, such as that of a timer.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.entries.get(key.index())
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, mut request: OpenRequest) -> RequestKey {
        let next = RequestKey::from_index(self.entries.len());
        let key = self.free.pop().unwrap_or(next);
        self.by_id.insert(request.id, key);
        match self.entries.get_mut(key.index()) {
            Some(unused) => {
                // The list of attempts keeps its memory: no allocation on the hot path.
                std::mem::swap(&mut request.attempts, &mut unused.attempts);
                request.attempts.clear();
                *unused = request;
            }
            None => self.entries.push(request),
        }
        key
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, key: RequestKey) {
        let id = self[key].id;
        self.by_id.remove(&id);
        self.free.push(key);
    }
}

impl Index<RequestKey> for RequestTable {
    type Output = OpenRequest;

    fn index(&self, key: RequestKey) -> &OpenRequest {
        &self.entries[key.index()]
    }
}

impl IndexMut<RequestKey> for RequestTable {
    fn index_mut(&mut self, key: RequestKey) -> &mut OpenRequest {
        &mut self.entries[key.index()]
    }
}
