//! The table of pending requests and their attempts.

use super::margins::balancer_timeout;
use crate::api::{BackendId, Micros, RequestId};
use crate::proxy::backends::{Call, ServedResponse};
use crate::proxy::clock::Clock;
use crate::proxy::messages::Answer;
use crate::proxy::request_log;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// State of an attempt that was passed to the backend client.
#[derive(Debug)]
enum AttemptState {
    /// The attempt is in progress. A value sent on the channel cancels it.
    Running(oneshot::Sender<()>),
    /// The attempt was cancelled and has not ended yet.
    Cancelled,
    /// The attempt has ended.
    Ended,
}

/// The driver's record of an attempt. The balancer keeps a record of its own.
#[derive(Debug)]
struct AttemptRecord {
    backend: BackendId,
    sent_at: Micros,
    state: AttemptState,
}

/// A request that has no answer yet, or has an attempt that has not ended.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) call: Rc<Call>,
    /// Channel for the final answer; `None` once it was sent or the client disconnected.
    client: Option<oneshot::Sender<Answer>>,
    /// Time at which the driver received the request.
    received_at: Micros,
    /// Time until the client's timeout, from `received_at`.
    pub(super) remaining: Micros,
    attempts: Vec<AttemptRecord>,
}

impl PendingRequest {
    pub(super) fn new(
        call: Call,
        client: oneshot::Sender<Answer>,
        received_at: Micros,
        remaining: Micros,
    ) -> Self {
        Self {
            call: Rc::new(call),
            client: Some(client),
            received_at,
            remaining,
            attempts: Vec::new(),
        }
    }

    /// Returns whether no other attempt can follow one that ends at `deadline`: the balancer's time for the request is
    /// over by then, or the attempt takes a streamed body, which cannot be sent again.
    pub(super) fn ends_at(&self, deadline: Micros) -> bool {
        let balancer_deadline = self.received_at + balancer_timeout(self.remaining);
        deadline >= balancer_deadline || self.call.body.progress().is_some()
    }

    /// Returns whether the client still waits for its answer.
    pub(super) fn is_unanswered(&self) -> bool {
        self.client.is_some()
    }

    /// Sends the final answer if the client still waits for one. Returns whether the client was waiting.
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) -> bool {
        let Some(client) = self.client.take() else {
            return false;
        };
        request_log::answered(request, &answer);
        // The send fails if the client has just disconnected and needs no answer.
        let _ = client.send(answer);
        true
    }

    /// Sends a streamed response as the final answer if the client still waits for one, and the response has not broken
    /// off before a byte of it was sent. Returns whether it was sent.
    pub(super) fn begin_response(
        &mut self,
        request: RequestId,
        attempt: u16,
        response: ServedResponse,
    ) -> bool {
        if response.has_broken_off() {
            request_log::response_unsent(request, attempt);
            return false;
        }
        self.answer(request, Answer::Served(response))
    }

    /// Records that the client disconnected. Returns whether the client was waiting for an answer.
    pub(super) fn disconnect(&mut self) -> bool {
        self.client.take().is_some()
    }

    /// Adds an attempt that is in progress. Returns its number, and the channel on which it receives its cancellation.
    pub(super) fn start_attempt(
        &mut self,
        backend: BackendId,
        now: Micros,
    ) -> (u16, oneshot::Receiver<()>) {
        let number = self.attempts.len() as u16;
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.push(AttemptRecord {
            backend,
            sent_at: now,
            state: AttemptState::Running(cancel),
        });
        (number, cancelled)
    }

    /// Cancels an attempt that is in progress. The end of the attempt is still reported later, with an outcome.
    pub(super) fn cancel_attempt(&mut self, number: u16) {
        let Some(attempt) = self.attempts.get_mut(usize::from(number)) else {
            return;
        };
        match std::mem::replace(&mut attempt.state, AttemptState::Cancelled) {
            AttemptState::Running(cancel) => {
                let _ = cancel.send(());
            }
            AttemptState::Cancelled => {}
            AttemptState::Ended => attempt.state = AttemptState::Ended,
        }
    }

    /// Records the end of an attempt and returns its backend; `None` if there is no such attempt or it had already
    /// ended.
    pub(super) fn end_attempt(&mut self, number: u16) -> Option<BackendId> {
        let attempt = self.attempts.get_mut(usize::from(number))?;
        if matches!(attempt.state, AttemptState::Ended) {
            return None;
        }
        attempt.state = AttemptState::Ended;
        Some(attempt.backend)
    }

    /// Returns the time that an attempt has taken so far, in microseconds; `None` if there is no such attempt. The time
    /// in which the client was still sending the request's body is not included, because the backend does not cause it.
    pub(super) fn attempt_elapsed(
        &self,
        number: u16,
        clock: &Clock,
        now: Micros,
    ) -> Option<Micros> {
        let attempt = self.attempts.get(usize::from(number))?;
        let began = match self.body_complete_at(clock) {
            Some(complete_at) => complete_at.max(attempt.sent_at),
            None => attempt.sent_at,
        };
        Some(now.saturating_sub(began))
    }

    /// Returns the time at which the last byte of a streamed body was received; `None` if it has not been received yet,
    /// or the body is not streamed.
    fn body_complete_at(&self, clock: &Clock) -> Option<Micros> {
        let progress = self.call.body.progress()?;
        let complete_at = progress.finished_at()?;
        Some(clock.to_micros(complete_at))
    }

    /// Returns whether the client no longer waits for an answer and all attempts have ended.
    pub(super) fn is_finished(&self) -> bool {
        let all_ended = self
            .attempts
            .iter()
            .all(|attempt| matches!(attempt.state, AttemptState::Ended));
        self.client.is_none() && all_ended
    }
}

/// All pending requests, by their ids.
#[derive(Debug, Default)]
pub(super) struct PendingRequests(FxHashMap<RequestId, PendingRequest>);

impl PendingRequests {
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.0.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.0.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(&id)
    }

    /// Returns the ids of the requests whose bodies are streamed.
    pub(super) fn with_streamed_body(&self) -> impl Iterator<Item = RequestId> {
        self.0
            .iter()
            .filter(|(_, request)| request.call.body.progress().is_some())
            .map(|(&id, _)| id)
    }

    /// Removes a request if it is finished.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.0.get(&id).is_some_and(PendingRequest::is_finished) {
            self.0.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
