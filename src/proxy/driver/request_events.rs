//! The events of a request: it arrives, its final answer is due, its client disconnects.

use super::Driver;
use super::margins::{answer_deadline_in_shutdown, balancer_timeout, final_answer_timeout};
use super::requests::PendingRequest;
use super::timers::DriverTimer;
use crate::api::{Event, Micros, RequestId};
use crate::proxy::messages::{Answer, InboundRequest};
use crate::proxy::request_log;
use tokio::sync::oneshot;

impl Driver {
    /// Adds a request to the pending ones, sets the timer of its final answer and notifies the balancer.
    pub(super) fn on_request(
        &mut self,
        now: Micros,
        inbound: InboundRequest,
        client: oneshot::Sender<Answer>,
    ) {
        request_log::received(&inbound);
        let InboundRequest {
            mut request,
            arrived,
            call,
        } = inbound;
        let client_timeout_at = arrived.saturating_add(request.timeout);
        let remaining = client_timeout_at.saturating_sub(now);
        request.timeout = balancer_timeout(remaining);
        let open = PendingRequest::new(call, client, now, remaining);
        self.requests.insert(request.id, open);
        let answer_due = now + final_answer_timeout(remaining);
        self.timers
            .set(answer_due, DriverTimer::FinalAnswer(request.id));
        self.handle_event(now, Event::Request(request));
    }

    /// Fails a request that has no answer yet, so that the client receives an answer before its timeout (rule 1: one
    /// final answer). If a streamed body has postponed the final answer, the timer is set again instead.
    pub(super) fn on_final_answer_due(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        if let Some(due) = self.streamed_answer_due(open)
            && due > now
        {
            self.timers.set(due, DriverTimer::FinalAnswer(request));
            return;
        }
        open.call.request_ended.set();
        if self.answer(request, Answer::Failed) {
            self.handle_event(now, Event::ClientDisconnected(request));
            self.requests.remove_if_finished(request);
        }
    }

    /// Returns the time at which the final answer to a request with a streamed body is due; `None` if the body is not
    /// streamed. The client's timeout starts when it may have sent the last byte of the body.
    fn streamed_answer_due(&self, open: &PendingRequest) -> Option<Micros> {
        let progress = open.call.body.progress()?;
        let sent_at = self.clock.to_micros(progress.last_byte_not_before());
        let due = sent_at + final_answer_timeout(open.remaining);
        let Some(shutdown) = self.lifecycle.shutdown_times() else {
            return Some(due);
        };
        // The process may be killed before requests are answered that arrived before the shutdown, but not before the
        // answers to later ones.
        let limit = if sent_at > self.clock.to_micros(shutdown.began_at) {
            shutdown.last_answer_at
        } else {
            shutdown.drain_ends_at
        };
        Some(due.min(answer_deadline_in_shutdown(self.clock.to_micros(limit))))
    }

    /// Sets timers that check the requests with streamed bodies before the last answer of a shutdown is due. Their
    /// timers may be later, because they were set before the shutdown began.
    pub(super) fn on_stage_changed(&mut self) {
        let Some(shutdown) = self.lifecycle.shutdown_times() else {
            return;
        };
        let due = answer_deadline_in_shutdown(self.clock.to_micros(shutdown.last_answer_at));
        for request in self.requests.with_streamed_body() {
            self.timers.set(due, DriverTimer::FinalAnswer(request));
        }
    }

    /// Records that a client disconnected and notifies the balancer. Does nothing if the request has been answered.
    pub(super) fn on_client_disconnected(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        if !open.disconnect() {
            return;
        }
        request_log::client_disconnected(request);
        // An attempt that still waits for its connection must no longer be sent (rule 1: nothing is started for a
        // request after its end).
        open.call.request_ended.set();
        self.handle_event(now, Event::ClientDisconnected(request));
        self.requests.remove_if_finished(request);
    }
}
