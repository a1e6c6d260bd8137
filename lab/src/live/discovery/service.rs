//! A discovery service: endpoint list, availability and responses.

use super::call_queue::CallQueue;
use super::endpoint_list::EndpointList;
use super::list_query::ListQuery;
use crate::endpoint_list::Endpoint;
use crate::live::propagation::PropagationTracker;
use crate::live::scenario::OutageBehavior;
use crate::live::traffic::TrafficCounters;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::timeout;

/// Time after a response within which a watch on the same connection counts as a continuation.
const CONTINUATION_WINDOW: Duration = Duration::from_millis(200);
/// URL path of the endpoint list.
const LIST_PATH: &str = "/discovery/hosts";

/// State of a service, which determines whether it accepts connections and answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The service answers calls.
    Up,
    /// The service has an outage with this behavior.
    Down(OutageBehavior),
    /// The service has been replaced: it accepts no new connections and answers calls on the open ones.
    Draining,
    /// The service has been replaced and closes every connection.
    Closed,
}

/// Kind of the callers at a listener.
#[derive(Clone, Debug)]
pub enum Caller {
    /// A real process.
    Real {
        /// Index of the proxy, under which the propagation tracker records its revisions.
        proxy_index: usize,
        /// Traffic between the process and discovery.
        traffic: Arc<TrafficCounters>,
    },
    /// Any simulated proxy. Simulated proxies count their own traffic and record their own revisions.
    Simulated,
}

/// A discovery service.
#[derive(Debug)]
pub struct Service {
    list: Mutex<EndpointList>,
    revision: watch::Sender<u64>,
    availability: watch::Sender<Availability>,
    /// Queue that limits the rate of calls; `None` if the rate is not limited.
    call_queue: Option<CallQueue>,
    tracker: Arc<PropagationTracker>,
}

/// State of one connection to a service.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    last_response_at: Mutex<Option<Instant>>,
}

impl ConnectionState {
    fn record_response(&self) {
        let mut last = self
            .last_response_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last = Some(Instant::now());
    }

    /// Reports whether a watch that arrives now continues the previous one.
    fn is_continuation(&self) -> bool {
        let last = self
            .last_response_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.is_some_and(|at| at.elapsed() <= CONTINUATION_WINDOW)
    }
}

impl Service {
    /// Creates a service that is up and has no listener.
    #[must_use]
    pub fn new(
        list: EndpointList,
        call_queue: Option<CallQueue>,
        tracker: Arc<PropagationTracker>,
    ) -> Arc<Self> {
        let revision = watch::Sender::new(list.revision());
        let availability = watch::Sender::new(Availability::Up);
        Arc::new(Self {
            list: Mutex::new(list),
            revision,
            availability,
            call_queue,
            tracker,
        })
    }

    /// Locks and returns the endpoint list.
    pub fn endpoint_list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the endpoints at `indices` in one revision and notifies the watches. The propagation of the change is
    /// measured from `made_at`.
    pub fn change(&self, indices: &[usize], change: impl FnMut(&mut Endpoint), made_at: Instant) {
        let mut list = self.endpoint_list();
        let revision = list.change(indices, change);
        // Recorded under the lock, because no response may carry the revision before the tracker knows it.
        self.tracker.record_change(revision, made_at);
        drop(list);
        self.revision.send_replace(revision);
    }

    /// Sets the availability of the service.
    pub fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Subscribes to changes of the availability.
    pub(super) fn availability(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    /// Responds to one call; with 503 as soon as an outage begins.
    pub(super) async fn respond(
        &self,
        request: &Request<Incoming>,
        caller: &Caller,
        connection: &ConnectionState,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() != LIST_PATH {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let query = ListQuery::parse(request.uri().query().unwrap_or_default());
        self.record_call(query, caller);
        let mut availability = self.availability.subscribe();
        let outage = availability.wait_for(|now| matches!(now, Availability::Down(_)));
        let response = tokio::select! {
            _ = outage => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            response = self.list_response(query, connection) => response,
        };
        if response.status() == StatusCode::OK {
            connection.record_response();
        }
        response
    }

    /// Records the call of a real process, and that the process has the revision after which it asks for changes.
    fn record_call(&self, query: ListQuery, caller: &Caller) {
        if let Caller::Real {
            proxy_index,
            traffic,
        } = caller
        {
            traffic.record_call();
            if let Some(revision) = query.after {
                self.tracker.record_revision(*proxy_index, revision);
            }
        }
    }

    async fn list_response(
        &self,
        query: ListQuery,
        connection: &ConnectionState,
    ) -> Response<Full<Bytes>> {
        let continues_watch = query.after.is_some() && connection.is_continuation();
        if !continues_watch
            && let Some(call_queue) = &self.call_queue
            && call_queue.wait().await.is_err()
        {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(after) = query.after {
            let mut revision = self.revision.subscribe();
            // A watch that times out without a change is answered with an empty delta.
            let _ = timeout(query.wait, revision.wait_for(|&current| current != after)).await;
        }
        match self.endpoint_list().response_body(query.after) {
            Ok(body) => json_response(body),
            Err(error) => {
                tracing::error!(%error, "endpoint list cannot be serialized");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn json_response(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
