//! Creates the response to one request of a client.

use super::Clients;
use super::error::InvalidRequest;
use super::headers::SERVICE_CLASS;
use crate::api::RequestId;
use crate::proxy::backends::{CORRELATION_ID, ServedResponse};
use crate::proxy::bodies::{
    BufferedBody, NumberedRequest, PendingUpload, REQUEST_BODY_PACE, ReadAheadEnd, ResponseBody,
    ServedBody, WaitAllowance,
};
use crate::proxy::client_presence::ClientPresence;
use crate::proxy::connections::ClientConnection;
use crate::proxy::counters::{RequestGuard, RequestOutcome};
use crate::proxy::messages::{Answer, DriverHandle, InboundRequest, Message};
use crate::proxy::responses::{mark_connection_close, plain_text_response, rejected};
use crate::proxy::socket_io::SocketObserver;
use crate::proxy::time_limits::{READ_AHEAD_RETRY_INTERVAL, REQUEST_TIMEOUT};
use hyper::body::Incoming;
use hyper::header;
use hyper::{Request, Response, StatusCode};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// The minimum grace period of a request body after the head, even if the head was late. [`WaitAllowance`] extends it
/// according to the bytes that arrive.
const MIN_BODY_TIME: Duration = Duration::from_millis(300);

impl Clients {
    /// Responds to request `number` of a connection, counted from 1.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        number: u64,
    ) -> Response<ResponseBody> {
        let now = Instant::now();
        let late_at = if number == 1 {
            connection.connected_at() + REQUEST_TIMEOUT
        } else {
            now + REQUEST_TIMEOUT
        };
        let grace = late_at.saturating_duration_since(now).max(MIN_BODY_TIME);
        let mut response = if self.is_health_check(&request) {
            self.health().map(ResponseBody::Buffered)
        } else {
            let allowance = WaitAllowance::new(REQUEST_BODY_PACE, grace);
            self.serve_class_request(request, connection, number, allowance)
                .await
                .unwrap_or_else(error_response)
        };
        let has_further_request = || connection.has_further_request(number);
        if self
            .lifecycle
            .response_closes_connection(has_further_request)
        {
            mark_connection_close(&mut response);
        }
        response
    }

    /// Reads a request that belongs to a class and forwards it.
    async fn serve_class_request(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        number: u64,
        allowance: WaitAllowance,
    ) -> Result<Response<ResponseBody>, InvalidRequest> {
        // A backend that finds the end of the body elsewhere would execute a part of the body as a request that no
        // client sent (rule 2, idempotency).
        if connection.has_ambiguous_body_length(number) {
            return Err(InvalidRequest::AmbiguousBody);
        }
        let numbered = NumberedRequest {
            connection: Rc::clone(connection),
            number,
        };
        let inbound = self.read_request(request, numbered, allowance).await?;
        self.forward(inbound, connection).await
    }

    /// Returns whether a request is the health check of the load balancer in front of the proxies.
    ///
    /// A class may be named `up` like the path of the health check. The class header distinguishes its requests from
    /// health checks.
    fn is_health_check(&self, request: &Request<Incoming>) -> bool {
        let names_a_class =
            self.classes.contains_key("up") && request.headers().contains_key(SERVICE_CLASS);
        request.uri().path() == "/up" && !names_a_class
    }

    /// Returns the response to the health check.
    fn health(&self) -> Response<BufferedBody> {
        if self.lifecycle.is_in_service() {
            plain_text_response(StatusCode::OK, "up\n")
        } else {
            plain_text_response(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    /// Forwards a request to the driver and returns the response to its client.
    ///
    /// # Errors
    /// [`InvalidRequest`] if the client has disconnected, or if a request with the same id is open or may have run.
    async fn forward(
        &self,
        mut inbound: InboundRequest,
        connection: &ClientConnection,
    ) -> Result<Response<ResponseBody>, InvalidRequest> {
        // The client may have disconnected while its connection waited in the kernel's queue.
        if connection.is_closed_by_client() {
            return Err(InvalidRequest::ClientDisconnected);
        }
        // A second request with the id of one that is open or may have run could be executed as a copy of it (rule 2).
        let id = inbound.call.headers.get(CORRELATION_ID);
        let Some(claimed_id) = id.and_then(|id| self.correlation_ids.claim(id)) else {
            return Err(InvalidRequest::DuplicateRequest);
        };
        inbound.call.executions = Some(claimed_id.executions());
        let upload = inbound.call.body.pending_upload();
        let guard = self.counters.begin_request(inbound.request.class);
        let request = inbound.request.id;
        let answer = self
            .wait_for_answer(inbound, connection, upload.as_ref())
            .await?;
        let (response, outcome) = match answer {
            Answer::Served(served) => return Ok(served_response(request, served, guard)),
            Answer::Rejected { retry_after } => (rejected(retry_after), RequestOutcome::Rejected),
            Answer::Failed => (
                plain_text_response(StatusCode::BAD_GATEWAY, "failed\n"),
                RequestOutcome::Failed,
            ),
        };
        guard.set_outcome(outcome);
        // The rest of the body is read before the response is sent, because a response before the last byte would cut
        // off a client that is still sending.
        if let Some(upload) = upload.and_then(|upload| upload.take()) {
            upload.discard_rest().await;
        }
        Ok(response.map(ResponseBody::Buffered))
    }

    /// Sends a request to the driver and waits for its answer.
    ///
    /// # Errors
    /// [`InvalidRequest`] if the client disconnects first, or if the rest of its body turns out to be invalid.
    async fn wait_for_answer(
        &self,
        inbound: InboundRequest,
        connection: &ClientConnection,
        upload: Option<&PendingUpload>,
    ) -> Result<Answer, InvalidRequest> {
        let (sender, answer) = oneshot::channel();
        let guard = DisconnectGuard {
            handle: &self.handle,
            request: inbound.request.id,
            is_armed: true,
        };
        let presence = Rc::clone(&inbound.call.presence);
        self.handle.send(Message::Request {
            inbound: Box::new(inbound),
            client: sender,
        });
        // The connection is watched here, because hyper notices a disconnect only after it has read all earlier bytes.
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            end = self.watch(connection, &presence, upload) => return Err(end),
        };
        guard.disarm();
        Ok(final_answer(answer.ok()))
    }

    /// Watches a connection with an open request, and returns the reason for which the request cannot be served any more.
    async fn watch(
        &self,
        connection: &ClientConnection,
        presence: &ClientPresence,
        upload: Option<&PendingUpload>,
    ) -> InvalidRequest {
        if let Some(upload) = upload {
            let read = tokio::select! {
                read = self.read_ahead(connection, upload, presence) => read,
                () = connection.body_stopped() => {
                    return InvalidRequest::BodyTimedOut;
                }
                () = connection.socket().closed_by_peer() => {
                    return InvalidRequest::ClientDisconnected;
                }
            };
            if let Err(invalid) = read {
                // No attempt sends a part of an invalid body.
                drop(upload.take());
                return invalid;
            }
        }
        connection.closed_by_client(presence).await;
        InvalidRequest::ClientDisconnected
    }

    /// Reads a streamed body ahead until all of it has been read. It stays pending once an attempt has taken the body.
    ///
    /// # Errors
    /// [`InvalidRequest`] if the body is broken or too large.
    async fn read_ahead(
        &self,
        connection: &ClientConnection,
        pending: &PendingUpload,
        presence: &ClientPresence,
    ) -> Result<(), InvalidRequest> {
        loop {
            let end = poll_fn(|cx| {
                let mut pending = pending.borrow_mut();
                let Some(upload) = pending.as_mut() else {
                    return Poll::Pending;
                };
                let end = upload.poll_read_ahead(cx, &self.budget.memory);
                match end {
                    // A client that leaves before its last byte has no complete request that could run.
                    Poll::Ready(ReadAheadEnd::NoMemory) => {
                        presence.set_seen(connection.is_body_incomplete());
                    }
                    // The task of the connection may not have read yet what the kernel has received.
                    Poll::Pending if !connection.has_unread() => presence.set_seen(true),
                    _ => {}
                }
                end
            });
            match end.await {
                ReadAheadEnd::Complete => return Ok(()),
                ReadAheadEnd::Incomplete(error) => return Err(error.into()),
                ReadAheadEnd::TooLarge => return Err(InvalidRequest::BodyTooLarge),
                ReadAheadEnd::NoMemory => sleep(READ_AHEAD_RETRY_INTERVAL).await,
            }
        }
    }
}

/// Returns the response to a request that is not forwarded. The response closes the connection, because the bytes
/// after a malformed request may be a part of it.
fn error_response(error: InvalidRequest) -> Response<ResponseBody> {
    tracing::debug!(%error, "request not forwarded");
    let mut response = error.into_response().map(ResponseBody::Buffered);
    mark_connection_close(&mut response);
    response
}

/// Returns the answer that is sent to the client. `answer` is `None` if the driver dropped the request. Nothing of a
/// response has been sent yet, so the request fails if its response has broken off.
fn final_answer(answer: Option<Answer>) -> Answer {
    match answer {
        Some(Answer::Served(served)) if served.has_broken_off() => Answer::Failed,
        Some(answer) => answer,
        None => Answer::Failed,
    }
}

/// Returns the response to a request that a backend has served.
fn served_response(
    request: RequestId,
    served: ServedResponse,
    guard: RequestGuard,
) -> Response<ResponseBody> {
    let mut body = served.body;
    match &mut body {
        ServedBody::Buffered(_) => guard.set_outcome(RequestOutcome::Served),
        ServedBody::Streamed(streamed) => streamed.set_request(request, guard),
    }
    let mut response = Response::new(ResponseBody::from(body));
    if let Some(content_type) = served.content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Notifies the driver when a client disconnects while its request is open.
///
/// A disconnect drops the future that responds to the request, and this guard with it.
struct DisconnectGuard<'a> {
    handle: &'a DriverHandle,
    request: RequestId,
    /// Whether the request has no answer yet.
    is_armed: bool,
}

impl DisconnectGuard<'_> {
    /// Disarms the guard, because the request has its answer.
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.handle.send(Message::ClientDisconnected(self.request));
        }
    }
}

#[cfg(test)]
mod tests;
