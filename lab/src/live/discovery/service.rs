//! One discovery service: its endpoint list, its availability, and its responses.

use super::call_queue::CallQueue;
use super::endpoint_list::{Endpoint, EndpointList};
use super::list_query::ListQuery;
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

/// A watch that follows the last response on its connection within this time continues the one before.
const CONTINUATION_WINDOW: Duration = Duration::from_millis(200);
/// Path of the endpoint list.
const LIST_PATH: &str = "/discovery/hosts";

/// Whether a service answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It answers.
    Up,
    /// It has an outage.
    Down(OutageBehavior),
    /// It has been replaced: it accepts no new connection and answers on the open ones.
    Draining,
    /// It has been replaced, and every connection ends.
    Closed,
}

/// The caller at a listener.
#[derive(Clone, Debug)]
pub enum Caller {
    /// A real process.
    Real {
        /// Its index, also in the propagation tracker.
        process: usize,
        /// Its traffic with discovery.
        traffic: Arc<TrafficCounters>,
    },
    /// Any simulated proxy; they count their own traffic.
    Simulated,
}

/// One service.
#[derive(Debug)]
pub struct Service {
    list: Mutex<EndpointList>,
    revision: watch::Sender<u64>,
    availability: watch::Sender<Availability>,
    /// `None` where the rate of calls is not limited.
    call_queue: Option<CallQueue>,
    tracker: Arc<PropagationTracker>,
}

/// What a service remembers of one connection.
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

    /// Returns whether a watch that comes now continues the one before.
    fn is_continuation(&self) -> bool {
        let last = self
            .last_response_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.is_some_and(|at| at.elapsed() <= CONTINUATION_WINDOW)
    }
}

impl Service {
    /// Makes a service that is up and has no listener.
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

    /// Changes the endpoints at `indices` in one revision, as a change that was made at `made_at`.
    pub fn change(&self, indices: &[usize], change: impl FnMut(&mut Endpoint), made_at: Instant) {
        let mut list = self.endpoint_list();
        let revision = list.change(indices, change);
        // Under the lock: no response may carry the revision before the tracker has it.
        self.tracker.record_change(revision, made_at);
        drop(list);
        self.revision.send_replace(revision);
    }

    /// Sets whether it answers.
    pub fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Follows its availability.
    pub(super) fn availability(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    /// Answers one call.
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

    /// Records the call of a real process. It has the revision that it asks for changes after.
    fn record_call(&self, query: ListQuery, caller: &Caller) {
        if let Caller::Real { process, traffic } = caller {
            traffic.record_call();
            if let Some(revision) = query.after {
                self.tracker.record_revision(*process, revision);
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
            // A watch without a change is answered at its end with an empty delta.
            let _ = timeout(query.wait, revision.wait_for(|&now| now != after)).await;
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
