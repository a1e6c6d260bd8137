//! The driver: owns the [`Balancer`], passes events to it with the time of one clock, and executes its actions.
//!
//! All other tasks of the proxy send it messages through a [`DriverHandle`].
//!
//! | module | job |
//! | --- | --- |
//! | `requests` | the table of pending requests and their attempts |
//! | `timers` | timers of the balancer and of final answers |
//! | `margins` | the time between an answer and the client's timeout or the end of the process |
//! | `request_events` | a request arrives, its final answer is due, its client disconnects |
//! | `attempts` | attempts and health checks, from their start to their outcome |
//! | `membership` | membership updates from discovery |
//! | `actions` | execution of the balancer's actions |

mod actions;
mod attempts;
mod margins;
mod membership;
mod request_events;
mod requests;
mod timers;

use super::backends::BackendClient;
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
use tokio::time::{Instant, sleep_until};

/// The settings that the driver applies itself, without the balancer.
#[derive(Clone, Copy, Debug)]
pub struct DriverSettings {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u16,
    /// Whether only responses to health checks carry a load report.
    pub load_report_by_health_check: bool,
}

/// Owns the balancer, passes events to it and executes its actions.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    settings: DriverSettings,
    backend_client: Rc<BackendClient>,
    lifecycle: Rc<Lifecycle>,
    handle: DriverHandle,
    messages: mpsc::UnboundedReceiver<Message>,
    /// Sends requests for a watch to the discovery watcher. There is a receiver only if discovery is polled.
    watch_requests: mpsc::UnboundedSender<()>,
    requests: PendingRequests,
    timers: DriverTimers,
    /// Attempts and health checks that have ended and of which the balancer has not been notified yet.
    completions: VecDeque<Completion>,
    /// Actions of the balancer that have not been executed yet. It is empty between events.
    actions: Vec<Action>,
}

impl Driver {
    /// Creates a driver without requests, and the handle through which other tasks send it messages.
    ///
    /// The driver sends `watch_requests` a value whenever the balancer wants a watch on discovery to be opened.
    #[must_use]
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        backend_client: Rc<BackendClient>,
        settings: DriverSettings,
        watch_requests: mpsc::UnboundedSender<()>,
        lifecycle: Rc<Lifecycle>,
    ) -> (Self, DriverHandle) {
        let (handle, messages) = DriverHandle::channel();
        let driver = Self {
            balancer,
            clock,
            settings,
            backend_client,
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

    /// Handles messages and timers until all handles are dropped. The driver holds a handle itself, so it runs until
    /// the process ends.
    pub async fn run(mut self) {
        let mut stages = self.lifecycle.subscribe();
        loop {
            let next_due = self.timers.next_due().map(|due| self.clock.to_instant(due));
            let message = tokio::select! {
                biased;
                message = self.messages.recv() => message,
                () = sleep_until(next_due.unwrap_or_else(Instant::now)), if next_due.is_some() => {
                    self.fire_timers();
                    continue;
                }
                Ok(()) = stages.changed() => {
                    self.on_stage_changed();
                    continue;
                }
            };
            let Some(message) = message else {
                return;
            };
            self.on_message(message);
            // A steady stream of messages must not delay timers that are due.
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
            Message::UploadProgress {
                request,
                attempt,
                is_stalled,
            } => {
                let event = Event::UploadProgress {
                    request,
                    attempt,
                    is_stalled,
                };
                self.handle_event(now, event);
            }
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
                let _ = reply.send(self.balancer.avoided_backend_count(now));
            }
        }
    }

    /// Passes an event to the balancer, executes its actions, and then handles the attempts that ended during their
    /// execution.
    fn handle_event(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.execute_actions(now);
        self.handle_completions(now);
    }
}
