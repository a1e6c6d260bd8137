//! Requests and attempts as the emulation tracks them, outside of the policies.

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
    /// It has no outcome yet.
    #[default]
    InFlight,
    /// Its outcome proves that it was not executed.
    NotExecuted,
    /// It may have been executed.
    MaybeExecuted,
}

/// An attempt as the safety rules see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentAttempt {
    /// Where it went.
    pub backend: BackendId,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether it was executed.
    pub state: AttemptState,
    /// Its key in the table of attempts.
    pub key: AttemptKey,
}

/// Whether a client waits for the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The client waits.
    Pending,
    /// The request has its final answer.
    Answered,
    /// The client stopped waiting before an answer.
    Abandoned,
}

/// One attempt of a client, as a request to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct TrackedRequest {
    /// Its id, new with each attempt of the client.
    pub id: RequestId,
    /// The call that it belongs to.
    pub call: CallKey,
    /// Its class.
    pub class: ClassIndex,
    /// The proxy that it goes to.
    pub proxy: ProxyIndex,
    /// The incarnation of the proxy that accepted it, once one has.
    pub accepted_by: Option<u32>,
    /// When the client gives it up.
    pub deadline: Micros,
    /// Whether the client waits for its answer.
    pub state: RequestState,
    attempts: [SentAttempt; MAX_TRACKED_ATTEMPTS as usize],
    attempt_count: u8,
}

impl TrackedRequest {
    /// Creates a request on its way to a proxy.
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

    /// Returns whether it has its final answer.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.state == RequestState::Answered
    }

    /// Notes that the client has stopped waiting, unless it has its answer.
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

    /// Returns the attempts so far, mutable.
    pub fn attempts_mut(&mut self) -> &mut [SentAttempt] {
        &mut self.attempts[..usize::from(self.attempt_count)]
    }

    /// Adds an attempt; returns its number, or `None` where there are as many as can be tracked.
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

/// An attempt on its way, at a backend, or on its way back.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its request.
    pub request: RequestKey,
    /// The proxy that sent it.
    pub proxy: ProxyIndex,
    /// The incarnation of that proxy.
    pub incarnation: u32,
    /// Where it goes.
    pub backend: BackendId,
    /// Its number among the request's attempts.
    pub number: u16,
    /// When it was sent.
    pub sent_at: Micros,
    /// Work, microseconds on a core of speed 1.
    pub work: f64,
    /// How long a core takes, once one has started.
    pub service_time: Micros,
    /// The outcome on its way back.
    pub outcome: Outcome,
    /// The load report on its way back.
    pub load_report: LoadReport,
    /// Whether the proxy has its outcome.
    pub ended: bool,
    /// Whether its backend stopped while it held it: the scheduled end of its work is void.
    pub lost: bool,
}
