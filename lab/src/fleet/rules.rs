//! The four safety rules, checked from outside the policies.
//!
//! 1. Each request that a running proxy accepts gets one final answer, no later than its client gives up.
//! 2. What may have been executed is repeated or rejected only as its class allows; two attempts are never in
//!    flight at once.
//! 3. Nothing new goes to a backend some seconds after the proxy was informed that it drains or was removed.
//! 4. Proxies that were informed of a backend's start never make it collapse during its slow start.

use super::backend::Collapse;
use super::proxy::KnownBackend;
use super::request::{AttemptState, SentAttempt, TrackedRequest};
use super::topology::Machine;
use serde::Serialize;
use tillerproxy::api::{Class, Idempotency, KeyScope, Micros};

/// A collapse counts against the proxies where this part of the load came from those informed of the start.
const INFORMED_FRACTION_AT_FAULT: f64 = 2.0 / 3.0;

/// How rule 1 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FinalAnswerCounts {
    /// Requests that running proxies accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Requests without an answer by the client's deadline.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Answers and sends after the final answer.
    #[serde(rename = "after_the_end")]
    pub after_final_answer: u64,
}

/// How rule 2 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RepeatCounts {
    /// Attempts after the first one of a request.
    pub repeats: u64,
    /// Repeats of a request that is not idempotent and may have been executed.
    #[serde(rename = "unsafe_repeats")]
    pub non_idempotent_repeats: u64,
    /// Repeats of a keyed request after its key expired.
    #[serde(rename = "outside_window")]
    pub after_key_expiry: u64,
    /// Repeats of a keyed request outside the scope of its key.
    #[serde(rename = "outside_group")]
    pub outside_key_scope: u64,
    /// Sends while another attempt was in flight.
    #[serde(rename = "two_out")]
    pub concurrent_attempts: u64,
    /// Sends beyond the attempts that are allowed.
    #[serde(rename = "too_many")]
    pub over_max_attempts: u64,
    /// Rejections of what may have been executed and must not be repeated.
    #[serde(rename = "refused_after_effect")]
    pub rejected_after_execution: u64,
}

/// How rule 3 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainCounts {
    /// Sends to a backend that the proxy knew to drain or to be removed, those within the grace included.
    #[serde(rename = "sends_to_barred")]
    pub sends_to_unavailable: u64,
    /// Those after the grace.
    pub after_grace: u64,
}

/// How rule 4 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartCounts {
    /// Starts of backends.
    pub starts: u64,
    /// Backends that collapsed during their slow start.
    #[serde(rename = "fallen")]
    pub collapses: u64,
    /// Those that collapsed by the load of proxies informed of the start.
    #[serde(rename = "fallen_by_informed")]
    pub collapses_by_informed: u64,
    /// The greatest load on one that collapsed, as a multiple of what it could bear.
    pub worst_load: f64,
}

/// The figures of all rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RuleCounts {
    /// Rule 1.
    pub final_answers: FinalAnswerCounts,
    /// Rule 2.
    #[serde(rename = "effects")]
    pub repeats: RepeatCounts,
    /// Rule 3.
    pub drains: DrainCounts,
    /// Rule 4.
    #[serde(rename = "cold_backends")]
    pub slow_starts: SlowStartCounts,
}

impl RuleCounts {
    /// Returns how often each rule was violated, in their order.
    #[must_use]
    pub fn violations(&self) -> [u64; 4] {
        let answers = &self.final_answers;
        let repeats = &self.repeats;
        let forbidden_repeats =
            repeats.non_idempotent_repeats + repeats.after_key_expiry + repeats.outside_key_scope;
        let forbidden_sends = repeats.concurrent_attempts + repeats.over_max_attempts;
        [
            answers.unanswered + answers.after_final_answer,
            forbidden_repeats + forbidden_sends + repeats.rejected_after_execution,
            self.drains.after_grace,
            self.slow_starts.collapses_by_informed,
        ]
    }
}

/// What the rules allow.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Attempts for one request, the first included.
    pub max_attempts: u16,
    /// Whether two attempts may be in flight at once.
    pub hedging: bool,
    /// How long after it was informed a proxy may still send to a backend that drains or was removed.
    pub drain_grace: Micros,
}

/// An attempt that is about to be sent, and what its proxy knows.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend<'a> {
    /// The present time.
    pub now: Micros,
    /// The request.
    pub request: &'a TrackedRequest,
    /// Its class.
    pub class: &'a Class,
    /// The machine that it goes to.
    pub target: &'a Machine,
    /// What the proxy knows of that backend.
    pub known_backend: &'a KnownBackend,
}

