//! The records of a batch, and what they report to the decisions.

use super::EndpointFrames;
use crate::api::{
    AttemptEnd, BackendId, ClassIndex, Event, Micros, Outcome, Request, RequestId, TenantIndex,
};

/// Number of a proxy in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyId(pub u16);

impl ProxyId {
    /// Returns the number as an index of a list.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Number of an endpoint list. A later list with the same number takes its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListId(pub u16);

impl ListId {
    /// Returns the number as an index of a list.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// What a membership update says of its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The list has the endpoints that changed.
    Delta,
    /// The list is complete.
    Full,
    /// The list is complete, but cached: it may be out of date.
    Cached,
    /// There is no list: a call to discovery failed, or the watch broke.
    WatchFailed,
}

/// One record of a batch. The protocol's own name of each stands in brackets.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The following records are for this proxy (`switch_to`).
    SelectProxy(ProxyId),
    /// The selected proxy starts (`power_on`).
    StartProxy {
        /// Seed of its random generator.
        seed: u64,
        /// Its settings, as JSON text.
        settings: &'a [u8],
    },
    /// The selected proxy crashes and loses its state (`crash_now`).
    CrashProxy,
    /// An endpoint list that later updates refer to (`page`).
    EndpointList {
        /// Its number.
        list: ListId,
        /// Its endpoints.
        endpoints: EndpointFrames<'a>,
    },
    /// Discovery reports to the selected proxy (`membership`).
    MembershipUpdate {
        /// What it says of the list.
        kind: UpdateKind,
        /// The list.
        list: ListId,
    },
    /// A client sent a request (`inbound`).
    RequestReceived {
        /// Its id.
        request: RequestId,
        /// Its class.
        class: ClassIndex,
        /// Its tenant.
        tenant: TenantIndex,
        /// The key of the data that it is about.
        key: Option<u64>,
        /// Time until the client gives it up.
        timeout: Micros,
        /// Expected work on a standard core.
        expected_work: Option<Micros>,
        /// Whether the client marked it as a retry.
        is_retry: bool,
    },
    /// A streamed response began (`first_byte`).
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// Time since the send.
        elapsed: Micros,
    },
    /// An attempt ended (`settled`).
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The backend of the attempt.
        backend: BackendId,
        /// Number of the attempt.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Whether the client has its final answer.
        request_answered: bool,
        /// Time since the send.
        elapsed: Micros,
        /// The backend's load report, empty if none came along.
        load_report: Vec<f32>,
    },
    /// A health check ended (`probed`).
    HealthChecked {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        load_report: Vec<f32>,
    },
    /// The client of a request disconnected (`vanished`).
    ClientDisconnected(RequestId),
    /// A timer is due (`wakeup`).
    TimerFired {
        /// The token it was set with.
        token: u32,
    },
    /// A message of another proxy, which this one does not read (`peer`).
    Gossip,
    /// A record with a code that the protocol did not have yet.
    Unknown(u8),
}

impl Record<'_> {
    /// Returns the event that the record is for the selected proxy. A membership update gives none, for its event
    /// needs the endpoint list.
    #[must_use]
    pub fn event(&self) -> Option<Event<'_>> {
        match *self {
            Record::RequestReceived { .. } => self.request().map(Event::Request),
            Record::ResponseStarted {
                request,
                attempt,
                elapsed,
            } => Some(Event::ResponseStarted {
                request,
                attempt,
                elapsed,
            }),
            Record::AttemptEnded { .. } => self.attempt_end().map(Event::AttemptEnded),
            Record::HealthChecked {
                backend,
                outcome,
                ref load_report,
            } => Some(Event::HealthChecked {
                backend,
                outcome,
                load_report,
            }),
            Record::ClientDisconnected(request) => Some(Event::ClientDisconnected(request)),
            Record::TimerFired { token } => Some(Event::Timer(token)),
            _ => None,
        }
    }

    fn request(&self) -> Option<Request> {
        let &Record::RequestReceived {
            request,
            class,
            tenant,
            key,
            timeout,
            expected_work,
            is_retry,
        } = self
        else {
            return None;
        };
        Some(Request {
            id: request,
            class,
            tenant,
            key,
            timeout,
            expected_work,
            is_retry,
        })
    }

    fn attempt_end(&self) -> Option<AttemptEnd<'_>> {
        let &Record::AttemptEnded {
            request,
            backend,
            attempt,
            outcome,
            request_answered,
            elapsed,
            ref load_report,
        } = self
        else {
            return None;
        };
        Some(AttemptEnd {
            request,
            backend,
            attempt,
            outcome,
            request_answered,
            elapsed,
            load_report,
            // Simulated requests are always buffered.
            body_consumed: false,
        })
    }
}
