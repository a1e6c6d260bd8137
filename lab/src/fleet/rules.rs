//! The four rules, checked from outside the policies.
//!
//! 1. Each request that a living proxy takes gets one final answer, no later than its client gives up.
//! 2. What may have run is repeated or refused only as its class allows; two attempts are never out at once.
//! 3. Nothing new goes to a backend some seconds after the proxy was informed that it drains or is gone.
//! 4. Proxies that were informed of a backend's start never make it fall over while it is cold.

use super::backend::Fall;
use super::proxy::KnownBackend;
use super::request::{AttemptState, SentAttempt, TrackedRequest};
use super::topology::Machine;
use serde::Serialize;
use tillerproxy::api::{Class, Idempotency, KeyScope, Micros};

/// A fall is the proxies' fault where this part of the load came from those that were informed of the start.
const INFORMED_LOAD: f64 = 2.0 / 3.0;

/// How rule 1 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FinalAnswers {
    /// Requests that living proxies took.
    pub taken: u64,
    /// No answer by the client's deadline.
    pub lost: u64,
    /// Answered again, or sent, after the final answer.
    pub after_the_end: u64,
}

/// How rule 2 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Effects {
    /// Further attempts for a request.
    pub repeats: u64,
    /// Repeats of an unsafe request that may have run.
    pub unsafe_repeats: u64,
    /// Repeats of a keyed request after its key was forgotten.
    pub outside_window: u64,
    /// Repeats of a keyed request outside its group of backends.
    pub outside_group: u64,
    /// Sends while another attempt was out.
    pub two_out: u64,
    /// Sends beyond the attempts that are allowed.
    pub too_many: u64,
    /// Refusals of what may have run and must not be repeated.
    pub refused_after_effect: u64,
}

/// How rule 3 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Drains {
    /// Sends to a backend that the proxy knew to drain or to be gone, the grace included.
    pub sends_to_barred: u64,
    /// Those after the grace.
    pub after_grace: u64,
}

/// How rule 4 was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ColdBackends {
    /// Cold starts.
    pub starts: u64,
    /// Cold backends that fell over.
    pub fallen: u64,
    /// Those that fell by the load of proxies informed of the start.
    pub fallen_by_informed: u64,
    /// The greatest load on one that fell, as a multiple of what it could stand.
    pub worst_load: f64,
}

/// The figures of all rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RuleCounts {
    /// Rule 1.
    pub final_answers: FinalAnswers,
    /// Rule 2.
    pub effects: Effects,
    /// Rule 3.
    pub drains: Drains,
    /// Rule 4.
    pub cold_backends: ColdBackends,
}

impl RuleCounts {
    /// How often each rule was broken, in their order.
    #[must_use]
    pub fn broken(&self) -> [u64; 4] {
        let effects = &self.effects;
        let repeats = effects.unsafe_repeats + effects.outside_window + effects.outside_group;
        [
            self.final_answers.lost + self.final_answers.after_the_end,
            repeats + effects.two_out + effects.too_many + effects.refused_after_effect,
            self.drains.after_grace,
            self.cold_backends.fallen_by_informed,
        ]
    }
}

/// What the rules allow.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// Attempts for one request.
    pub max_attempts: u16,
    /// Whether two attempts may be out at once.
    pub second_copies: bool,
    /// How long after it was informed a proxy may still send to a backend that drains or is gone.
    pub drain_grace: Micros,
}

/// Counts what is done against the rules.
#[derive(Debug)]
pub struct RuleChecker {
    allowed: Allowed,
    /// What it has counted.
    pub counts: RuleCounts,
}

impl RuleChecker {
    /// A checker that has counted nothing.
    #[must_use]
    pub fn new(allowed: Allowed) -> Self {
        Self {
            allowed,
            counts: RuleCounts::default(),
        }
    }

    /// A request is about to be sent to a backend that the proxy knows this of.
    pub fn on_send(
        &mut self,
        now: Micros,
        request: &TrackedRequest,
        class: &Class,
        to: &Machine,
        known: &KnownBackend,
        machine_of: impl Fn(&SentAttempt) -> Machine,
    ) {
        if request.answered {
            self.counts.final_answers.after_the_end += 1;
        }
        self.check_repeat(now, request, class, to, machine_of);
        let Some(barred_at) = known.barred_at else {
            return;
        };
        let drains = &mut self.counts.drains;
        drains.sends_to_barred += 1;
        drains.after_grace += u64::from(now > barred_at + self.allowed.drain_grace);
    }

    fn check_repeat(
        &mut self,
        now: Micros,
        request: &TrackedRequest,
        class: &Class,
        to: &Machine,
        machine_of: impl Fn(&SentAttempt) -> Machine,
    ) {
        let effects = &mut self.counts.effects;
        let made = request.attempts();
        effects.repeats += u64::from(!made.is_empty());
        effects.too_many += u64::from(made.len() >= usize::from(self.allowed.max_attempts));
        effects.two_out += u64::from(request.has_attempt_out() && !self.allowed.second_copies);
        for earlier in made
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NeverRan)
        {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => effects.unsafe_repeats += 1,
                Idempotency::Keyed { scope, ttl } => {
                    let from = machine_of(earlier);
                    let inside = match scope {
                        KeyScope::AllBackends => true,
                        KeyScope::Zone => from.zone == to.zone,
                        KeyScope::Cell => from.cell == to.cell,
                    };
                    effects.outside_group += u64::from(!inside);
                    effects.outside_window += u64::from(now > earlier.sent_at + ttl);
                }
            }
        }
    }

    /// A proxy has taken a request.
    pub fn on_taken(&mut self) {
        self.counts.final_answers.taken += 1;
    }

    /// A proxy gives a final answer of its own.
    pub fn on_answer(
        &mut self,
        now: Micros,
        request: &TrackedRequest,
        class: &Class,
        refused: bool,
    ) {
        if request.answered {
            self.counts.final_answers.after_the_end += 1;
        }
        let first = request.first_that_may_have_run();
        let harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::AllBackends,
                ttl,
            } => first.is_none_or(|attempt| now <= attempt.sent_at + ttl),
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => first.is_none(),
        };
        self.counts.effects.refused_after_effect += u64::from(refused && !harmless);
    }

    /// A policy names a request that has ended, attempts and all.
    pub fn on_action_after_the_end(&mut self) {
        self.counts.final_answers.after_the_end += 1;
    }

    /// A client's time is up, and a living proxy that took its request has not answered.
    pub fn on_lost(&mut self) {
        self.counts.final_answers.lost += 1;
    }

    /// A backend started cold.
    pub fn on_cold_start(&mut self) {
        self.counts.cold_backends.starts += 1;
    }

    /// A cold backend fell over.
    pub fn on_fall(&mut self, fall: &Fall) {
        let cold = &mut self.counts.cold_backends;
        cold.fallen += 1;
        cold.fallen_by_informed += u64::from(fall.informed >= INFORMED_LOAD);
        cold.worst_load = cold.worst_load.max(fall.load / fall.budget);
    }
}
