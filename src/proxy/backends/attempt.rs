//! One attempt of a request on a backend.

use super::BackendClient;
use super::backend_connections::BackendConnections;
use super::call::{AttemptDeadlines, AttemptResult, Call, Served};
use super::connection::Connection;
use super::error::BackendError;
use super::exchange::exchange;
use super::relay::relay_body;
use super::request::{build_request, minimum_size};
use super::response::{BackendBody, BackendResponse, PartialBody, ResponseHead};
use crate::api::Outcome;
use crate::proxy::bodies::{RequestBody, ServedBody, StreamedResponse};
use hyper::Request;
use hyper::body::Body;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// With less time than this until the deadline, nothing is sent any more.
const MIN_REMAINING: Duration = Duration::from_millis(1);

impl BackendClient {
    /// Makes one attempt of a request on a backend, until the deadlines or until `cancel` fires. A response that
    /// is streamed is handed to `on_response_start` when it starts; the attempt then ends with it.
    pub async fn attempt(
        self: Rc<Self>,
        backend: Rc<BackendConnections>,
        call: Rc<Call>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(Served),
    ) -> AttemptResult {
        let attempt = Attempt {
            backend_client: &self,
            backend: &backend,
            call: &call,
            deadlines,
        };
        let mut result = attempt.run(cancel, on_response_start).await;
        result.body_consumed = call
            .body
            .progress()
            .is_some_and(|progress| progress.is_consumed());
        result
    }
}

/// What an attempt refers to.
struct Attempt<'a> {
    backend_client: &'a BackendClient,
    backend: &'a Rc<BackendConnections>,
    call: &'a Call,
    deadlines: AttemptDeadlines,
}

/// A request that is ready to be written.
struct Prepared {
    request: Request<RequestBody>,
    /// The time until the deadline, which the backend is sent.
    remaining: Duration,
    /// The count of written bytes at which the request is complete; `None` for a body without a length.
    complete_at: Option<u64>,
}

