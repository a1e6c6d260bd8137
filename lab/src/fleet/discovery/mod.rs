//! The discovery service that all proxies share: its endpoint list, standing watches, and a queue of calls.
//!
//! Calls for the full list and calls that begin a watch are queued and processed one after another; a call that
//! continues a watch is handled at once. What is published goes to every standing watch. The simulation carries
//! calls here and responses back.

mod endpoint_list;
mod messages;

pub use endpoint_list::{ListUpdate, Revision};
pub use messages::{Call, CallId, CallStatus, Response, ResponseBody, Traffic};

use super::ids::ProxyIndex;
use super::scenario::DiscoverySettings;
use crate::units::{MICROS_PER_SECOND, milliseconds};
use endpoint_list::EndpointList;
use std::collections::VecDeque;
use tillerproxy::api::{Backend, Micros};

/// What happens to a standing watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// It waits for changes.
    Waiting,
    /// Its response is queued.
    ResponseQueued,
    /// Nothing is ever answered on it.
    Stalled,
}

/// A standing watch.
#[derive(Clone, Copy, Debug)]
struct Watch {
    call: CallId,
    known_revision: Revision,
    state: WatchState,
}

/// What waits to be processed.
#[derive(Debug)]
enum QueueEntry {
    /// A call.
    Call { call: Call, arrived_at: Micros },
    /// The response to a standing watch.
    Watch(CallId),
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    list: EndpointList,
    /// Changes that it has detected and not published.
    detected: Vec<Backend>,
    /// The standing watch of each proxy.
    watches: Vec<Option<Watch>>,
    queue: VecDeque<QueueEntry>,
    up: bool,
    /// Time to process a queued call, microseconds.
    call_time: f64,
    /// Time to process a queued response to a watch, microseconds; 0: these are sent at once.
    watch_response_time: f64,
    queue_timeout: Micros,
    endpoint_bytes: u64,
    call_bytes: u64,
    /// All calls and responses so far.
    pub traffic: Traffic,
}

impl Discovery {
    /// Creates a discovery that lists `endpoints` as revision 1, for so many proxies.
    #[must_use]
    pub fn new(settings: &DiscoverySettings, endpoints: Vec<Backend>, proxy_count: usize) -> Self {
        let watch_response_time = settings
            .watch_responses_per_s
            .map_or(0.0, |rate| MICROS_PER_SECOND as f64 / rate);
        Self {
            list: EndpointList::new(endpoints, settings.history_limit),
            detected: Vec::new(),
            watches: vec![None; proxy_count],
            queue: VecDeque::new(),
            up: true,
            call_time: MICROS_PER_SECOND as f64 / settings.calls_per_s,
            watch_response_time,
            queue_timeout: milliseconds(settings.queue_timeout_ms),
            endpoint_bytes: u64::from(settings.endpoint_bytes),
            call_bytes: u64::from(settings.call_bytes),
            traffic: Traffic::default(),
        }
    }

