//! Owns the [`Balancer`]: feeds it events on one clock, carries out its actions, keeps its timers and the
//! table of requests. All other tasks talk to it through a [`Handle`].

use super::backends::{AttemptDeadlines, AttemptResult, Backends, Call, Served};
use super::clock::Clock;
use super::lifecycle::Lifecycle;
use super::messages::{Answer, Endpoint, Handle, Inbound, MembershipUpdate, Message};
use super::request_log;
use crate::api::{
    Action, AttemptEnd, Backend, BackendId, Event, MembershipEvent, Micros, Outcome, RequestId,
};
use crate::balancer::Balancer;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// The balancer is told that a request's time ends this much before the client's does: the answer has to be
/// written and to travel.
pub const ANSWER_MARGIN: Micros = 20_000;
/// A process that ends has answered everything this much before.
const SHUTDOWN_MARGIN: Micros = 100_000;
/// A request that the balancer has left open is failed this much before the client's time ends.
const LAST_MARGIN: Micros = 10_000;

struct Attempt {
    backend: BackendId,
    sent_at: Micros,
    /// Withdraws it; `None` once it has ended.
    cancel: Option<oneshot::Sender<()>>,
}

struct OpenRequest {
    call: Rc<Call>,
    /// `None` once the client has its final answer or has left.
    client: Option<oneshot::Sender<Answer>>,
    /// How long the client waited at the most when the request came.
    left: Micros,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(|a| a.cancel.is_none())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the balancer.
    Balancer(u32),
    /// The last moment for a request's answer.
    LastMoment(RequestId),
}

/// An event that the driver itself has caused and not yet handed on.
enum Pending {
    Settled {
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
    },
    Probed {
        backend: BackendId,
        result: AttemptResult,
    },
}

/// Owns the balancer.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    backends: Rc<Backends>,
    lifecycle: Rc<Lifecycle>,
    handle: Handle,
    messages: mpsc::UnboundedReceiver<Message>,
    /// Asks discovery for changes, where it has to be asked.
    subscribe: mpsc::UnboundedSender<()>,
    max_attempts: usize,
    report_by_probe: bool,
    open: FxHashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    pending: VecDeque<Pending>,
    actions: Vec<Action>,
}

/// The limits that the driver itself keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u16,
    /// Whether load reports come with probes alone.
    pub report_by_probe: bool,
}

