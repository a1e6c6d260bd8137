//! A checker of the four safety rules, independent of the policies.
//!
//! 1. One final answer: each request that a running proxy accepts gets one final answer before its client stops
//!    waiting.
//! 2. Idempotency: a request that may have been executed is repeated or rejected only as its class allows, and two
//!    attempts are in flight at once only if hedging is permitted.
//! 3. Draining: a proxy sends nothing new to a backend after a grace period, which begins when the proxy is informed
//!    that the backend drains or was removed.
//! 4. Slow start: proxies that were informed of a backend's start never make it collapse during its slow start.

use super::backend::Collapse;
use super::proxy::KnownBackend;
use super::request::{AttemptState, SentAttempt, TrackedRequest};
use super::topology::Machine;
use serde::Serialize;
use tillerproxy::api::{Class, Idempotency, KeyScope, Micros};

/// A collapse counts as a violation if at least this fraction of the load came from proxies informed of the start.
const INFORMED_FRACTION_AT_FAULT: f64 = 2.0 / 3.0;

/// Counts for rule 1 (one final answer).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FinalAnswerCounts {
    /// Requests accepted by running proxies.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Accepted requests without an answer by the client's deadline.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Answers and sends after the final answer.
    #[serde(rename = "after_the_end")]
    pub after_final_answer: u64,
}

/// Counts for rule 2 (idempotency).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RepeatCounts {
    /// Attempts after the first attempt of a request.
    pub repeats: u64,
    /// Repeats of a non-idempotent request that may have been executed.
    #[serde(rename = "unsafe_repeats")]
    pub non_idempotent_repeats: u64,
    /// Repeats of a keyed request after its key expired.
    #[serde(rename = "outside_window")]
    pub after_key_expiry: u64,
    /// Repeats of a keyed request outside the scope of its key.
    #[serde(rename = "outside_group")]
    pub outside_key_scope: u64,
    /// Attempts sent while another attempt of the same request was in flight, although hedging is not permitted.
    #[serde(rename = "two_out")]
    pub concurrent_attempts: u64,
    /// Attempts sent beyond the maximum number of attempts.
    #[serde(rename = "too_many")]
    pub over_max_attempts: u64,
    /// Rejections of requests that may have been executed and must not be repeated.
    #[serde(rename = "refused_after_effect")]
    pub rejected_after_execution: u64,
}

/// Counts for rule 3 (draining).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainCounts {
    /// Attempts sent to a backend that the proxy knew to be draining or removed, including those within the grace
    /// period.
    #[serde(rename = "sends_to_barred")]
    pub sends_to_unavailable: u64,
    /// Attempts sent to a draining or removed backend after the grace period.
    pub after_grace: u64,
}

/// Counts for rule 4 (slow start).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartCounts {
    /// Starts of backends during the run.
    pub starts: u64,
    /// Backends that collapsed during their slow start.
    #[serde(rename = "fallen")]
    pub collapses: u64,
    /// Backends that collapsed under the load of proxies informed of their start.
    #[serde(rename = "fallen_by_informed")]
    pub collapses_by_informed: u64,
    /// Greatest load on a collapsed backend, as a multiple of the load limit.
    pub worst_load: f64,
}

/// Counts for all rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RuleCounts {
    /// Rule 1 (one final answer).
    pub final_answers: FinalAnswerCounts,
    /// Rule 2 (idempotency).
    #[serde(rename = "effects")]
    pub repeats: RepeatCounts,
    /// Rule 3 (draining).
    pub drains: DrainCounts,
    /// Rule 4 (slow start).
    #[serde(rename = "cold_backends")]
    pub slow_starts: SlowStartCounts,
}

impl RuleCounts {
    /// Returns the number of violations of each rule, in the order of the rules.
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

/// Limits that the rules apply.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u16,
    /// Whether two attempts may be in flight at once.
    pub hedging: bool,
    /// Grace period of rule 3: time for which a proxy may still send to a backend after it was informed that the
    /// backend drains or was removed.
    pub drain_grace: Micros,
}

/// An attempt that is about to be sent, and what its proxy knows of the backend.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend<'a> {
    /// Current time.
    pub now: Micros,
    /// Request that the attempt belongs to.
    pub request: &'a TrackedRequest,
    /// Class of the request.
    pub class: &'a Class,
    /// Machine of the backend that the attempt is sent to.
    pub target: &'a Machine,
    /// The proxy's knowledge of that backend.
    pub known_backend: &'a KnownBackend,
}

/// Checks the actions of the proxies and counts violations of the rules.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    /// Counts so far.
    pub counts: RuleCounts,
}

impl RuleChecker {
    /// Creates a checker with all counts at 0.
    #[must_use]
    pub fn new(limits: RuleLimits) -> Self {
        Self {
            limits,
            counts: RuleCounts::default(),
        }
    }

    /// Checks an attempt that is about to be sent. `machine_of` returns the machine of an earlier attempt.
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

    /// Checks the number of attempts and hedging.
    fn check_attempt_limits(&mut self, request: &TrackedRequest) {
        let attempts = request.attempts().len();
        let over_max_attempts = attempts >= usize::from(self.limits.max_attempts);
        let concurrent = request.has_attempt_in_flight() && !self.limits.hedging;
        let counts = &mut self.counts.repeats;
        counts.repeats += u64::from(attempts > 0);
        counts.over_max_attempts += u64::from(over_max_attempts);
        counts.concurrent_attempts += u64::from(concurrent);
    }

    /// Checks an attempt that follows an earlier attempt of the same request if that one may have been executed.
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

    /// Checks a final answer that a proxy gives without a backend's response; `rejected` tells whether it is a
    /// rejection.
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

    /// Counts an action on a request that has ended, and whose attempts have all ended.
    pub fn on_action_after_end(&mut self) {
        self.counts.final_answers.after_final_answer += 1;
    }

    /// Counts a request whose deadline has passed without an answer from the proxy that accepted it.
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

/// Returns whether a client may retry a request without executing it twice.
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
