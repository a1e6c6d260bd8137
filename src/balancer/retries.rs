//! Retries: the scope of backends for a further attempt, whether the client may retry (rule 2, idempotency), and the
//! retry budget of this proxy.

use super::backends::BackendTable;
use super::requests::OpenRequest;
use crate::api::{Cell, Idempotency, KeyScope, Micros, Permissions, Zone};

#[cfg(test)]
mod tests;

/// Tokens that each request adds to the budget: the fraction of requests that may be retried after an attempt that may
/// have been executed.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Capacity of the budget in tokens: the maximum number of retries in a burst.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket for the retries of this proxy after attempts that may have been executed. It keeps retries from
/// multiplying the load of overloaded backends.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Adds the tokens of one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Reports whether the budget permits a retry.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes the token of one retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The backends that the next attempt of a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryScope {
    /// All backends.
    Anywhere,
    /// The backends of this zone.
    Zone(Zone),
    /// The backends of this cell.
    Cell(Cell),
    /// No backend: no further attempt is permitted.
    Nowhere,
}

/// Returns the scope of backends that the next attempt of a request may be sent to (rule 2). An attempt in flight
/// counts as one that may have been executed.
pub(crate) fn next_attempt_scope(
    now: Micros,
    request: &OpenRequest,
    idempotency: Idempotency,
    permissions: &Permissions,
    backends: &BackendTable,
) -> RetryScope {
    let is_over = request.closed || request.streaming || request.body_consumed;
    if is_over || request.attempts.len() >= usize::from(permissions.max_attempts) {
        return RetryScope::Nowhere;
    }
    if request.is_in_flight() && !permissions.hedging {
        return RetryScope::Nowhere;
    }
    let Some(first) = request.first_possibly_executed() else {
        return RetryScope::Anywhere;
    };
    let (scope, ttl) = match idempotency {
        Idempotency::Idempotent => return RetryScope::Anywhere,
        Idempotency::NonIdempotent => return RetryScope::Nowhere,
        Idempotency::Keyed { scope, ttl } => (scope, ttl),
    };
    let is_key_expired = first.sent_at.saturating_add(ttl) <= now;
    if is_key_expired {
        return RetryScope::Nowhere;
    }
    match scope {
        KeyScope::AllBackends => RetryScope::Anywhere,
        KeyScope::Zone => RetryScope::Zone(backends[first.backend].zone),
        KeyScope::Cell => RetryScope::Cell(backends[first.backend].cell),
    }
}

/// Reports whether a retry by the client is harmless (rule 2). Only then may the request be rejected, because
/// a rejection promises this to the client.
pub(crate) fn may_client_retry(
    now: Micros,
    request: &OpenRequest,
    idempotency: Idempotency,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed {
            scope: KeyScope::AllBackends,
            ..
        } => key_expires_at(request, idempotency).is_none_or(|expires_at| now < expires_at),
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
            request.first_possibly_executed().is_none()
        }
    }
}

/// Returns the time from which backends may forget the idempotency key of a request (rule 2); `None` if the request has
/// no key or was certainly not executed.
pub(crate) fn key_expires_at(request: &OpenRequest, idempotency: Idempotency) -> Option<Micros> {
    let Idempotency::Keyed { ttl, .. } = idempotency else {
        return None;
    };
    let first = request.first_possibly_executed()?;
    Some(first.sent_at.saturating_add(ttl))
}
