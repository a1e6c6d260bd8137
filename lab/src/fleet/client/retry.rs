//! The behavior of clients: retries, backoff, timeouts and disconnections.

use super::ClientCall;
use crate::fleet::random::{Stream, stream};
use crate::fleet::scenario::{ClassSettings, ClientSettings, Idempotency, KeyScope};
use crate::units::micros_from_milliseconds;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::Exp1;
use tillerproxy::api::Micros;

/// The failure of a client's attempt: every end other than a response from a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The proxy rejected the request; a retry is harmless.
    Rejected {
        /// Time that the client should wait before a retry.
        retry_after: Micros,
    },
    /// The request failed and may have been executed.
    Failed,
    /// The client's timeout for this attempt expired.
    TimedOut,
    /// No proxy accepted the request.
    Unreachable,
}

impl AttemptFailure {
    /// Returns whether the request was certainly not executed.
    fn is_not_executed(self) -> bool {
        matches!(self, Self::Rejected { .. } | Self::Unreachable)
    }
}

/// The behavior of a scenario's clients: retries, backoff, timeouts and disconnections.
#[derive(Debug)]
pub struct ClientBehavior {
    settings: ClientSettings,
    random: SmallRng,
}

impl ClientBehavior {
    /// Creates the behavior of a scenario's clients.
    #[must_use]
    pub fn new(settings: &ClientSettings, seed: u64) -> Self {
        Self {
            settings: settings.clone(),
            random: stream(seed, Stream::Clients, 0),
        }
    }

    /// Draws the backoff until the client's next attempt; `None` if the client does not retry.
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
        let mean_backoff = micros_from_milliseconds(self.settings.mean_backoff_ms) as f64;
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
        let deadline = call.started_at + micros_from_milliseconds(class.timeout_ms);
        (now + backoff < deadline).then_some(backoff)
    }

    /// Draws the uniform number in 0..1 that selects the proxy of a retry.
    pub fn draw_proxy(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns the time at which the client abandons an attempt that begins now.
    #[must_use]
    pub fn attempt_deadline(
        &self,
        now: Micros,
        call: &ClientCall,
        class: &ClassSettings,
    ) -> Micros {
        let call_timeout = micros_from_milliseconds(class.timeout_ms);
        let fraction = self.settings.attempt_timeout_fraction;
        let attempt_timeout = (call_timeout as f64 * fraction) as Micros;
        (now + attempt_timeout).min(call.started_at + call_timeout)
    }

    /// Returns the time at which the client disconnects before its response; `None` if the client stays.
    #[must_use]
    pub fn disconnects_at(&self, call: &ClientCall, class: &ClassSettings) -> Option<Micros> {
        let disconnect_fraction = self.settings.disconnect_fraction;
        if call.disconnect_draw >= disconnect_fraction {
            return None;
        }
        let latency_objective = micros_from_milliseconds(class.latency_objective_ms) as f64;
        let fraction = call.disconnect_draw / disconnect_fraction;
        Some(call.started_at + (latency_objective * fraction) as Micros)
    }
}

/// Returns whether a client may retry. The client does not know whether a failed attempt was executed.
fn may_retry(
    now: Micros,
    call: &ClientCall,
    class: &ClassSettings,
    failure: AttemptFailure,
) -> bool {
    if failure.is_not_executed() {
        return true;
    }
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => {
            let key_expires_at = call.started_at + micros_from_milliseconds(class.key_ttl_ms);
            class.key_scope == KeyScope::AllBackends && now < key_expires_at
        }
        Idempotency::NonIdempotent => false,
    }
}