/// Counts violations of the rules.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    /// The figures so far.
    pub counts: RuleCounts,
}

impl RuleChecker {
    /// Creates a checker that has counted nothing.
    #[must_use]
    pub fn new(limits: RuleLimits) -> Self {
        Self {
            limits,
            counts: RuleCounts::default(),
        }
    }

    /// Checks an attempt that is about to be sent. `machine_of` returns the machine of an earlier one.
    pub fn on_send(&mut self, send: PendingSend<'_>, machine_of: impl Fn(&SentAttempt) -> Machine) {
        if send.request.is_answered() {
            self.counts.final_answers.after_final_answer += 1;
        }
        self.check_attempt_limits(send.request);
        for earlier in send.request.attempts() {
            if earlier.state != AttemptState::NotExecuted {
                self.check_repeat(&send, earlier, &machine_of(earlier));
            }
        }
        if let Some(unavailable_since) = send.known_backend.unavailable_since {
            let grace_ends_at = unavailable_since + self.limits.drain_grace;
            let drains = &mut self.counts.drains;
            drains.sends_to_unavailable += 1;
            drains.after_grace += u64::from(send.now > grace_ends_at);
        }
    }

    fn check_attempt_limits(&mut self, request: &TrackedRequest) {
        let attempts = request.attempts().len();
        let over_max_attempts = attempts >= usize::from(self.limits.max_attempts);
        let concurrent = request.has_attempt_in_flight() && !self.limits.hedging;
        let counts = &mut self.counts.repeats;
        counts.repeats += u64::from(attempts > 0);
        counts.over_max_attempts += u64::from(over_max_attempts);
        counts.concurrent_attempts += u64::from(concurrent);
    }

    /// Checks a repeat of an earlier attempt that may have been executed.
    fn check_repeat(&mut self, send: &PendingSend<'_>, earlier: &SentAttempt, machine: &Machine) {
        let counts = &mut self.counts.repeats;
        match send.class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => counts.non_idempotent_repeats += 1,
            Idempotency::Keyed { scope, ttl } => {
                let in_scope = match scope {
                    KeyScope::AllBackends => true,
                    KeyScope::Zone => machine.zone == send.target.zone,
                    KeyScope::Cell => machine.cell == send.target.cell,
                };
                counts.outside_key_scope += u64::from(!in_scope);
                counts.after_key_expiry += u64::from(send.now > earlier.sent_at + ttl);
            }
        }
    }

    /// Counts a request that a proxy has accepted.
    pub fn on_accepted(&mut self) {
        self.counts.final_answers.accepted += 1;
    }

    /// Checks a final answer that a proxy gives by itself.
    pub fn on_answer(
        &mut self,
        now: Micros,
        request: &TrackedRequest,
        class: &Class,
        rejected: bool,
    ) {
        if request.is_answered() {
            self.counts.final_answers.after_final_answer += 1;
        }
        if rejected && !is_retry_harmless(now, request, class) {
            self.counts.repeats.rejected_after_execution += 1;
        }
    }

    /// Counts an action on a request that has ended together with its attempts.
    pub fn on_action_after_end(&mut self) {
        self.counts.final_answers.after_final_answer += 1;
    }

    /// Counts a request whose deadline has passed without an answer of the proxy that accepted it.
    pub fn on_unanswered(&mut self) {
        self.counts.final_answers.unanswered += 1;
    }

    /// Counts a start of a backend.
    pub fn on_backend_start(&mut self) {
        self.counts.slow_starts.starts += 1;
    }

    /// Counts a backend that collapsed during its slow start.
    pub fn on_collapse(&mut self, collapse: &Collapse) {
        let by_informed = collapse.informed_fraction >= INFORMED_FRACTION_AT_FAULT;
        let counts = &mut self.counts.slow_starts;
        counts.collapses += 1;
        counts.collapses_by_informed += u64::from(by_informed);
        counts.worst_load = counts.worst_load.max(collapse.load / collapse.load_limit);
    }
}

/// Whether a client may retry a request without executing it twice.
fn is_retry_harmless(now: Micros, request: &TrackedRequest, class: &Class) -> bool {
    let Some(first) = request.first_maybe_executed() else {
        return true;
    };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed {
            scope: KeyScope::AllBackends,
            ttl,
        } => now <= first.sent_at + ttl,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => false,
    }
}
