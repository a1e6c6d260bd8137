//! What the driver is told, and what it answers: the types that the tasks of the proxy share.

use super::backends::{AttemptResult, Call, Served};
use crate::api::{Backend, BackendId, Micros, Request, RequestId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A backend as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The backend in the terms of the decisions.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A change of the endpoint list, or of the watch that reports it.
#[derive(Debug)]
pub enum MembershipUpdate {
    /// Endpoints that changed.
    Delta(Vec<Endpoint>),
    /// The complete list.
    Full(Vec<Endpoint>),
    /// The complete list as the configuration holds it, perhaps out of date.
    Cached(Vec<Endpoint>),
    /// A call to discovery failed.
    WatchFailed,
    /// A call to discovery was not answered in time.
    WatchStalled,
}

impl MembershipUpdate {
    /// Returns the endpoints that the update has; none where it is about the watch.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
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
    /// A backend's answer.
    Served(Served),
    /// Turned away; trying again is harmless.
    Refused {
        /// How long the client should stay away; 0: no word.
        retry_after: Micros,
    },
    /// Failed, with no promise of its effect.
    Failed,
}

/// A request as a client sent it.
#[derive(Debug)]
pub struct Inbound {
    /// What the balancer is told of it. Its patience still counts in full.
    pub request: Request,
    /// When it came.
    pub arrived: Micros,
    /// What goes to a backend.
    pub call: Call,
}

/// What the driver is told.
#[derive(Debug)]
pub enum Message {
    /// A request came in.
    Request(Box<Inbound>, oneshot::Sender<Answer>),
    /// Its client has left.
    ClientGone(RequestId),
    /// The answer to an attempt begins and flows through.
    Begins(RequestId, u16, Served),
    /// An attempt ended.
    Ended(RequestId, u16, AttemptResult),
    /// A probe ended.
    Probed(BackendId, AttemptResult),
    /// The endpoint list changed, or the watch on it did.
    Membership(MembershipUpdate),
    /// Somebody asks how many of the listed backends the balancer avoids.
    Avoided(oneshot::Sender<usize>),
}

/// The way to the driver.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    next_id: Rc<Cell<RequestId>>,
}

impl Handle {
    /// A handle, and what the driver receives of it and its clones.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (
            Self {
                messages: sender,
                next_id: Rc::new(Cell::new(1)),
            },
            receiver,
        )
    }

    /// Tells the driver something. A driver that has ended ends the process: nobody is left to tell.
    pub fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// A number for a new request.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }
}
