//! The messages that other tasks of the proxy send to the driver, and the answers that the driver sends back.

use super::backends::{AttemptResult, Call, ServedResponse};
use crate::api::{Backend, BackendId, Micros, Request, RequestId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// An entry of the endpoint list: a backend and its address.
/// [`BackendConnections`](super::backends::BackendConnections) holds the connections to the backend.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The backend as the balancer knows it.
    pub backend: Backend,
    /// The address on which the backend listens.
    pub address: SocketAddr,
}

/// A change of the endpoint list, or of the state of the watch that reports it.
#[derive(Debug)]
pub enum MembershipUpdate {
    /// The endpoints that changed.
    Delta(Vec<Endpoint>),
    /// The complete list.
    Full(Vec<Endpoint>),
    /// The list that the configuration caches, which may be out of date. It is treated as complete.
    Cached(Vec<Endpoint>),
    /// A call to discovery failed.
    WatchFailed,
    /// A call to discovery was not answered in time.
    WatchStalled,
}

impl MembershipUpdate {
    /// Returns the endpoints of the update. An update about the watch has none.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        match self {
            Self::Delta(endpoints) | Self::Full(endpoints) | Self::Cached(endpoints) => endpoints,
            Self::WatchFailed | Self::WatchStalled => &[],
        }
    }

    /// Returns whether backends that the update does not name are to be removed.
    #[must_use]
    pub fn is_complete_list(&self) -> bool {
        matches!(self, Self::Full(_) | Self::Cached(_))
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A backend served the request with this response.
    Served(ServedResponse),
    /// The request was rejected, and a retry by the client is harmless. An idempotent request may have been executed.
    Rejected {
        /// The time for which the client should wait before it retries; 0 if none is stated.
        retry_after: Micros,
    },
    /// The request failed, and may have been executed.
    Failed,
}

/// A request that was received from a client.
#[derive(Debug)]
pub struct InboundRequest {
    /// The description of the request for the balancer. The timeout in it counts from `arrived`.
    pub request: Request,
    /// The time at which the request arrived, on the proxy's clock.
    pub arrived: Micros,
    /// The call to send to a backend.
    pub call: Call,
}

/// A message to the driver.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    Request {
        /// The request; boxed because the other messages are small.
        inbound: Box<InboundRequest>,
        /// Receives the final answer.
        client: oneshot::Sender<Answer>,
    },
    /// A client disconnected before its request was answered.
    ClientDisconnected(RequestId),
    /// A streamed response began.
    ResponseStarted {
        /// The request whose attempt received the response.
        request: RequestId,
        /// The number of the attempt within the request, counted from 0.
        attempt: u16,
        /// The response. Its body is still being streamed.
        response: ServedResponse,
    },
    /// The client paused in the middle of a streamed body, or continues to send it.
    UploadProgress {
        /// The request whose body is being sent.
        request: RequestId,
        /// The number of the attempt within the request, counted from 0.
        attempt: u16,
        /// Whether the client has paused.
        is_stalled: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt within the request, counted from 0.
        attempt: u16,
        /// The outcome of the attempt, and its response unless the response was streamed.
        result: AttemptResult,
    },
    /// A health check ended.
    HealthChecked {
        /// The backend that was checked.
        backend: BackendId,
        /// The outcome of the health check, and the load report if the response had one.
        result: AttemptResult,
    },
    /// The endpoint list or the state of its watch changed.
    Membership(MembershipUpdate),
    /// Requests the number of listed backends that the balancer avoids, because they are draining, ejected,
    /// unresponsive or without capacity after a rejection
    /// ([`Balancer::avoided_backend_count`](crate::balancer::Balancer::avoided_backend_count)).
    CountAvoidedBackends(oneshot::Sender<usize>),
}

/// Sends messages to the driver. Clones send to the same driver.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    messages: mpsc::UnboundedSender<Message>,
    next_request_id: Rc<Cell<RequestId>>,
}

impl DriverHandle {
    /// Creates a handle and the receiver of the messages that the handle and its clones send.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            messages: sender,
            next_request_id: Rc::new(Cell::new(RequestId(1))),
        };
        (handle, receiver)
    }

    /// Sends a message to the driver. If the driver has ended, the message is lost, and the process ends too.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Allocates the id of a new request.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_request_id.get();
        self.next_request_id.set(RequestId(id.0.wrapping_add(1)));
        id
    }
}
