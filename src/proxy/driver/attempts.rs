//! Attempts and health checks from their start to their end.

use super::Driver;
use crate::api::{AttemptEnd, BackendId, Event, Micros, Outcome, RequestId};
use crate::proxy::backends::{
    AttemptDeadlines, AttemptResult, BackendConnections, Call, ServedResponse,
};
use crate::proxy::messages::{Answer, Message};
use crate::proxy::request_log;
use std::rc::Rc;
use tokio::sync::oneshot;

/// An attempt or a health check that has ended, with its result.
#[derive(Debug)]
pub(super) enum Completion {
    Attempt {
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
    },
    HealthCheck {
        backend: BackendId,
        result: AttemptResult,
    },
}

/// The parameters of an attempt that the balancer starts ([`Action::Send`](crate::api::Action::Send)).
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptStart {
    pub(super) request: RequestId,
    pub(super) backend: BackendId,
    /// Time on the proxy's clock at which the attempt times out.
    pub(super) deadline: Micros,
    /// Time on the proxy's clock by which the request must be written completely; `None` if no such limit applies.
    pub(super) write_deadline: Option<Micros>,
}

/// An attempt whose backend is listed and that may be sent.
struct PreparedAttempt {
    request: RequestId,
    /// Number of the attempt within the request, counted from 0.
    attempt: u16,
    connections: Rc<BackendConnections>,
    call: Rc<Call>,
    deadlines: AttemptDeadlines,
    /// Receives a value when the balancer cancels the attempt.
    cancelled: oneshot::Receiver<()>,
}

impl Driver {
    /// Starts an attempt. It ends at once with [`Outcome::NotSent`] if its request is answered, the maximum number of
    /// attempts is reached, its deadline has passed or its backend is not listed.
    pub(super) fn start_attempt(&mut self, now: Micros, start: AttemptStart) {
        let AttemptStart {
            request,
            backend,
            deadline,
            ..
        } = start;
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let (attempt, cancelled) = open.start_attempt(backend, now);
        request_log::attempt_started(request, attempt, backend, deadline.saturating_sub(now));
        let may_be_sent =
            open.is_unanswered() && attempt < self.settings.max_attempts && deadline > now;
        let call = Rc::clone(&open.call);
        let is_last = open.ends_at(deadline);
        let connections = self
            .backend_client
            .connections(backend)
            .filter(|_| may_be_sent);
        match connections {
            Some(connections) => {
                let prepared = PreparedAttempt {
                    request,
                    attempt,
                    connections,
                    call,
                    deadlines: self.attempt_deadlines(&start, is_last),
                    cancelled,
                };
                self.spawn_attempt(prepared);
            }
            None => self.completions.push_back(Completion::Attempt {
                request,
                attempt,
                result: Outcome::NotSent.into(),
            }),
        }
    }

    fn attempt_deadlines(&self, start: &AttemptStart, is_last: bool) -> AttemptDeadlines {
        AttemptDeadlines {
            deadline: self.clock.to_instant(start.deadline),
            write_deadline: start.write_deadline.map(|at| self.clock.to_instant(at)),
            is_last,
        }
    }

    /// Spawns the task that makes an attempt and notifies the driver of its response and its end.
    fn spawn_attempt(&self, prepared: PreparedAttempt) {
        let PreparedAttempt {
            request,
            attempt,
            connections,
            call,
            deadlines,
            cancelled,
        } = prepared;
        let backend_client = Rc::clone(&self.backend_client);
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let on_response_start = |response| {
                handle.send(Message::ResponseStarted {
                    request,
                    attempt,
                    response,
                });
            };
            let on_upload_progress = |is_stalled| {
                handle.send(Message::UploadProgress {
                    request,
                    attempt,
                    is_stalled,
                });
            };
            let upload = call.body.progress().cloned();
            let sending =
                backend_client.attempt(connections, call, deadlines, cancelled, on_response_start);
            let result = match upload {
                Some(upload) => upload.report_stalls(sending, on_upload_progress).await,
                None => sending.await,
            };
            handle.send(Message::AttemptEnded {
                request,
                attempt,
                result,
            });
        });
    }

    /// Cancels an attempt. The attempt ends with a [`Message::AttemptEnded`], which reports its outcome.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u16) {
        if let Some(open) = self.requests.get_mut(request) {
            open.cancel_attempt(attempt);
        }
    }

    /// Sends a health check to a backend. Does nothing if the backend is not listed.
    pub(super) fn start_health_check(&self, backend: BackendId) {
        let Some(connections) = self.backend_client.connections(backend) else {
            return;
        };
        let backend_client = Rc::clone(&self.backend_client);
        let handle = self.handle.clone();
        let with_load_report = self.settings.load_report_by_health_check;
        tokio::task::spawn_local(async move {
            let result = backend_client
                .health_check(connections, with_load_report)
                .await;
            handle.send(Message::HealthChecked { backend, result });
        });
    }

    /// Answers the client with a streamed response whose head has been received, and notifies the balancer. If the
    /// client has disconnected or has been answered, or if the response has broken off, it is dropped. Then the end of its
    /// attempt decides how the request goes on.
    pub(super) fn on_response_started(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        response: ServedResponse,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        if !open.begin_response(request, attempt, response) {
            return;
        }
        let Some(elapsed) = open.attempt_elapsed(attempt, &self.clock, now) else {
            return;
        };
        let event = Event::ResponseStarted {
            request,
            attempt,
            elapsed,
        };
        self.handle_event(now, event);
    }

    /// Notifies the balancer of the end of an attempt or a health check.
    pub(super) fn on_completion(&mut self, now: Micros, completion: Completion) {
        self.completions.push_back(completion);
        self.handle_completions(now);
    }

    /// Notifies the balancer of all completions in the queue, including those that its actions add in the meantime.
    pub(super) fn handle_completions(&mut self, now: Micros) {
        while let Some(completion) = self.completions.pop_front() {
            match completion {
                Completion::Attempt {
                    request,
                    attempt,
                    result,
                } => self.on_attempt_ended(now, request, attempt, result),
                Completion::HealthCheck { backend, result } => {
                    self.on_health_checked(now, backend, &result);
                }
            }
        }
    }

    fn on_health_checked(&mut self, now: Micros, backend: BackendId, result: &AttemptResult) {
        let event = Event::HealthChecked {
            backend,
            outcome: result.outcome,
            load_report: &result.load_report,
        };
        self.balancer.handle(now, event, &mut self.actions);
        self.execute_actions(now);
    }

    /// Sends the response of an attempt to the client and notifies the balancer of the end of the attempt. A second end
    /// of the same attempt is ignored.
    fn on_attempt_ended(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(backend) = open.end_attempt(attempt) else {
            return;
        };
        let elapsed = open
            .attempt_elapsed(attempt, &self.clock, now)
            .unwrap_or_default();
        request_log::attempt_ended(request, attempt, backend, elapsed, &result);
        // The first 200 response is the final answer. It is sent without a decision of the balancer, which is notified
        // by `request_answered`.
        if let Some(response) = result.served {
            open.answer(request, Answer::Served(response));
        }
        let end = AttemptEnd {
            request,
            backend,
            attempt,
            outcome: result.outcome,
            request_answered: !open.is_unanswered(),
            elapsed,
            load_report: &result.load_report,
            body_consumed: result.body_consumed,
        };
        self.balancer
            .handle(now, Event::AttemptEnded(end), &mut self.actions);
        self.execute_actions(now);
        self.requests.remove_if_finished(request);
    }
}
