//! The input of a balancer: changes of the backends, requests, and how attempts end.

use super::{BackendId, Cell, ClassIndex, MachineType, Micros, RequestId, TenantIndex, Zone};

/// Whether a backend may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes the requests in flight and takes no new one.
    Draining,
    /// No longer listed.
    Removed,
}

/// A backend as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    /// Its id.
    pub id: BackendId,
    /// Its zone.
    pub zone: Zone,
    /// Its type of machine.
    pub machine_type: MachineType,
    /// Its cell.
    pub cell: Cell,
    /// Whether it may be sent to.
    pub readiness: Readiness,
    /// When its process last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// A change of the backends, or of the watch that reports them.
#[derive(Clone, Copy, Debug)]
pub enum MembershipEvent<'a> {
    /// Endpoints that changed.
    Delta(&'a [Backend]),
    /// The complete list: a backend that it lacks is removed.
    Full(&'a [Backend]),
    /// The list as last known, perhaps out of date. It is taken to be complete.
    Cached(&'a [Backend]),
    /// A call to discovery failed, or the watch broke.
    WatchFailed,
    /// A call to discovery was not answered in time, within a watch or before one. (Real sockets only.)
    WatchStalled,
}

/// A request that a client sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant.
    pub tenant: TenantIndex,
    /// The key of the data that it is about. (Not used by the decisions.)
    pub key: Option<u64>,
    /// Time until the client gives it up.
    pub timeout: Micros,
    /// Expected work on a standard core. (Not used by the decisions.)
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry. (Not used by the decisions.)
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error.
    Error,
    /// A response came that can't be used. Unlike an error it may have been corrupted on the way by somebody else
    /// than the backend. (Real sockets only; the simulator knows no such outcome.)
    CorruptResponse,
    /// The backend rejected it without running it.
    Rejected,
    /// No response in time.
    Timeout,
    /// The request was not written completely: no connection could be made, or it broke before.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by this proxy.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend did not run the request.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of one attempt. Each [`Action::Send`](super::Action::Send) gets exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// The request.
    pub request: RequestId,
    /// The backend of the attempt.
    pub backend: BackendId,
    /// Number of the attempt, counting from 0 in the order of the sends.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request is over for its client: it has its final answer, or has disconnected.
    pub request_answered: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// The backend's load report, empty if none came along.
    pub load_report: &'a [f32],
    /// The request's body is not buffered any more: it can't be sent again. (Real sockets only.)
    pub body_consumed: bool,
}

/// An input of a balancer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The backends changed, or the watch that reports them did.
    Membership(MembershipEvent<'a>),
    /// A request came in.
    Request(Request),
    /// A streamed response began.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// Time since the send.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd<'a>),
    /// The request is over for its client, which disconnected or got its final answer without the balancer.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthChecked {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        load_report: &'a [f32],
    },
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set is due.
    Timer(u32),
}