    /// Returns the present revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.list.revision()
    }

    /// Returns the endpoints as published, removed ones included.
    #[must_use]
    pub fn endpoints(&self) -> &[Backend] {
        self.list.endpoints()
    }

    /// Returns the time that the next entry of the queue takes to process.
    #[must_use]
    pub fn next_processing_time(&self) -> Option<Micros> {
        let time = match self.queue.front()? {
            QueueEntry::Call { .. } => self.call_time,
            QueueEntry::Watch(_) => self.watch_response_time,
        };
        Some(time as Micros)
    }

    /// Receives a call, which ends the proxy's earlier watch.
    pub fn receive(&mut self, now: Micros, call: Call) -> CallStatus {
        self.traffic.calls += 1;
        self.traffic.bytes += self.call_bytes;
        self.watches[call.id.proxy.index()] = None;
        if !self.up {
            return CallStatus::Answered(self.failure(call.id));
        }
        match call.known_revision {
            Some(revision) if call.continues_watch => self.watch(call, revision),
            _ => {
                self.queue.push_back(QueueEntry::Call {
                    call,
                    arrived_at: now,
                });
                CallStatus::Queued
            }
        }
    }

    /// Answers a call with what changed since a revision, or lets it stand where nothing did.
    fn watch(&mut self, call: Call, known_revision: Revision) -> CallStatus {
        if known_revision != self.revision() {
            return CallStatus::Answered(self.update(call.id, Some(known_revision)));
        }
        self.watches[call.id.proxy.index()] = Some(Watch {
            call: call.id,
            known_revision,
            state: WatchState::Waiting,
        });
        CallStatus::Standing {
            call: call.id,
            wait: call.wait,
        }
    }

    /// Processes the next entry of the queue; `None` where there is none or its watch has ended.
    pub fn process_next(&mut self, now: Micros) -> Option<CallStatus> {
        match self.queue.pop_front()? {
            QueueEntry::Watch(call) => self.answer_watch(call).map(CallStatus::Answered),
            QueueEntry::Call { call, arrived_at } => Some(self.process_call(now, call, arrived_at)),
        }
    }

    fn process_call(&mut self, now: Micros, call: Call, arrived_at: Micros) -> CallStatus {
        if now > arrived_at + self.queue_timeout {
            return CallStatus::Answered(self.failure(call.id));
        }
        match call.known_revision {
            None => CallStatus::Answered(self.update(call.id, None)),
            Some(revision) => self.watch(call, revision),
        }
    }

    /// Ends a watch whose wait is over, without endpoints if nothing changed; `None` if it has ended before.
    pub fn expire_watch(&mut self, call: CallId) -> Option<Response> {
        self.answer_watch(call)
    }

    /// Answers a standing watch with what changed since its revision.
    fn answer_watch(&mut self, call: CallId) -> Option<Response> {
        let watch = &mut self.watches[call.proxy.index()];
        let answerable =
            watch.filter(|watch| watch.call == call && watch.state != WatchState::Stalled)?;
        *watch = None;
        Some(self.update(call, Some(answerable.known_revision)))
    }

    fn failure(&mut self, call: CallId) -> Response {
        self.traffic.failures += 1;
        self.traffic.bytes += self.call_bytes;
        Response {
            call,
            body: ResponseBody::Failed,
        }
    }

    /// Answers a call with what changed since a revision, or with the full list.
    fn update(&mut self, call: CallId, known_revision: Option<Revision>) -> Response {
        let update = self.list.since(known_revision);
        let endpoints = update.endpoints.len() as u64;
        self.traffic.full_lists += u64::from(update.complete);
        self.traffic.endpoints += endpoints;
        self.traffic.bytes += self.call_bytes + self.endpoint_bytes * endpoints;
        Response {
            call,
            body: ResponseBody::List(update),
        }
    }

    /// Detects a change; returns whether it is the first one that is not published.
    pub fn detect(&mut self, backend: Backend) -> bool {
        self.detected.push(backend);
        self.detected.len() == 1
    }

    /// Publishes what it has detected. Returns the responses to the standing watches; where these take time they
    /// are queued instead.
    pub fn publish(&mut self) -> Vec<Response> {
        self.list.publish(std::mem::take(&mut self.detected));
        if !self.up {
            return Vec::new();
        }
        if self.watch_response_time > 0.0 {
            self.queue_watch_responses();
            return Vec::new();
        }
        self.standing_calls()
            .into_iter()
            .filter_map(|call| self.answer_watch(call))
            .collect()
    }

    /// Queues the responses of all standing watches, once each.
    fn queue_watch_responses(&mut self) {
        for watch in self.watches.iter_mut().flatten() {
            if watch.state == WatchState::Waiting {
                watch.state = WatchState::ResponseQueued;
                self.queue.push_back(QueueEntry::Watch(watch.call));
            }
        }
    }

    fn standing_calls(&self) -> Vec<CallId> {
        self.watches
            .iter()
            .flatten()
            .map(|watch| watch.call)
            .collect()
    }

    /// Stops the service: watches end and queued calls fail. Returns the responses.
    pub fn stop(&mut self) -> Vec<Response> {
        self.up = false;
        let mut ended = Vec::new();
        for entry in self.queue.drain(..) {
            if let QueueEntry::Call { call, .. } = entry {
                ended.push(call.id);
            }
        }
        ended.extend(self.standing_calls());
        self.watches.fill(None);
        ended.into_iter().map(|call| self.failure(call)).collect()
    }

    /// Starts the service again.
    pub fn start(&mut self) {
        self.up = true;
    }

    /// Stalls a proxy's watch: nothing is answered on it any more.
    pub fn stall_watch(&mut self, proxy: ProxyIndex) {
        if let Some(watch) = &mut self.watches[proxy.index()] {
            watch.state = WatchState::Stalled;
        }
    }
}
