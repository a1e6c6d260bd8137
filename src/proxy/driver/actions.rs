//! Executes the actions of the balancer.

use super::Driver;
use super::attempts::AttemptStart;
use super::timers::DriverTimer;
use crate::api::{Action, LogEvent, Micros, RequestId};
use crate::proxy::messages::Answer;
use std::time::Duration;

impl Driver {
    /// Executes the actions that the balancer returned for the last event, in order.
    pub(super) fn execute_actions(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        // The empty list is put back so that its allocation is reused.
        self.actions = actions;
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                deadline,
                write_deadline,
            } => {
                let start = AttemptStart {
                    request,
                    backend,
                    deadline,
                    write_deadline,
                };
                self.start_attempt(now, start);
            }
            Action::Reject {
                request,
                retry_after,
            } => self.answer_and_remove(request, Answer::Rejected { retry_after }),
            Action::Fail { request } => self.answer_and_remove(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::SetTimer { after, token } => {
                let due = now.saturating_add(after);
                self.timers.set(due, DriverTimer::Balancer(token));
            }
            Action::Subscribe => {
                // If discovery is an agent, a watch is always open, so there is no receiver and the send fails.
                let _ = self.watch_requests.send(());
            }
            Action::HealthCheck(backend) => self.start_health_check(backend),
            Action::CloseIdleConnections(backend) => self.backend_client.close_idle(backend),
            Action::Log(event) => log(event),
        }
    }

    fn answer_and_remove(&mut self, request: RequestId, answer: Answer) {
        if self.answer(request, answer) {
            self.requests.remove_if_finished(request);
        }
    }

    /// Sends the final answer to a request if its client still waits for one. Returns whether the client was waiting.
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) -> bool {
        self.requests
            .get_mut(request)
            .is_some_and(|open| open.answer(request, answer))
    }
}

fn log(event: LogEvent) {
    match event {
        LogEvent::Ejected { backend, duration } => {
            let duration = Duration::from_micros(duration);
            tracing::info!(
                backend = backend.0,
                ?duration,
                "backend ejected: its requests fail"
            );
        }
        LogEvent::Readmitted { backend } => {
            tracing::info!(
                backend = backend.0,
                "backend readmitted after a trial request"
            );
        }
    }
}