impl Attempt<'_> {
    /// Connects, writes the request and reads the response.
    async fn run(
        &self,
        mut cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(Served),
    ) -> AttemptResult {
        let mut connection = match self.connect(&mut cancel).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        // While the connection was established, the backend may have begun to drain or have been replaced; it gets
        // no new request then (rule 3).
        if !self.backend.is_ready() || connection.generation != self.backend.generation() {
            return Outcome::NotSent.into();
        }
        let remaining = self
            .deadlines
            .deadline
            .saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            self.backend_client.pool.keep(self.backend, connection);
            return Outcome::NotSent.into();
        }
        let Some(prepared) = self.prepare(&connection, remaining) else {
            return Outcome::NotSent.into();
        };
        let complete_at = prepared.complete_at;
        let exchanged = self.exchange(&mut connection, prepared, &mut cancel).await;
        // A request that the socket did not take completely cannot run, and any other may have run (rule 2). Reading
        // the count and dropping the connection happen in one step, so nothing more is written in between.
        let is_written = self.is_written(connection.socket.written(), complete_at);
        match exchanged {
            Ok(response) if is_written => {
                self.on_response(response, connection, cancel, on_response_start)
                    .await
            }
            Ok(response) => self.early_response(response),
            Err(error) => self.failure(&error, is_written).into(),
        }
    }

    /// Returns a connection, or the outcome of an attempt that gets none.
    async fn connect(&self, cancel: &mut oneshot::Receiver<()>) -> Result<Connection, Outcome> {
        let pool = &self.backend_client.pool;
        let connected = tokio::select! {
            biased;
            connected = pool.connection(self.backend, self.deadlines.deadline) => connected,
            Ok(()) = cancel => return Err(Outcome::NotSent),
            () = self.must_not_be_sent() => return Err(Outcome::NotSent),
        };
        connected.map_err(|error| error.connect_outcome())
    }

    /// Builds the request; `None` where another attempt has its body.
    fn prepare(&self, connection: &Connection, remaining: Duration) -> Option<Prepared> {
        let body = self.call.body.for_attempt()?;
        let request = build_request(self.call, body, self.backend.address(), remaining);
        let length = request.body().size_hint().exact();
        let complete_at =
            length.map(|length| connection.socket.written() + minimum_size(&request, length));
        Some(Prepared {
            request,
            remaining,
            complete_at,
        })
    }

    /// Writes the request and reads its response, unless it times out or is cancelled before.
    async fn exchange(
        &self,
        connection: &mut Connection,
        prepared: Prepared,
        cancel: &mut oneshot::Receiver<()>,
    ) -> Result<BackendResponse, BackendError> {
        let Prepared {
            request,
            remaining,
            complete_at,
        } = prepared;
        let socket = Rc::clone(&connection.socket);
        socket.begin_request(complete_at);
        let must_not_be_sent = async {
            self.must_not_be_sent().await;
            // A request that is written completely may run: its response is still of use to the balancer.
            if self.is_written(socket.written(), complete_at) {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = must_not_be_sent => Err(BackendError::Cancelled),
            exchanged = exchange(&mut connection.sender, request) => exchanged,
            Ok(()) = cancel => Err(BackendError::Cancelled),
            () = self.timed_out(remaining) => Err(BackendError::TimedOut),
        }
    }

    /// Returns whether the request is complete on a connection that took this many bytes. A request that is streamed
    /// without a length is complete at the end of its body.
    fn is_written(&self, written: u64, complete_at: Option<u64>) -> bool {
        match complete_at {
            Some(complete_at) => written >= complete_at,
            None => self
                .call
                .body
                .progress()
                .is_some_and(|progress| progress.finished_at().is_some()),
        }
    }

    /// Returns the result of a response that came after the request was written completely.
    async fn on_response(
        &self,
        response: BackendResponse,
        connection: Connection,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(Served),
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
                    ..response.head.result(load_reports)
                }
            }
            BackendBody::Complete(_) => {
                self.backend_client.pool.keep(self.backend, connection);
                response.into_result(load_reports)
            }
            BackendBody::Unread => response.into_result(load_reports),
        }
    }

    /// Relays a response that has started, and returns its outcome.
    async fn relay(
        &self,
        body: PartialBody,
        head: &ResponseHead,
        cancel: oneshot::Receiver<()>,
        on_response_start: impl FnOnce(Served),
    ) -> Outcome {
        let (sender, streamed) = StreamedResponse::channel(body.length);
        on_response_start(Served {
            body: ServedBody::Streamed(streamed),
            content_type: head.content_type(),
        });
        relay_body(sender, body, cancel, &self.call.over).await
    }

    /// Returns the result of a response that came before the request was written completely. The connection is not
    /// kept: it would take the rest of a request that is over, which would then run (rule 2). A 200 response can't
    /// be the request's own.
    fn early_response(&self, response: BackendResponse) -> AttemptResult {
        let result = response.into_result(&self.backend_client.load_reports);
        if result.outcome == Outcome::Ok {
            Outcome::CorruptResponse.into()
        } else {
            result
        }
    }

    /// Classifies a failed exchange.
    fn failure(&self, error: &BackendError, is_written: bool) -> Outcome {
        tracing::debug!(backend = %self.backend.address(), %error, "attempt failed");
        if !is_written && self.is_broken_by_client() {
            // The backend is not at fault.
            Outcome::NotSent
        } else if error.is_malformed() {
            // Also before the request was written completely: the meaning of such a response is unknown.
            Outcome::CorruptResponse
        } else if error.is_cancelled() && is_written {
            Outcome::Cancelled
        } else if error.is_cancelled() {
            Outcome::NotSent
        } else if !is_written {
            Outcome::ConnectFailed
        } else if error.is_timeout() {
            Outcome::Timeout
        } else {
            Outcome::Reset
        }
    }

    /// Returns whether the client did not send the body as it should have.
    fn is_broken_by_client(&self) -> bool {
        self.call
            .body
            .progress()
            .is_some_and(|progress| progress.is_broken())
    }

    /// Waits until a request that is not written completely must not be sent any more: because it is over, or
    /// because its write deadline has passed.
    async fn must_not_be_sent(&self) {
        let write_deadline = self.deadlines.write_deadline;
        tokio::select! {
            () = self.call.over.wait() => {}
            () = sleep_until(write_deadline.unwrap_or_else(Instant::now)), if write_deadline.is_some() => {}
        }
    }

    /// Waits until the attempt has timed out. The time of a request counts from its last byte, so where that is
    /// still to come the remaining time begins with it.
    async fn timed_out(&self, remaining: Duration) {
        match self.call.body.progress() {
            None => sleep_until(self.deadlines.deadline).await,
            Some(progress) => sleep_until(progress.finished().await + remaining).await,
        }
    }
}
