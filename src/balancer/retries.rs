//! Retries: where a further attempt may go, whether a rejection is harmless (rule 2), and how many retries this proxy
//! may make.

use super::backends::BackendTable;
use super::requests::OpenRequest;
use crate::api::{Cell, Idempotency, KeyScope, Micros, Permissions, Zone};

#[cfg(test)]
mod tests;

/// Tokens that each request adds: the part of the requests that may be retried after an attempt that may have run.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// The most tokens, and thus retries in a burst.
const MAX_TOKENS: f64 = 10.0;

/// The retries that this proxy may make after attempts that may have run, so that retries cannot multiply an overload.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Adds what one request allows.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a retry may be made.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Where the next attempt of a request may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryScope {
    /// To any backend.
    Anywhere,
    /// To a backend of this zone.
    Zone(Zone),
    /// To a backend of this cell.
    Cell(Cell),
    /// Nowhere.
    Nowhere,
}

/// Returns where the next attempt of a request may go (rule 2). An attempt in flight counts as one that may have run.
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

/// Whether a request may be rejected, which promises the client that a retry is harmless (rule 2).
pub(crate) fn is_rejection_harmless(
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

/// Returns when backends may forget the idempotency key of a request that may have run (rule 2); `None` for a request
/// without a key, or one that has not run.
pub(crate) fn key_expires_at(request: &OpenRequest, idempotency: Idempotency) -> Option<Micros> {
    let Idempotency::Keyed { ttl, .. } = idempotency else {
        return None;
    };
    let first = request.first_possibly_executed()?;
    Some(first.sent_at.saturating_add(ttl))
}
