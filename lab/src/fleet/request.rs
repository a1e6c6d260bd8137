//! Requests and attempts as the simulation tracks them, independently of the policies.

use super::backend::LoadReport;
use super::client::ClientCall;
use super::ids::ProxyIndex;
use super::scenario::MAX_TRACKED_ATTEMPTS;
use super::slab::Key;
use tillerproxy::api::{BackendId, ClassIndex, Micros, Outcome, RequestId};

/// Key of a client's call.
pub type CallKey = Key<ClientCall>;

/// Key of a request.
pub type RequestKey = Key<TrackedRequest>;

/// Key of an attempt.
pub type AttemptKey = Key<Attempt>;

/// Whether an attempt was executed, as far as its proxy knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has no outcome yet.
    #[default]
    InFlight,
    /// The outcome proves that the attempt was not executed.
    NotExecuted,
    /// The outcome leaves open whether the attempt was executed.
    MaybeExecuted,
}

/// An attempt of a request, with the values that the safety rules check.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentAttempt {
    /// Backend that the attempt was sent to.
    pub backend: BackendId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Whether the attempt was executed, as far as its proxy knows.
    pub state: AttemptState,
    /// Key of the attempt in the simulation's slab.
    pub key: AttemptKey,
}

/// Whether a client still waits for the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The client waits.
    Pending,
    /// The request has its final answer.
    Answered,
    /// The client stopped waiting before an answer arrived.
    Abandoned,
}

/// A request to a proxy: one attempt of a client.
#[derive(Clone, Copy, Debug)]
pub struct TrackedRequest {
    /// Id of the request; each attempt of a client has a new one.
    pub id: RequestId,
    /// Call that the request belongs to.
    pub call: CallKey,
    /// Class of the request.
    pub class: ClassIndex,
    /// Proxy that the request is sent to.
    pub proxy: ProxyIndex,
    /// Incarnation of the proxy that accepted the request; `None` before it is accepted.
    pub accepted_by: Option<u32>,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// Whether the client still waits for the answer.
    pub state: RequestState,
    attempts: [SentAttempt; MAX_TRACKED_ATTEMPTS as usize],
    attempt_count: u8,
}

impl TrackedRequest {
    /// Creates a request that is on its way to a proxy and has no attempt.
    #[must_use]
    pub fn new(
        id: RequestId,
        call: CallKey,
        class: ClassIndex,
        proxy: ProxyIndex,
        deadline: Micros,
    ) -> Self {
        Self {
            id,
            call,
            class,
            proxy,
            accepted_by: None,
            deadline,
            state: RequestState::Pending,
            attempts: [SentAttempt::default(); MAX_TRACKED_ATTEMPTS as usize],
            attempt_count: 0,
        }
    }

    /// Returns whether the client still waits for an answer.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.state == RequestState::Pending
    }

    /// Returns whether the request has its final answer.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.state == RequestState::Answered
    }

    /// Records that the client has stopped waiting, unless the request is already answered.
    pub fn abandon(&mut self) {
        if self.is_pending() {
            self.state = RequestState::Abandoned;
        }
    }

    /// Returns the attempts so far.
    #[must_use]
    pub fn attempts(&self) -> &[SentAttempt] {
        &self.attempts[..usize::from(self.attempt_count)]
    }

    /// Returns the attempts so far for modification.
    pub fn attempts_mut(&mut self) -> &mut [SentAttempt] {
        &mut self.attempts[..usize::from(self.attempt_count)]
    }

    /// Adds an attempt and returns its number; `None` if [`MAX_TRACKED_ATTEMPTS`] are already tracked.
    pub fn add_attempt(&mut self, attempt: SentAttempt) -> Option<u16> {
        let number = self.attempt_count;
        let entry = self.attempts.get_mut(usize::from(number))?;
        *entry = attempt;
        self.attempt_count += 1;
        Some(u16::from(number))
    }

    /// Returns whether an attempt is in flight.
    #[must_use]
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts()
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns the first attempt that may have been executed or is in flight.
    #[must_use]
    pub fn first_maybe_executed(&self) -> Option<&SentAttempt> {
        self.attempts()
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// An attempt on its way to a backend, at the backend, or on its way back.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Request that the attempt belongs to.
    pub request: RequestKey,
    /// Proxy that sent the attempt.
    pub proxy: ProxyIndex,
    /// Incarnation of the proxy that sent the attempt.
    pub incarnation: u32,
    /// Backend that the attempt is sent to.
    pub backend: BackendId,
    /// Number of the attempt among those of its request, from 0.
    pub number: u16,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Work of the attempt, microseconds on a core of speed 1.
    pub work: f64,
    /// Time for which a core works on the attempt; 0 until a core has started.
    pub service_time: Micros,
    /// Outcome that is on its way back to the proxy.
    pub outcome: Outcome,
    /// Load report that is on its way back to the proxy.
    pub load_report: LoadReport,
    /// Whether the attempt has ended for its proxy: the outcome has arrived, or the attempt has timed out.
    pub ended: bool,
    /// Whether the backend stopped while it held the attempt; the scheduled end of its work is then ignored.
    pub lost: bool,
}
