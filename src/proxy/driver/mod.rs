//! The driver: owns the [`Balancer`], gives it events on one clock and executes its actions.
//!
//! All other tasks of the proxy talk to it through a [`DriverHandle`].
//!
//! | module | job |
//! | --- | --- |
//! | `requests` | the table of pending requests and their attempts |
//! | `timers`, `margins` | timers; how long before a client's timeout a request has to be decided |
//! | `request_events` | a request arrives, its final answer is due, its client disconnects |
//! | `attempts` | attempts and health checks, from their start to their outcome |
//! | `membership` | changes of the endpoint list |
//! | `actions` | what the balancer wants done |

mod actions;
mod attempts;
mod margins;
mod membership;
mod request_events;
mod requests;
mod timers;

use super::backends::Backends;
use super::clock::Clock;
use super::lifecycle::Lifecycle;
use super::messages::{DriverHandle, Message};
use crate::api::{Action, Event, Micros};
use crate::balancer::Balancer;
use attempts::Completion;
use requests::PendingRequests;
use std::collections::VecDeque;
use std::rc::Rc;
use timers::{DriverTimer, DriverTimers};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

/// Settings that the driver itself applies.
#[derive(Clone, Copy, Debug)]
pub struct DriverSettings {
    /// The most attempts for one request, the first included.
    pub max_attempts: u16,
    /// Whether load reports come with health checks alone.
    pub load_report_by_health_check: bool,
}

/// Owns the balancer and carries out its decisions.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    settings: DriverSettings,
    backends: Rc<Backends>,
    lifecycle: Rc<Lifecycle>,
    handle: DriverHandle,
    messages: mpsc::UnboundedReceiver<Message>,
    /// Tells the discovery watcher to open a watch. Nothing receives it unless discovery is polled.
    watch_requests: mpsc::UnboundedSender<()>,
    requests: PendingRequests,
    timers: DriverTimers,
    /// Attempts and health checks that ended, and that the balancer was not notified of yet.
    completions: VecDeque<Completion>,
    /// Actions of the balancer that are not executed yet; empty between events.
    actions: Vec<Action>,
}

impl Driver {
    /// Creates a driver with no requests, and the handle that other tasks send messages with.
    /// `watch_requests` is sent a value whenever the balancer wants a watch to be opened on discovery.
    #[must_use]
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        backends: Rc<Backends>,
        settings: DriverSettings,
        watch_requests: mpsc::UnboundedSender<()>,
        lifecycle: Rc<Lifecycle>,
    ) -> (Self, DriverHandle) {
        let (handle, messages) = DriverHandle::channel();
        let driver = Self {
            balancer,
            clock,
            settings,
            backends,
            lifecycle,
            handle: handle.clone(),
            messages,
            watch_requests,
            requests: PendingRequests::default(),
            timers: DriverTimers::default(),
            completions: VecDeque::new(),
            actions: Vec::new(),
        };
        (driver, handle)
    }

    /// Runs for as long as the proxy does.
    pub async fn run(mut self) {
        loop {
            let next_due = self.timers.next_due().map(|due| self.clock.instant(due));
            let message = match next_due {
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
            let Some(message) = message else {
                return;
            };
            self.on_message(message);
            // Timers that are due must not wait for a pause in the messages.
            self.fire_timers();
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                DriverTimer::Balancer(token) => self.handle_event(now, Event::Timer(token)),
                DriverTimer::FinalAnswer(request) => self.on_final_answer_due(now, request),
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Request { inbound, client } => self.on_request(now, *inbound, client),
            Message::ClientDisconnected(request) => self.on_client_disconnected(now, request),
            Message::ResponseStarted {
                request,
                attempt,
                response,
            } => self.on_response_started(now, request, attempt, response),
            Message::AttemptEnded {
                request,
                attempt,
                result,
            } => {
                let completion = Completion::Attempt {
                    request,
                    attempt,
                    result,
                };
                self.on_completion(now, completion);
            }
            Message::HealthChecked { backend, result } => {
                self.on_completion(now, Completion::HealthCheck { backend, result });
            }
            Message::Membership(update) => self.on_membership(now, &update),
            Message::CountAvoidedBackends(reply) => {
                let _ = reply.send(self.balancer.avoided_backends(now));
            }
        }
    }

    /// Gives the balancer an event, executes its actions, and handles what they completed at once.
    fn handle_event(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.execute_actions(now);
        self.handle_completions(now);
    }
}
