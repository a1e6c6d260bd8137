//! One attempt of a request on a backend.

use super::BackendClient;
use super::backend_connections::BackendConnections;
use super::call::{AttemptResult, Call, ServedResponse};
use super::connection::Connection;
use super::deadlines::{AttemptDeadlines, ExchangeTimeout};
use super::error::BackendError;
use super::exchange::exchange;
use super::relay::relay_body;
use super::request::{RequestExtent, build_request};
use super::response::{BackendBody, BackendResponse, PartialBody, ResponseHead};
use crate::api::Outcome;
use crate::proxy::bodies::{RequestBody, ServedBody, StreamedResponse, UploadProgress};
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// Minimum time that must remain until the deadline of an attempt so that its request is sent.
const MIN_REMAINING: Duration = Duration::from_millis(1);

impl BackendClient {
    /// Makes one attempt of a request on a backend. The attempt ends early at one of its deadlines, or when
    /// `cancel` receives a message. A streamed response is passed to `on_response_start` when it starts, and the
    /// attempt ends together with the response.
    pub async fn attempt(
        self: Rc<Self>,
        backend: Rc<BackendConnections>,
        call: Rc<Call>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(ServedResponse),
    ) -> AttemptResult {
        let attempt = Attempt {
            backend_client: &self,
            backend: &backend,
            call: &call,
            deadlines,
        };
        if let Some(executions) = &call.executions {
            executions.begin_attempt();
        }
        let mut result = attempt.run(cancel, on_response_start).await;
        result.body_consumed = call
            .body
            .progress()
            .is_some_and(|progress| progress.is_consumed());
        let may_run_again = call.method == Method::GET || result.outcome.proves_not_executed();
        if let Some(executions) = &call.executions
            && may_run_again
        {
            executions.forget();
        }
        result
    }
}

/// The inputs of one attempt.
struct Attempt<'a> {
    backend_client: &'a BackendClient,
    backend: &'a Rc<BackendConnections>,
    call: &'a Call,
    deadlines: AttemptDeadlines,
}

/// A request that has been built for one connection and not been written yet.
struct PreparedRequest {
    request: Request<RequestBody>,
    /// The time until the deadline, which the request states in a header for the backend.
    remaining: Duration,
    extent: RequestExtent,
}

