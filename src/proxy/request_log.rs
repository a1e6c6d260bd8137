//! The events of single requests in the log: from the last byte that came to the final answer.
//!
//! All have the number of the request in this process; the first one also has its correlation id.

use super::backends::AttemptResult;
use super::logging::REQUEST_TARGET;
use super::messages::{Answer, Inbound};
use crate::api::{BackendId, Micros, RequestId};
use std::time::Duration;
use tracing::debug;

/// A request was taken.
pub(super) fn received(inbound: &Inbound) {
    let request = &inbound.request;
    debug!(
        target: REQUEST_TARGET,
        request = request.id,
        correlation_id = inbound.call.correlation_id(),
        class = request.class.0,
        tenant = request.tenant.0,
        time_left = ?Duration::from_micros(request.timeout),
        "received",
    );
}

/// An attempt starts, which is given up after `time_left`.
pub(super) fn attempt_started(
    request: RequestId,
    attempt: u16,
    backend: BackendId,
    time_left: Micros,
) {
    let time_left = Duration::from_micros(time_left);
    debug!(target: REQUEST_TARGET, request, attempt, backend, ?time_left, "attempt started");
}

/// An attempt ended, `elapsed` after its start.
pub(super) fn attempt_ended(
    request: RequestId,
    attempt: u16,
    backend: BackendId,
    elapsed: Micros,
    result: &AttemptResult,
) {
    let (elapsed, outcome) = (Duration::from_micros(elapsed), result.outcome);
    debug!(target: REQUEST_TARGET, request, attempt, backend, ?elapsed, ?outcome, "attempt ended");
}

/// The client gets its final answer.
pub(super) fn answered(request: RequestId, answer: &Answer) {
    let answer = match answer {
        Answer::Served(_) => "served",
        Answer::Refused { .. } => "refused",
        Answer::Failed => "failed",
    };
    debug!(target: REQUEST_TARGET, request, answer, "answered");
}

/// The client left without an answer.
pub(super) fn client_left(request: RequestId) {
    debug!(target: REQUEST_TARGET, request, "client left");
}
