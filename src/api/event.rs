//! The input of a balancer: membership changes, requests, and outcomes of attempts.

use super::{BackendId, Cell, ClassIndex, MachineType, Micros, RequestId, TenantIndex, Zone};

/// Whether a backend accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
    /// No longer listed by discovery.
    Removed,
}

/// A backend as listed by discovery.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    /// Id of the backend.
    pub id: BackendId,
    /// Zone of the backend.
    pub zone: Zone,
    /// Machine type that the backend runs on.
    pub machine_type: MachineType,
    /// Cell of the backend.
    pub cell: Cell,
    /// Whether the backend accepts new requests.
    pub readiness: Readiness,
    /// Time of the last start of the backend's process; `None` if it was too long ago to matter.
    pub started_at: Option<Micros>,
}

/// A change of the listed backends, or a failure of the watch on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum MembershipEvent<'a> {
    /// The endpoints that changed.
    Delta(&'a [Backend]),
    /// The complete endpoint list. A backend that is not on it is removed.
    Full(&'a [Backend]),
    /// The last known endpoint list, which may be out of date. It counts as complete.
    Cached(&'a [Backend]),
    /// A call to discovery failed, or the watch was interrupted.
    WatchFailed,
    /// A call to discovery timed out, during a watch or before one started. (Real sockets only.)
    WatchStalled,
}

/// A request sent by a client.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassIndex,
    /// Tenant that sent the request.
    pub tenant: TenantIndex,
    /// Key of the data that the request accesses; `None` if the request states none. (Not used by the balancer.)
    pub key: Option<u64>,
    /// Time from the request's arrival to the client's timeout.
    pub timeout: Micros,
    /// Expected work of the request: the time that it takes on a core of speed 1; `None` if the request does not state
    /// it. (Not used by the balancer.)
    pub expected_work: Option<Micros>,
    /// Whether the client marked the request as a retry. (Not used by the balancer.)
    pub is_retry: bool,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend responded with an error.
    Error,
    /// The response is malformed. Unlike an error, it may have been corrupted between the backend and the proxy.
    /// (Real sockets only; the simulator has no such outcome.)
    CorruptResponse,
    /// The backend rejected the request without executing it.
    Rejected,
    /// No response arrived before the attempt's deadline.
    Timeout,
    /// The request was not written completely: connecting failed, or the connection broke during the write.
    ConnectFailed,
    /// The connection broke. The backend may have executed the request.
    Reset,
    /// This proxy cancelled the attempt.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl Outcome {
    /// Reports whether this outcome proves that the backend did not execute the request.
    #[must_use]
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of one attempt. For each [`Action::Send`](super::Action::Send), the balancer receives exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Backend that the attempt was sent to.
    pub backend: BackendId,
    /// Number of the attempt within its request, counted from 0 in the order in which attempts are sent.
    pub attempt: u16,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the client has its final answer or has disconnected.
    pub request_answered: bool,
    /// Time from sending the attempt to its end.
    pub elapsed: Micros,
    /// Load report that came with the response; empty if there was none.
    pub load_report: &'a [f32],
    /// Whether the request's body is no longer buffered, so that the request cannot be sent again. (Real sockets only.)
    pub body_consumed: bool,
}

/// An input of a balancer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The listed backends changed, or the watch on the endpoint list failed.
    Membership(MembershipEvent<'a>),
    /// A request arrived.
    Request(Request),
    /// A streamed response started.
    ResponseStarted {
        /// Request that is being answered.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u16,
        /// Time from sending the attempt to the start of the response.
        elapsed: Micros,
    },
    /// The client paused in the middle of a streamed body, or continues to send it. (Real sockets only.)
    UploadProgress {
        /// Request whose body is being sent.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: u16,
        /// Whether the client has paused.
        is_stalled: bool,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd<'a>),
    /// The client disconnected, or received a final answer that the balancer did not give.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthChecked {
        /// Backend that was checked.
        backend: BackendId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Load report that came with the response; empty if there was none.
        load_report: &'a [f32],
    },
    /// A timer that was set with [`Action::SetTimer`](super::Action::SetTimer) fired. Contains the timer's token.
    Timer(u32),
}
