//! Further attempts: where the rules on effects allow them, and while they are worth it (rule 2).

use super::Balancer;
use super::latency::LOST_OVER_AIM;
use crate::api::{Action, Idempotency, KeyScope, Micros};
use crate::state::{AttemptState, Open, Scope};

/// Part of the requests that may get a further attempt after one that may have run, and the burst.
pub(super) const RETRY_SHARE: f64 = 0.1;
pub(super) const RETRY_BURST: f64 = 10.0;
const LOST_OVER_MEAN: f64 = 24.0;

impl Balancer {
    /// Rule 2: where a further attempt may go. Attempts that are out count as such that may have run.
    pub(super) fn scope(&self, now: Micros, open: &Open) -> Scope {
        let permissions = &self.settings.permissions;
        let out = open.out();
        let over = open.answered || open.streaming || open.spent;
        if over || open.attempts.len() >= usize::from(permissions.max_attempts) {
            return Scope::Nowhere;
        }
        if out > 0 && !permissions.hedging {
            return Scope::Nowhere;
        }
        let Some(first) = open
            .attempts
            .iter()
            .find(|a| a.state != AttemptState::NeverRan)
        else {
            return Scope::Anywhere;
        };
        match self.settings.classes[open.class].idempotency {
            Idempotency::Idempotent => Scope::Anywhere,
            Idempotency::NonIdempotent => Scope::Nowhere,
            Idempotency::Keyed { .. } if self.window_end(open) <= Some(now) => Scope::Nowhere,
            Idempotency::Keyed {
                scope: KeyScope::AllBackends,
                ..
            } => Scope::Anywhere,
            Idempotency::Keyed {
                scope: KeyScope::Zone,
                ..
            } => Scope::Zone(self.servers[first.server].zone),
            Idempotency::Keyed {
                scope: KeyScope::Cell,
                ..
            } => Scope::Cell(self.servers[first.server].cell),
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    pub(super) fn may_refuse(&self, now: Micros, open: &Open) -> bool {
        let may_have_run = open
            .attempts
            .iter()
            .any(|a| a.state != AttemptState::NeverRan);
        match self.settings.classes[open.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::AllBackends,
                ..
            } => self.window_end(open).is_none_or(|end| now < end),
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_run,
        }
    }

    /// Whether an attempt started now would come too late to be worth anything.
    pub(super) fn too_late(&self, now: Micros, open: &Open) -> bool {
        let class = &self.settings.classes[open.class];
        let last = if class.late_weight_factor > 0.0 {
            open.deadline
        } else {
            open.deadline.min(open.arrived + class.latency_objective)
        };
        now + (self.mean(open.class) / 2.0) as Micros >= last
    }

    /// Rule 2: when backends may forget the key of a request that may have run.
    pub(super) fn window_end(&self, open: &Open) -> Option<Micros> {
        let Idempotency::Keyed { ttl, .. } = self.settings.classes[open.class].idempotency else {
            return None;
        };
        let first = open
            .attempts
            .iter()
            .find(|a| a.state != AttemptState::NeverRan)?;
        Some(first.sent_at.saturating_add(ttl))
    }

    /// An attempt failed and the client waits: another one, if the rules and the budget allow it.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        slot: usize,
        never_ran: bool,
        out: &mut Vec<Action>,
    ) {
        if self.open[slot].out() > 0 || self.open[slot].queued_until.is_some() {
            return;
        }
        let open = &self.open[slot];
        let hopeless = self.scope(now, open) == Scope::Nowhere || self.too_late(now, open);
        if hopeless || (!never_ran && self.retry_tokens < 1.0) {
            return self.give_up(now, slot, out);
        }
        self.retry_tokens -= f64::from(u8::from(!never_ran));
        self.dispatch(now, slot, out);
    }

    /// When an attempt that starts now is given up, and whether that tells that it was lost. Departure:
    /// where work is quick, an attempt that may be repeated and has no answer long after its time is lost
    /// (its connection fell silent, say); waited for to the deadline it leaves no time for another one.
    pub(super) fn give_up_at(&self, now: Micros, open: &Open) -> (Micros, bool) {
        let class = &self.settings.classes[open.class];
        let last = open.attempts.len() + 1 >= usize::from(self.settings.permissions.max_attempts);
        if last || class.idempotency == Idempotency::NonIdempotent || self.retry_tokens < 1.0 {
            return (open.deadline, false);
        }
        let early = self.is_quick(open.class);
        let lost = if early {
            class.latency_objective as f64 * LOST_OVER_AIM
        } else {
            self.mean(open.class) * LOST_OVER_MEAN
        };
        (open.deadline.min(now.saturating_add(lost as Micros)), early)
    }
}
