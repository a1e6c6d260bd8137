//! What clients do after an attempt that was not served: retries, backoff and timeouts.

use super::ClientCall;
use crate::fleet::random::{Stream, stream};
use crate::fleet::scenario::{ClassSettings, ClientSettings, Idempotency, KeyScope};
use crate::units::milliseconds;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::Exp1;
use tillerproxy::api::Micros;

/// How an attempt of a client ended that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Rejected: a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Failed; the request may have run.
    Failed,
    /// The client's timeout for this attempt expired.
    TimedOut,
    /// The proxy did not accept it.
    Unreachable,
}

impl AttemptFailure {
    /// Returns whether the request certainly had no effect.
    fn is_harmless(self) -> bool {
        matches!(self, Self::Rejected { .. } | Self::Unreachable)
    }
}

/// The retries and timeouts of a scenario's clients.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: ClientSettings,
    random: SmallRng,
}

impl RetryPolicy {
    /// Creates the policy of a scenario's clients.
    #[must_use]
    pub fn new(settings: &ClientSettings, seed: u64) -> Self {
        Self {
            settings: settings.clone(),
            random: stream(seed, Stream::Clients, 0),
        }
    }

    /// Draws the backoff until the client's next attempt; `None` if it does not retry.
    pub fn backoff(
        &mut self,
        now: Micros,
        call: &ClientCall,
        class: &ClassSettings,
        failure: AttemptFailure,
    ) -> Option<Micros> {
        let attempts_left = call.attempts < self.settings.max_attempts;
        if !attempts_left || !may_retry(now, call, class, failure) {
            return None;
        }
        let mean_backoff = milliseconds(self.settings.mean_backoff_ms) as f64;
        let factor: f64 = self.random.sample(Exp1);
        let own_backoff = (mean_backoff * factor) as Micros;
        let honors_retry_after = self.random.random::<f64>() < self.settings.honors_retry_after;
        let backoff = match failure {
            AttemptFailure::Rejected { retry_after } if honors_retry_after => {
                own_backoff + retry_after
            }
            AttemptFailure::Unreachable => 0,
            _ => own_backoff,
        };
        let deadline = call.started_at + milliseconds(class.timeout_ms);
        (now + backoff < deadline).then_some(backoff)
    }

    /// Draws the number in 0..1 that chooses the proxy of a retry.
    pub fn draw_proxy(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns when the client gives up an attempt that begins now.
    #[must_use]
    pub fn attempt_deadline(
        &self,
        now: Micros,
        call: &ClientCall,
        class: &ClassSettings,
    ) -> Micros {
        let call_timeout = milliseconds(class.timeout_ms);
        let fraction = self.settings.attempt_timeout_fraction;
        let attempt_timeout = (call_timeout as f64 * fraction) as Micros;
        (now + attempt_timeout).min(call.started_at + call_timeout)
    }

    /// Returns when the client disconnects before its response, if it does.
    #[must_use]
    pub fn disconnects_at(&self, call: &ClientCall, class: &ClassSettings) -> Option<Micros> {
        let disconnect_fraction = self.settings.disconnect_fraction;
        if call.disconnect_draw >= disconnect_fraction {
            return None;
        }
        let latency_objective = milliseconds(class.latency_objective_ms) as f64;
        let fraction = call.disconnect_draw / disconnect_fraction;
        Some(call.started_at + (latency_objective * fraction) as Micros)
    }
}

/// Whether a client may retry. It does not know whether a failed attempt ran.
fn may_retry(
    now: Micros,
    call: &ClientCall,
    class: &ClassSettings,
    failure: AttemptFailure,
) -> bool {
    if failure.is_harmless() {
        return true;
    }
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => {
            let key_expires_at = call.started_at + milliseconds(class.key_ttl_ms);
            class.key_scope == KeyScope::AllBackends && now < key_expires_at
        }
        Idempotency::NonIdempotent => false,
    }
}
