//! The open requests of this proxy: those that are queued or have attempts in flight.

use super::backends::BackendKey;
use crate::api::{ClassIndex, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

#[cfg(test)]
mod tests;

/// Table key of a request, not its idempotency key. The key is stable while the request is in the [`RequestTable`] and
/// is reused afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey(u32);

impl RequestKey {
    /// Returns the table key of the entry at `index`.
    pub(crate) fn from_index(index: usize) -> Self {
        Self(index as u32)
    }

    /// Returns the index of the request's entry in the table.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// State of an attempt: in flight, or ended, and whether it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// The attempt has not ended. The backend may have executed the request.
    InFlight,
    /// The attempt ended, and the backend did not execute the request.
    NotExecuted,
    /// The attempt ended, and the backend may have executed the request.
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendKey,
    pub(crate) sent_at: Micros,
    /// Estimated idle time of the connection before the attempt; 0 for a new connection.
    pub(crate) connection_idle: Micros,
    /// Whether a timeout means that the attempt was lost, because its timeout is long compared with the usual latency.
    pub(crate) timeout_means_lost: bool,
    /// Time after which the attempt is overdue.
    pub(crate) overdue_at: Micros,
    /// Whether the attempt is a trial request, whose outcome shows whether its backend has recovered.
    pub(crate) is_trial: bool,
    /// Whether a streamed response has started: the backend has done its work.
    pub(crate) response_started: bool,
    /// Whether the client has paused in the middle of a streamed body, so that the attempt occupies no slot.
    pub(crate) upload_stalled: bool,
    pub(crate) state: AttemptState,
}

impl Attempt {
    /// Returns an attempt that is sent now on a new connection, with the other fields at their defaults.
    pub(crate) fn new(backend: BackendKey, now: Micros) -> Self {
        Self {
            backend,
            sent_at: now,
            connection_idle: 0,
            timeout_means_lost: false,
            overdue_at: now,
            is_trial: false,
            response_started: false,
            upload_stalled: false,
            state: AttemptState::InFlight,
        }
    }
}

/// A request that is queued or has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    /// Whether the request's tenant was over its quota when the request arrived.
    pub(crate) over_quota: bool,
    /// Whether the client has its final answer or has disconnected.
    pub(crate) closed: bool,
    /// Whether a response is being streamed to the client.
    pub(crate) streaming: bool,
    /// Whether the request's body is no longer buffered, so that the request cannot be sent again.
    pub(crate) body_consumed: bool,
    /// End of the wait in the queue; `None` while the request is not queued.
    pub(crate) queued_until: Option<Micros>,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Returns a request that is not queued and has no attempts.
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

    /// Reports whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns the first attempt that may have been executed, including attempts in flight; `None` if there is none.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// The open requests by table key and by id. The table keys of removed requests are reused.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: Vec<OpenRequest>,
    free: Vec<RequestKey>,
    by_id: FxHashMap<RequestId, RequestKey>,
}

impl RequestTable {
    /// Returns the table key of an open request, or `None` if no open request has this id.
    pub(crate) fn find(&self, id: RequestId) -> Option<RequestKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the entry of a key that may be out of date, such as the key in a timer. The entry may belong to a later
    /// request, or be unused. Returns `None` if the table never had an entry with this key.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.entries.get(key.index())
    }

    /// Adds a request and returns its table key.
    pub(crate) fn insert(&mut self, mut request: OpenRequest) -> RequestKey {
        let next = RequestKey::from_index(self.entries.len());
        let key = self.free.pop().unwrap_or(next);
        self.by_id.insert(request.id, key);
        match self.entries.get_mut(key.index()) {
            Some(unused) => {
                // Reuses the memory of the list of attempts, to avoid an allocation on the hot path.
                std::mem::swap(&mut request.attempts, &mut unused.attempts);
                request.attempts.clear();
                *unused = request;
            }
            None => self.entries.push(request),
        }
        key
    }

    /// Removes a request and frees its key.
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