impl Attempt<'_> {
    /// Connects, writes the request, reads the response and returns the result of the attempt.
    async fn run(
        &self,
        mut cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(ServedResponse),
    ) -> AttemptResult {
        let mut connection = match self.connect(&mut cancel).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        // Rule 3 (draining): nothing is sent to a backend that began to drain, or was removed or replaced, while the
        // connection was established.
        if !self.backend.is_ready() || connection.generation != self.backend.generation() {
            return Outcome::NotSent.into();
        }
        let remaining = self
            .deadlines
            .deadline
            .saturating_duration_since(Instant::now());
        // Nothing is sent for a client that may have left.
        if remaining < MIN_REMAINING || !self.call.presence.permits_attempt() {
            self.backend_client.pool.keep(self.backend, connection);
            return Outcome::NotSent.into();
        }
        let Some(prepared) = self.prepare(&connection, remaining) else {
            return Outcome::NotSent.into();
        };
        let extent = prepared.extent;
        let exchanged = self.exchange(&mut connection, prepared, &mut cancel).await;
        // Rule 2 (idempotency): a request that was written only in part cannot run, and a complete one may have run.
        // There is no await between this check and the drop of the connection of an incomplete request, so no further
        // bytes are written.
        let is_completely_written =
            extent.is_complete(connection.socket.written(), self.chunked_size());
        match exchanged {
            Ok(response) if is_completely_written => {
                self.on_response(response, connection, cancel, on_response_start)
                    .await
            }
            Ok(response) => self.early_response(response),
            Err(error) => self.failure_outcome(&error, is_completely_written).into(),
        }
    }

    /// Returns a connection to the backend.
    ///
    /// # Errors
    /// The outcome of the attempt if no connection is established, if the attempt is cancelled, or if its request must
    /// no longer be sent.
    async fn connect(&self, cancel: &mut oneshot::Receiver<()>) -> Result<Connection, Outcome> {
        let pool = &self.backend_client.pool;
        let connected = tokio::select! {
            biased;
            connected = pool.connection(self.backend, self.deadlines.deadline) => connected,
            Ok(()) = cancel => return Err(Outcome::NotSent),
            () = self.wait_for_write_cutoff() => return Err(Outcome::NotSent),
        };
        connected.map_err(|error| error.connect_outcome())
    }

    /// Builds the request. Returns `None` if another attempt has taken its streamed body.
    fn prepare(&self, connection: &Connection, remaining: Duration) -> Option<PreparedRequest> {
        let body = self.call.body.for_attempt()?;
        let request = build_request(self.call, body, self.backend.address(), remaining);
        let extent = RequestExtent::new(&request, connection.socket.written());
        Some(PreparedRequest {
            request,
            remaining,
            extent,
        })
    }

    /// Writes the request and reads its response.
    ///
    /// # Errors
    /// [`BackendError`] if the exchange fails, times out or is cancelled.
    async fn exchange(
        &self,
        connection: &mut Connection,
        prepared: PreparedRequest,
        cancel: &mut oneshot::Receiver<()>,
    ) -> Result<BackendResponse, BackendError> {
        let PreparedRequest {
            request,
            remaining,
            extent,
        } = prepared;
        let memory = &self.backend_client.memory;
        let socket = Rc::clone(&connection.socket);
        socket.begin_request(extent.complete_at());
        let cutoff_before_complete = async {
            self.wait_for_write_cutoff().await;
            // A completely written request may run, and the balancer needs its outcome, so the response is awaited.
            if extent.is_complete(socket.written(), self.chunked_size()) {
                std::future::pending::<()>().await;
            }
        };
        let timeout = ExchangeTimeout {
            deadlines: self.deadlines,
            remaining,
            upload: self.upload(),
        };
        tokio::select! {
            biased;
            () = cutoff_before_complete => Err(BackendError::Cancelled),
            exchanged = exchange(&mut connection.sender, request, memory, || timeout.stream_by()) => exchanged,
            Ok(()) = cancel => Err(BackendError::Cancelled),
            () = timeout.wait() => Err(BackendError::TimedOut),
        }
    }

    /// Returns the size on the wire of a chunked body; `None` before its end.
    fn chunked_size(&self) -> Option<u64> {
        self.upload().and_then(UploadProgress::chunked_length)
    }

    /// Returns the progress of a streamed body; `None` if the body is buffered.
    fn upload(&self) -> Option<&UploadProgress> {
        self.call.body.progress().map(|upload| &**upload)
    }

    /// Returns the result of an attempt whose response arrived after the request was completely written.
    async fn on_response(
        &self,
        response: BackendResponse,
        mut connection: Connection,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(ServedResponse),
    ) -> AttemptResult {
        let load_reports = &self.backend_client.load_reports;
        match response.body {
            BackendBody::Partial(body) => {
                let outcome = self
                    .relay(body, &response.head, cancel, on_response_start)
                    .await;
                if outcome == Outcome::Ok {
                    self.backend_client.pool.keep(self.backend, connection);
                }
                AttemptResult {
                    outcome,
                    ..response.head.attempt_result(load_reports)
                }
            }
            BackendBody::Complete(ref body) => {
                let pool = &self.backend_client.pool;
                let deadline = self.deadlines.deadline;
                // The response to this request has not been received, and nothing else shows whether the request ran.
                if pool
                    .is_second_response(&mut connection, &response.head, body, deadline)
                    .await
                {
                    return Outcome::CorruptResponse.into();
                }
                pool.keep(self.backend, connection);
                response.into_result(load_reports)
            }
            BackendBody::Unread => response.into_result(load_reports),
        }
    }

    /// Relays a response to the client and returns the outcome of the attempt.
    async fn relay(
        &self,
        body: PartialBody,
        head: &ResponseHead,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(ServedResponse),
    ) -> Outcome {
        let (sender, streamed) = StreamedResponse::channel(body.length);
        on_response_start(ServedResponse {
            body: ServedBody::Streamed(streamed),
            content_type: head.content_type(),
        });
        let relayed = relay_body(sender, body, cancel, &self.call.request_ended).await;
        let Err(cut_off) = relayed else {
            return Outcome::Ok;
        };
        tracing::debug!(
            backend = %self.backend.address(),
            correlation_id = self.call.correlation_id(),
            bytes = cut_off.forwarded_bytes,
            reason = %cut_off,
            "response cut off"
        );
        cut_off.outcome()
    }

    /// Returns the result of an attempt whose response arrived before the request was completely written. A 200
    /// response cannot belong to such a request and counts as corrupt.
    ///
    /// The caller drops the connection instead of keeping it. Otherwise the rest of the request would still be written,
    /// and the backend would run a request whose attempt has ended (rule 2).
    fn early_response(&self, response: BackendResponse) -> AttemptResult {
        let result = response.into_result(&self.backend_client.load_reports);
        if result.outcome == Outcome::Ok {
            Outcome::CorruptResponse.into()
        } else {
            result
        }
    }

    /// Logs a failed exchange and returns the outcome of the attempt.
    fn failure_outcome(&self, error: &BackendError, is_completely_written: bool) -> Outcome {
        tracing::debug!(backend = %self.backend.address(), %error, "attempt failed");
        if !is_completely_written && self.has_body_failed() {
            // A body that failed is the client's fault and must not count against the backend.
            Outcome::NotSent
        } else if error.is_malformed() {
            // A malformed response counts as corrupt even if the request is incomplete, because it does not show
            // whether the backend ran the request.
            Outcome::CorruptResponse
        } else if error.is_cancelled() && is_completely_written {
            Outcome::Cancelled
        } else if error.is_cancelled() {
            Outcome::NotSent
        } else if !is_completely_written {
            Outcome::ConnectFailed
        } else if error.is_timeout() {
            Outcome::Timeout
        } else {
            Outcome::Reset
        }
    }

    /// Returns whether the streamed body failed: it ended early, arrived too slowly or was too large.
    fn has_body_failed(&self) -> bool {
        self.upload().is_some_and(UploadProgress::has_failed)
    }

    /// Waits until a request that is not completely written must no longer be sent, because it has ended or its write
    /// deadline has passed.
    async fn wait_for_write_cutoff(&self) {
        let write_deadline = self.deadlines.write_deadline;
        tokio::select! {
            () = self.call.request_ended.wait() => {}
            () = sleep_until(write_deadline.unwrap_or_else(Instant::now)), if write_deadline.is_some() => {}
        }
    }
}
