//! Requests and attempts as the emulation tracks them, outside of the policies.

use super::backend::{AttemptPlace, LoadReport};
use super::discovery::ProxyNumber;
use super::scenario::MOST_ATTEMPTS;
use tillerproxy::api::{BackendId, Micros, Outcome, RequestId};

/// What is known of whether an attempt ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptState {
    /// It has no outcome yet.
    #[default]
    Out,
    /// Its outcome proves that it never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// An attempt as the rules see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentAttempt {
    /// Where it went.
    pub backend: BackendId,
    /// When.
    pub sent_at: Micros,
    /// What is known of it.
    pub state: AttemptState,
    /// Its place in the table of attempts.
    pub place: AttemptPlace,
}

/// One try of a client, as a proxy has it.
#[derive(Clone, Copy, Debug)]
pub struct TrackedRequest {
    /// Its id, new with each try.
    pub id: RequestId,
    /// The call that it is a try of.
    pub call: u32,
    /// Position of its class.
    pub class: u8,
    /// The proxy that it goes to.
    pub proxy: ProxyNumber,
    /// The life of that proxy in which it arrived.
    pub incarnation: u32,
    /// When the client gives it up.
    pub deadline: Micros,
    /// A living proxy has taken it.
    pub taken: bool,
    /// It has its final answer.
    pub answered: bool,
    /// The client waits for it no longer.
    pub client_gone: bool,
    attempts: [SentAttempt; MOST_ATTEMPTS as usize],
    count: u8,
}

impl TrackedRequest {
    /// A request on its way to a proxy.
    #[must_use]
    pub fn new(id: RequestId, call: u32, class: u8, proxy: ProxyNumber, deadline: Micros) -> Self {
        Self {
            id,
            call,
            class,
            proxy,
            incarnation: 0,
            deadline,
            taken: false,
            answered: false,
            client_gone: false,
            attempts: [SentAttempt::default(); MOST_ATTEMPTS as usize],
            count: 0,
        }
    }

    /// The attempts so far.
    #[must_use]
    pub fn attempts(&self) -> &[SentAttempt] {
        &self.attempts[..usize::from(self.count)]
    }

    /// The attempts so far, to be changed.
    pub fn attempts_mut(&mut self) -> &mut [SentAttempt] {
        &mut self.attempts[..usize::from(self.count)]
    }

    /// Keeps an attempt; returns its number, or nothing where there are as many as can be tracked.
    pub fn add_attempt(&mut self, attempt: SentAttempt) -> Option<u16> {
        let place = self.attempts.get_mut(usize::from(self.count))?;
        *place = attempt;
        self.count += 1;
        Some(u16::from(self.count) - 1)
    }

    /// Whether an attempt is out.
    #[must_use]
    pub fn has_attempt_out(&self) -> bool {
        self.attempts()
            .iter()
            .any(|attempt| attempt.state == AttemptState::Out)
    }

    /// The first attempt that may have run or is out.
    #[must_use]
    pub fn first_that_may_have_run(&self) -> Option<&SentAttempt> {
        self.attempts()
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }
}

/// An attempt on its way, at a backend, or on its way back.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The place of its request.
    pub request: u32,
    /// The proxy's number, life and zone.
    pub proxy: ProxyNumber,
    /// The life of the proxy that sent it.
    pub incarnation: u32,
    /// Where it goes.
    pub backend: BackendId,
    /// Its number among the request's attempts.
    pub number: u16,
    /// When it was sent.
    pub sent_at: Micros,
    /// Work, microseconds on a core of speed 1.
    pub work: f64,
    /// How long a core takes, once one has begun.
    pub service: Micros,
    /// The outcome on its way back; taken once it arrives.
    pub outcome: Outcome,
    /// The load report on its way back.
    pub report: LoadReport,
    /// The proxy has its outcome.
    pub settled: bool,
    /// Its backend died while it held it: its end of work is void.
    pub lost: bool,
}