impl Driver {
    /// A driver with no requests. `subscribe` is told when the balancer wants changes from discovery.
    #[must_use]
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        backends: Rc<Backends>,
        limits: Limits,
        subscribe: mpsc::UnboundedSender<()>,
        lifecycle: Rc<Lifecycle>,
    ) -> (Self, Handle) {
        let (handle, messages) = Handle::channel();
        let driver = Self {
            balancer,
            clock,
            backends,
            lifecycle,
            handle: handle.clone(),
            messages,
            subscribe,
            max_attempts: usize::from(limits.max_attempts),
            report_by_probe: limits.report_by_probe,
            open: FxHashMap::default(),
            timers: BinaryHeap::new(),
            pending: VecDeque::new(),
            actions: Vec::new(),
        };
        (driver, handle)
    }

    /// Runs for as long as the proxy does.
    pub async fn run(mut self) {
        loop {
            let next = self
                .timers
                .peek()
                .map(|Reverse((due, _))| self.clock.instant(*due));
            let message = match next {
                None => self.messages.recv().await,
                Some(due) => tokio::select! {
                    biased;
                    message = self.messages.recv() => message,
                    () = sleep_until(due) => {
                        self.fire_timers();
                        continue;
                    }
                },
            };
            let Some(message) = message else { return };
            self.on_message(message);
            // Under a steady stream of messages the timers still have their turn.
            self.fire_timers();
        }
    }

    /// Hands on the timers that are due.
    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((due, what))) = self.timers.peek() {
            if due > now {
                return;
            }
            self.timers.pop();
            match what {
                Timer::Balancer(token) => self.handle_event(now, Event::Timer(token)),
                Timer::LastMoment(request) => self.on_last_moment(now, request),
            }
        }
    }

    /// Rule 1: whatever the balancer is waiting for, the client gets an answer before its time ends.
    fn on_last_moment(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        // Its time counts from its last byte.
        if let Some(progress) = open.call.body.progress() {
            let began = progress.finished_at().map_or(now, |at| self.clock.at(at));
            let mut last = began + open.left.saturating_sub(LAST_MARGIN.min(open.left / 4));
            if let Some(end) = self.lifecycle.ends_at() {
                last = last.min(self.clock.at(end).saturating_sub(SHUTDOWN_MARGIN));
            }
            if last > now {
                return self
                    .timers
                    .push(Reverse((last, Timer::LastMoment(request))));
            }
        }
        open.call.cancel.trigger();
        let Some(client) = open.client.take() else {
            return;
        };
        give_answer(request, client, Answer::Failed);
        self.handle_event(now, Event::ClientDisconnected(request));
        self.remove_if_finished(request);
    }

    fn on_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Request(inbound, client) => self.on_request(now, *inbound, client),
            Message::ClientGone(request) => {
                if let Some(open) = self.open.get_mut(&request)
                    && open.client.take().is_some()
                {
                    request_log::client_left(request);
                    // Rule 1: an attempt that still waits for its connection is not sent for nobody.
                    open.call.cancel.trigger();
                    self.handle_event(now, Event::ClientDisconnected(request));
                    self.remove_if_finished(request);
                }
            }
            Message::Begins(request, attempt, served) => {
                self.on_begins(now, request, attempt, served)
            }
            Message::Ended(request, attempt, result) => {
                self.pending.push_back(Pending::Settled {
                    request,
                    attempt,
                    result,
                });
                self.handle_pending(now);
            }
            Message::Probed(backend, result) => {
                self.pending.push_back(Pending::Probed { backend, result });
                self.handle_pending(now);
            }
            Message::Membership(update) => self.on_membership(now, &update),
            Message::Avoided(asked) => {
                let _ = asked.send(self.balancer.avoided_backends(now));
            }
        }
    }

    fn on_request(&mut self, now: Micros, inbound: Inbound, client: oneshot::Sender<Answer>) {
        request_log::received(&inbound);
        let Inbound {
            mut request,
            arrived,
            call,
        } = inbound;
        let end = arrived.saturating_add(request.timeout);
        let left = end.saturating_sub(now);
        // A client with hardly any time at all is not robbed of what it has.
        request.timeout = left.saturating_sub(ANSWER_MARGIN.min(left / 2));
        let last = now + left.saturating_sub(LAST_MARGIN.min(left / 4));
        let open = OpenRequest {
            call: Rc::new(call),
            client: Some(client),
            left,
            attempts: Vec::new(),
        };
        self.open.insert(request.id, open);
        self.timers
            .push(Reverse((last, Timer::LastMoment(request.id))));
        self.handle_event(now, Event::Request(request));
    }

    /// Updates the sockets and tells the balancer, in this order: an attempt that the update starts has to find its
    /// backend.
    fn on_membership(&mut self, now: Micros, update: &MembershipUpdate) {
        let endpoints = update.endpoints();
        if update.is_complete_list() {
            self.remove_unlisted(endpoints);
        }
        self.update_endpoints(endpoints);
        let backends: Vec<Backend> = endpoints.iter().map(|endpoint| endpoint.backend).collect();
        let event = match update {
            MembershipUpdate::Delta(_) => MembershipEvent::Delta(&backends),
            MembershipUpdate::Full(_) => MembershipEvent::Full(&backends),
            MembershipUpdate::Cached(_) => MembershipEvent::Cached(&backends),
            MembershipUpdate::WatchFailed => MembershipEvent::WatchFailed,
            MembershipUpdate::WatchStalled => MembershipEvent::WatchStalled,
        };
        self.handle_event(now, Event::Membership(event));
    }

    fn remove_unlisted(&self, endpoints: &[Endpoint]) {
        let listed: FxHashSet<BackendId> = endpoints
            .iter()
            .map(|endpoint| endpoint.backend.id)
            .collect();
        self.backends.retain(|id| listed.contains(&id));
    }

    fn update_endpoints(&self, endpoints: &[Endpoint]) {
        for Endpoint { backend, address } in endpoints {
            self.backends
                .update(backend.id, *address, backend.readiness, backend.started_at);
        }
    }

    /// Gives the balancer an event, and then whatever its actions have caused at once.
    fn handle_event(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.execute_actions(now);
        self.handle_pending(now);
    }

    fn handle_pending(&mut self, now: Micros) {
        while let Some(pending) = self.pending.pop_front() {
            match pending {
                Pending::Probed { backend, result } => {
                    let event = Event::HealthChecked {
                        backend,
                        outcome: result.outcome,
                        load_report: &result.load_report,
                    };
                    self.balancer.handle(now, event, &mut self.actions);
                }
                Pending::Settled {
                    request,
                    attempt,
                    result,
                } => self.on_ended(now, request, attempt, result),
            }
            self.execute_actions(now);
        }
    }

    /// How long an attempt took so far; that its request's body was still coming is not its backend's time.
    fn elapsed(&self, now: Micros, open: &OpenRequest, attempt: &Attempt) -> Micros {
        let whole_at = open
            .call
            .body
            .progress()
            .and_then(|progress| progress.finished_at());
        now.saturating_sub(
            whole_at
                .map_or(0, |at| self.clock.at(at))
                .max(attempt.sent_at),
        )
    }

    fn on_begins(&mut self, now: Micros, request: RequestId, number: u16, served: Served) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        // Without a client it is dropped, which ends the attempt.
        let Some(client) = open.client.take() else {
            return;
        };
        give_answer(request, client, Answer::Served(served));
        let open = &self.open[&request];
        let Some(attempt) = open.attempts.get(usize::from(number)) else {
            return;
        };
        let elapsed = self.elapsed(now, open, attempt);
        self.handle_event(
            now,
            Event::ResponseStarted {
                request,
                attempt: number,
                elapsed,
            },
        );
    }

    fn on_ended(&mut self, now: Micros, request: RequestId, number: u16, result: AttemptResult) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else {
            return;
        };
        // Each send settles once.
        if attempt.cancel.take().is_none() {
            return;
        }
        let open = &self.open[&request];
        let attempt = &open.attempts[usize::from(number)];
        let (backend, elapsed) = (attempt.backend, self.elapsed(now, open, attempt));
        request_log::attempt_ended(request, number, backend, elapsed, &result);
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        // The first answer of a backend reaches the client without being asked for, as on the simulator.
        if let Some(served) = result.served
            && let Some(client) = open.client.take()
        {
            give_answer(request, client, Answer::Served(served));
        }
        let closed = open.client.is_none();
        let (outcome, report, spent) = (
            result.outcome,
            result.load_report.as_slice(),
            result.body_consumed,
        );
        let settled = AttemptEnd {
            request,
            backend,
            attempt: number,
            outcome,
            request_answered: closed,
            elapsed,
            load_report: report,
            body_consumed: spent,
        };
        self.balancer
            .handle(now, Event::AttemptEnded(settled), &mut self.actions);
        self.execute_actions(now);
        self.remove_if_finished(request);
    }

    /// Removes a request for which nothing more can come.
    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .open
            .get(&request)
            .is_some_and(OpenRequest::is_finished)
        {
            self.open.remove(&request);
        }
    }

    fn execute_actions(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    request,
                    backend,
                    deadline,
                    write_deadline,
                } => {
                    self.send(now, request, backend, deadline, write_deadline);
                }
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    self.answer(request, Answer::Refused { retry_after });
                }
                Action::Fail { request } => self.answer(request, Answer::Failed),
                Action::Cancel { request, attempt } => self.cancel(request, attempt),
                Action::SetTimer { after, token } => {
                    self.timers
                        .push(Reverse((now.saturating_add(after), Timer::Balancer(token))));
                }
                Action::Subscribe => {
                    let _ = self.subscribe.send(());
                }
                Action::HealthCheck(backend) => self.probe(backend),
                Action::CloseIdleConnections(backend) => self.backends.close_idle(backend),
                Action::Log(line) => tracing::info!("{line}"),
            }
        }
        self.actions = actions;
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(client) = self
            .open
            .get_mut(&request)
            .and_then(|open| open.client.take())
        {
            give_answer(request, client, answer);
            self.remove_if_finished(request);
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        backend: BackendId,
        give_up_at: Micros,
        write_deadline: Option<Micros>,
    ) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let number = open.attempts.len() as u16;
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Attempt {
            backend,
            sent_at: now,
            cancel: Some(cancel),
        });
        request_log::attempt_started(request, number, backend, give_up_at.saturating_sub(now));
        let may_go =
            open.client.is_some() && usize::from(number) < self.max_attempts && give_up_at > now;
        let Some(endpoint) = self.backends.endpoint(backend).filter(|_| may_go) else {
            let result = Outcome::NotSent.into();
            self.pending.push_back(Pending::Settled {
                request,
                attempt: number,
                result,
            });
            return;
        };
        let (backends, call, handle) = (
            Rc::clone(&self.backends),
            Rc::clone(&open.call),
            self.handle.clone(),
        );
        let deadlines = AttemptDeadlines {
            deadline: self.clock.instant(give_up_at),
            write_deadline: write_deadline.map(|at| self.clock.instant(at)),
        };
        tokio::task::spawn_local(async move {
            let begins = |served| handle.tell(Message::Begins(request, number, served));
            let result = backends
                .attempt(endpoint, call, deadlines, cancelled, begins)
                .await;
            handle.tell(Message::Ended(request, number, result));
        });
    }

    fn cancel(&mut self, request: RequestId, attempt: u16) {
        let open = self.open.get_mut(&request);
        if let Some(attempt) = open.and_then(|o| o.attempts.get_mut(usize::from(attempt)))
            && let Some(cancel) = attempt.cancel.take()
        {
            let _ = cancel.send(());
            // It still owes its outcome.
            attempt.cancel = Some(oneshot::channel().0);
        }
    }

    fn probe(&self, backend: BackendId) {
        let Some(endpoint) = self.backends.endpoint(backend) else {
            return;
        };
        let (backends, handle, deep) = (
            Rc::clone(&self.backends),
            self.handle.clone(),
            self.report_by_probe,
        );
        tokio::task::spawn_local(async move {
            let result = backends.health_check(endpoint, deep).await;
            handle.tell(Message::Probed(backend, result));
        });
    }
}

fn give_answer(request: RequestId, client: oneshot::Sender<Answer>, answer: Answer) {
    request_log::answered(request, &answer);
    // A client that has just left needs none.
    let _ = client.send(answer);
}
