//! One attempt of a request on a backend.

use super::call::{AttemptDeadlines, AttemptResult, Call, Served};
use super::connection::Connection;
use super::exchange::{ExchangeError, exchange};
use super::fleet::{Endpoint, Fleet};
use super::relay::relay_answer;
use super::reply::{PartialBody, Reply, ReplyBody};
use super::request::{build_request, least_size};
use crate::api::Outcome;
use crate::proxy::bodies::{AnswerBody, BufferedBody, RequestBody, StreamedAnswer};
use hyper::Request;
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// With less time than this left, nothing is sent any more.
const LEAST_TIME: Duration = Duration::from_millis(1);

impl Fleet {
    /// One attempt of a request on a backend, given up as `deadlines` says or when `cancel` fires. An answer
    /// that flows through is handed to `begins` when it begins; the attempt then ends with it.
    pub async fn attempt(
        self: Rc<Self>,
        endpoint: Rc<Endpoint>,
        call: Rc<Call>,
        deadlines: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        begins: impl FnOnce(Served),
    ) -> AttemptResult {
        let attempt = Attempt {
            fleet: &self,
            endpoint: &endpoint,
            call: &call,
            deadlines,
        };
        let mut result = attempt.run(cancel, begins).await;
        result.spent = call
            .body
            .progress()
            .is_some_and(|progress| progress.is_spent());
        result
    }
}

/// What an attempt refers to.
struct Attempt<'a> {
    fleet: &'a Fleet,
    endpoint: &'a Rc<Endpoint>,
    call: &'a Call,
    deadlines: AttemptDeadlines,
}

