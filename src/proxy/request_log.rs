//! Log events of individual requests, from arrival to final answer.
//!
//! Each event states the request id, which is local to this process. The first event of a request also states its
//! correlation id.

use super::backends::AttemptResult;
use super::counters::RequestOutcome;
use super::logging::REQUEST_TARGET;
use super::messages::{Answer, InboundRequest};
use crate::api::{BackendId, Micros, RequestId};
use std::time::Duration;
use tracing::debug;

/// Logs that a request was received, completely or up to the streamed part of its body.
pub(super) fn received(inbound: &InboundRequest) {
    let request = &inbound.request;
    debug!(
        target: REQUEST_TARGET,
        request = request.id.0,
        correlation_id = inbound.call.correlation_id(),
        class = request.class.0,
        tenant = request.tenant.0,
        timeout = ?Duration::from_micros(request.timeout),
        "received",
    );
}

/// Logs the start of an attempt that times out after `timeout`.
pub(super) fn attempt_started(
    request: RequestId,
    attempt: u16,
    backend: BackendId,
    timeout: Micros,
) {
    let timeout = Duration::from_micros(timeout);
    debug!(
        target: REQUEST_TARGET,
        request = request.0,
        attempt,
        backend = backend.0,
        ?timeout,
        "attempt started",
    );
}

/// Logs the end of an attempt that took `elapsed`.
pub(super) fn attempt_ended(
    request: RequestId,
    attempt: u16,
    backend: BackendId,
    elapsed: Micros,
    result: &AttemptResult,
) {
    let elapsed = Duration::from_micros(elapsed);
    let outcome = result.outcome;
    debug!(
        target: REQUEST_TARGET,
        request = request.0,
        attempt,
        backend = backend.0,
        ?elapsed,
        ?outcome,
        "attempt ended",
    );
}

/// Logs that a response that had begun to be passed on broke before a byte of it was sent. The end of its attempt decides
/// how the request goes on.
pub(super) fn response_unsent(request: RequestId, attempt: u16) {
    debug!(target: REQUEST_TARGET, request = request.0, attempt, "response broke unsent");
}

/// Logs the end of a streamed response, of which `bytes` bytes were passed on. `outcome` is `None` if the client
/// disconnected.
pub(super) fn response_ended(request: RequestId, outcome: Option<RequestOutcome>, bytes: u64) {
    debug!(target: REQUEST_TARGET, request = request.0, ?outcome, bytes, "response ended");
}

/// Logs the final answer to a request.
pub(super) fn answered(request: RequestId, answer: &Answer) {
    let answer = match answer {
        Answer::Served(_) => "served",
        Answer::Rejected { .. } => "rejected",
        Answer::Failed => "failed",
    };
    debug!(target: REQUEST_TARGET, request = request.0, answer, "answered");
}

/// Logs that a client disconnected before its request was answered.
pub(super) fn client_disconnected(request: RequestId) {
    debug!(target: REQUEST_TARGET, request = request.0, "client disconnected");
}
