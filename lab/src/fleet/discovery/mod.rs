//! The discovery service that all proxies share: an endpoint list, standing watches, and a queue of calls.
//! A standing watch is a call that waits at discovery for the next change (a pending long poll).
//!
//! Calls for the full list and calls that begin a watch are queued and processed one after another. A call that
//! continues a watch is handled at once. Each publication is sent to every standing watch. The simulation delivers
//! calls to this service and responses to the proxies.

mod endpoint_list;
mod messages;

pub use endpoint_list::{ListUpdate, Revision};
pub use messages::{Call, CallId, CallStatus, Response, ResponseBody, Traffic};

use super::ids::ProxyIndex;
use super::scenario::DiscoverySettings;
use crate::units::{MICROS_PER_SECOND, micros_from_milliseconds};
use endpoint_list::EndpointList;
use std::collections::VecDeque;
use tillerproxy::api::{Backend, Micros};

/// State of a standing watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// The watch waits for changes.
    Waiting,
    /// The response to the watch is queued.
    ResponseQueued,
    /// The watch is never answered.
    Stalled,
}

/// A standing watch: a call of a proxy that waits for the next change.
#[derive(Clone, Copy, Debug)]
struct Watch {
    call: CallId,
    known_revision: Revision,
    state: WatchState,
}

/// An entry of the queue.
#[derive(Debug)]
enum QueueEntry {
    /// A call, with the time at which it was queued.
    Call { call: Call, arrived_at: Micros },
    /// The response to a standing watch.
    Watch(CallId),
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    list: EndpointList,
    /// Changed endpoints that are detected and not yet published.
    detected: Vec<Backend>,
    /// Standing watch of each proxy, by proxy index.
    watches: Vec<Option<Watch>>,
    queue: VecDeque<QueueEntry>,
    /// Whether the service is up.
    up: bool,
    /// Time to process a queued call, microseconds.
    call_time: f64,
    /// Time to process a queued response to a watch, microseconds; 0 if such responses are not queued but sent at once.
    watch_response_time: f64,
    /// Time in the queue after which a call fails.
    queue_timeout: Micros,
    /// Size of an endpoint in a response.
    endpoint_bytes: u64,
    /// Size of a call, and of a response without endpoints.
    call_bytes: u64,
    /// Totals of all calls and responses so far.
    pub traffic: Traffic,
}

impl Discovery {
    /// Creates a running service that publishes `endpoints` as revision 1 to `proxy_count` proxies.
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
            queue_timeout: micros_from_milliseconds(settings.queue_timeout_ms),
            endpoint_bytes: u64::from(settings.endpoint_bytes),
            call_bytes: u64::from(settings.call_bytes),
            traffic: Traffic::default(),
        }
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.list.revision()
    }

    /// Returns the published endpoints by backend id, including removed ones.
    #[must_use]
    pub fn endpoints(&self) -> &[Backend] {
        self.list.endpoints()
    }

    /// Returns the time to process the next entry of the queue; `None` if the queue is empty.
    #[must_use]
    pub fn next_processing_time(&self) -> Option<Micros> {
        let time = match self.queue.front()? {
            QueueEntry::Call { .. } => self.call_time,
            QueueEntry::Watch(_) => self.watch_response_time,
        };
        Some(time as Micros)
    }

    /// Receives a call, which ends the earlier watch of its proxy.
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

    /// Answers a call with the changes since a revision, or holds the call as a standing watch if nothing changed.
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

    /// Processes the next entry of the queue; `None` if the queue is empty or the watch of the entry has ended.
    pub fn process_next(&mut self, now: Micros) -> Option<CallStatus> {
        match self.queue.pop_front()? {
            QueueEntry::Watch(call) => self.answer_watch(call).map(CallStatus::Answered),
            QueueEntry::Call { call, arrived_at } => Some(self.process_call(now, call, arrived_at)),
        }
    }

    /// Processes a queued call, which fails if it was queued for too long.
    fn process_call(&mut self, now: Micros, call: Call, arrived_at: Micros) -> CallStatus {
        if now > arrived_at + self.queue_timeout {
            return CallStatus::Answered(self.failure(call.id));
        }
        match call.known_revision {
            None => CallStatus::Answered(self.update(call.id, None)),
            Some(revision) => self.watch(call, revision),
        }
    }

    /// Ends a watch whose wait is over. The response has no endpoints if nothing changed; `None` if the watch has
    /// already ended or is stalled.
    pub fn expire_watch(&mut self, call: CallId) -> Option<Response> {
        self.answer_watch(call)
    }

    /// Answers a standing watch with the changes since its revision; `None` if the watch has ended or is stalled.
    fn answer_watch(&mut self, call: CallId) -> Option<Response> {
        let watch = &mut self.watches[call.proxy.index()];
        let answerable =
            watch.filter(|watch| watch.call == call && watch.state != WatchState::Stalled)?;
        *watch = None;
        Some(self.update(call, Some(answerable.known_revision)))
    }

    /// Creates the response to a call that fails.
    fn failure(&mut self, call: CallId) -> Response {
        self.traffic.failures += 1;
        self.traffic.bytes += self.call_bytes;
        Response {
            call,
            body: ResponseBody::Failed,
        }
    }

    /// Creates the response to a call: the changes since a revision, or the full list.
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

    /// Detects a change and returns whether it is the only unpublished one.
    pub fn detect(&mut self, backend: Backend) -> bool {
        self.detected.push(backend);
        self.detected.len() == 1
    }

    /// Publishes the detected changes and returns the responses to the standing watches. If responses take time to
    /// process, they are queued and none is returned.
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

    /// Queues one response for each standing watch that has none queued.
    fn queue_watch_responses(&mut self) {
        for watch in self.watches.iter_mut().flatten() {
            if watch.state == WatchState::Waiting {
                watch.state = WatchState::ResponseQueued;
                self.queue.push_back(QueueEntry::Watch(watch.call));
            }
        }
    }

    /// Returns the calls of all standing watches.
    fn standing_calls(&self) -> Vec<CallId> {
        self.watches
            .iter()
            .flatten()
            .map(|watch| watch.call)
            .collect()
    }

    /// Stops the service: standing watches and queued calls fail. Returns their responses.
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

    /// Stalls the standing watch of a proxy: the watch is never answered.
    pub fn stall_watch(&mut self, proxy: ProxyIndex) {
        if let Some(watch) = &mut self.watches[proxy.index()] {
            watch.state = WatchState::Stalled;
        }
    }
}
