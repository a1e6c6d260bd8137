//! Messages to the driver and its answers: the types that the tasks of the proxy share.

use super::backends::{AttemptResult, Call, Served};
use crate::api::{Backend, BackendId, Micros, Request, RequestId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A backend as discovery lists it. The sockets to it are [`backends::Endpoint`](super::backends::Endpoint).
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// The backend in the terms of the decisions.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A change of the endpoint list, or of the watch that reports it.
#[derive(Debug)]
pub enum MembershipUpdate {
    /// Endpoints that changed.
    Delta(Vec<ListedEndpoint>),
    /// The complete list.
    Full(Vec<ListedEndpoint>),
    /// The list as the configuration holds it, perhaps out of date. It is taken to be complete.
    Cached(Vec<ListedEndpoint>),
    /// A call to discovery failed.
    WatchFailed,
    /// A call to discovery was not answered in time.
    WatchStalled,
}

impl MembershipUpdate {
    /// Returns the endpoints that the update has; none where it is about the watch.
    #[must_use]
    pub fn endpoints(&self) -> &[ListedEndpoint] {
        match self {
            Self::Delta(endpoints) | Self::Full(endpoints) | Self::Cached(endpoints) => endpoints,
            Self::WatchFailed | Self::WatchStalled => &[],
        }
    }

    /// Whether backends that the update lacks are removed.
    #[must_use]
    pub fn is_complete_list(&self) -> bool {
        matches!(self, Self::Full(_) | Self::Cached(_))
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A backend's response.
    Served(Served),
    /// Rejected: a retry by the client is harmless. An idempotent request may have run all the same.
    Rejected {
        /// How long the client should wait before it retries; 0: not said.
        retry_after: Micros,
    },
    /// Failed; the request may have run.
    Failed,
}

/// A request as a client sent it.
#[derive(Debug)]
pub struct InboundRequest {
    /// The request in the terms of the decisions. Its timeout counts from its arrival.
    pub request: Request,
    /// When it arrived.
    pub arrived: Micros,
    /// What is sent to a backend.
    pub call: Call,
}

/// A message to the driver.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    Request {
        /// As the client sent it; boxed because the other messages are small.
        inbound: Box<InboundRequest>,
        /// Receives its final answer.
        client: oneshot::Sender<Answer>,
    },
    /// A client disconnected before it had its answer.
    ClientDisconnected(RequestId),
    /// A streamed response began.
    ResponseStarted {
        /// The request whose attempt has it.
        request: RequestId,
        /// The attempt's number within the request, from 0 on.
        attempt: u16,
        /// Its body goes on while the client takes it.
        response: Served,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request, from 0 on.
        attempt: u16,
        /// Its outcome, and its response unless that was streamed.
        result: AttemptResult,
    },
    /// A health check ended.
    HealthChecked {
        /// The backend that was checked.
        backend: BackendId,
        /// Its outcome, and the load report if one came.
        result: AttemptResult,
    },
    /// The endpoint list changed, or the watch on it did.
    Membership(MembershipUpdate),
    /// Asks how many listed backends the balancer avoids now.
    CountAvoidedBackends(oneshot::Sender<usize>),
}

/// Sends messages to the driver. Clones send to the same driver.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    messages: mpsc::UnboundedSender<Message>,
    next_request_id: Rc<Cell<RequestId>>,
}

impl DriverHandle {
    /// Creates a handle, and the receiver of what it and its clones send.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            messages: sender,
            next_request_id: Rc::new(Cell::new(1)),
        };
        (handle, receiver)
    }

    /// Sends a message. It is lost if the driver has ended, which ends the process.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Returns the id of a new request.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_request_id.get();
        self.next_request_id.set(id.wrapping_add(1));
        id
    }
}