impl Attempt<'_> {
    async fn run(
        &self,
        mut cancel: oneshot::Receiver<()>,
        begins: impl FnOnce(Served),
    ) -> AttemptResult {
        let connection = tokio::select! {
            biased;
            connection = self.fleet.connection(self.endpoint, self.deadlines.give_up) => connection,
            Ok(()) = &mut cancel => return Outcome::NotSent.into(),
            () = self.unwanted() => return Outcome::NotSent.into(),
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return error.outcome().into(),
        };
        // Rule 3: while the connection came up, the backend may have begun to drain or have been replaced.
        if !self.endpoint.is_ready() || connection.generation != self.endpoint.generation() {
            return Outcome::NotSent.into();
        }
        let left = self
            .deadlines
            .give_up
            .saturating_duration_since(Instant::now());
        if left < LEAST_TIME {
            self.fleet.keep(self.endpoint, connection);
            return Outcome::NotSent.into();
        }
        let Some(body) = self.call.body.for_attempt() else {
            return Outcome::NotSent.into();
        };
        let request = build_request(self.call, body, self.endpoint.address(), left);
        let whole_at = whole_at(&connection, &request);
        connection.wire.begin_request(whole_at);
        let exchanged = self
            .exchange(&mut connection, request, whole_at, left, &mut cancel)
            .await;
        // Rule 2: what the socket did not take whole can't run; of anything else nothing is certain. Reading
        // the count and dropping the connection happen in one step, so nothing more is written in between.
        let all_written = self.is_written(&connection, whole_at);
        match exchanged {
            Ok(reply) if all_written => self.answered(reply, connection, cancel, begins).await,
            Ok(reply) => self.answered_early(reply),
            Err(error) => self.failure(&error, all_written).into(),
        }
    }

    /// Writes the request and reads its answer, unless it is given up or withdrawn before.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<RequestBody>,
        whole_at: Option<u64>,
        left: Duration,
        cancel: &mut oneshot::Receiver<()>,
    ) -> Result<Reply, ExchangeError> {
        let wire = Rc::clone(&connection.wire);
        let withdrawn = async {
            self.unwanted().await;
            if self.is_written_on(wire.written(), whole_at) {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = withdrawn => Err(ExchangeError::Cancelled),
            exchanged = exchange(&mut connection.sender, request) => exchanged,
            Ok(()) = cancel => Err(ExchangeError::Cancelled),
            () = self.given_up(left) => Err(ExchangeError::TimedOut),
        }
    }

    fn is_written(&self, connection: &Connection, whole_at: Option<u64>) -> bool {
        self.is_written_on(connection.wire.written(), whole_at)
    }

    /// Whether the request is written whole on a connection that took so many bytes. Of one that flows
    /// through without a length, its end tells.
    fn is_written_on(&self, written: u64, whole_at: Option<u64>) -> bool {
        match whole_at {
            Some(whole) => written >= whole,
            None => self
                .call
                .body
                .progress()
                .is_some_and(|progress| progress.finished_at().is_some()),
        }
    }

    /// The result of an answer that came behind the whole request.
    async fn answered(
        &self,
        reply: Reply,
        connection: Connection,
        cancel: oneshot::Receiver<()>,
        begins: impl FnOnce(Served),
    ) -> AttemptResult {
        let Reply {
            status,
            headers,
            body,
        } = reply;
        match body {
            ReplyBody::Partial(answer) => {
                let outcome = self.relay(answer, &headers, cancel, begins).await;
                if outcome == Outcome::Ok {
                    self.fleet.keep(self.endpoint, connection);
                }
                let body = ReplyBody::Whole(BufferedBody::default());
                let result = self.fleet.result_of(Reply {
                    status,
                    headers,
                    body,
                });
                AttemptResult {
                    outcome,
                    served: None,
                    ..result
                }
            }
            ReplyBody::Whole(_) => {
                self.fleet.keep(self.endpoint, connection);
                self.fleet.result_of(Reply {
                    status,
                    headers,
                    body,
                })
            }
            ReplyBody::Unread => self.fleet.result_of(Reply {
                status,
                headers,
                body,
            }),
        }
    }

    /// Hands an answer on that has begun, and passes on what comes of it.
    async fn relay(
        &self,
        answer: PartialBody,
        headers: &HeaderMap,
        cancel: oneshot::Receiver<()>,
        begins: impl FnOnce(Served),
    ) -> Outcome {
        let (sender, streamed) = StreamedAnswer::channel(answer.length);
        let body = AnswerBody::Streamed(streamed);
        begins(Served {
            body,
            content_type: headers.get(CONTENT_TYPE).cloned(),
        });
        relay_answer(sender, answer, cancel, &self.call.cancel).await
    }

    /// The result of an answer that came ahead of the whole request. Rule 2: kept, the connection would take
    /// the rest of a request that is over, and that would run. Good or begun, it can't be the request's
    /// answer.
    fn answered_early(&self, reply: Reply) -> AttemptResult {
        let result = self.fleet.result_of(reply);
        if result.outcome == Outcome::Ok {
            Outcome::CorruptResponse.into()
        } else {
            result
        }
    }

    fn failure(&self, error: &ExchangeError, all_written: bool) -> Outcome {
        let client_broke = || {
            self.call
                .body
                .progress()
                .is_some_and(|progress| progress.is_broken())
        };
        match error {
            // The client's own doing is reported of no backend.
            _ if !all_written && client_broke() => Outcome::NotSent,
            // Also ahead of the whole request: nobody knows what an early answer means.
            ExchangeError::Malformed => Outcome::CorruptResponse,
            ExchangeError::Cancelled if all_written => Outcome::Cancelled,
            ExchangeError::Cancelled => Outcome::NotSent,
            ExchangeError::TimedOut if all_written => Outcome::Timeout,
            ExchangeError::Connection if all_written => Outcome::Reset,
            ExchangeError::TimedOut | ExchangeError::Connection => Outcome::ConnectFailed,
        }
    }

    /// Waits until what is not written of the attempt is not to be sent.
    async fn unwanted(&self) {
        let write_by = self.deadlines.write_by;
        tokio::select! {
            () = self.call.cancel.triggered() => {}
            () = sleep_until(write_by.unwrap_or_else(Instant::now)), if write_by.is_some() => {}
        }
    }

    /// Waits until the attempt has to be given up. The time of a request counts from its last byte, so where
    /// that is still to come the time that is left begins with it.
    async fn given_up(&self, left: Duration) {
        match self.call.body.progress() {
            None => sleep_until(self.deadlines.give_up).await,
            Some(progress) => sleep_until(progress.finished().await + left).await,
        }
    }
}

/// The count of bytes at which a request is written whole; `None` for a body without a length.
fn whole_at(connection: &Connection, request: &Request<RequestBody>) -> Option<u64> {
    let length = request.body().size_hint().exact()?;
    Some(connection.wire.written() + least_size(request, length))
}
