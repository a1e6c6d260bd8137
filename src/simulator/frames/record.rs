//! The records of a batch, and the events that they report to a balancer.

use super::EndpointFrames;
use crate::api::{
    AttemptEnd, BackendId, ClassIndex, Event, Micros, Outcome, Request, RequestId, TenantIndex,
};
use crate::index_type;

index_type! {
    /// Number of a proxy in the simulation, which is its index in a table of proxies.
    ProxyId(u16)
}

index_type! {
    /// Number of an endpoint list, which is its index in a table of lists. A later list with the same number replaces
    /// it.
    ListId(u16)
}

/// The kind of a membership update: which endpoints its list has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The list has the endpoints that changed.
    Delta,
    /// The list is complete.
    Full,
    /// The list is complete, but comes from a cache and may be out of date.
    Cached,
    /// The update has no list, because a call to discovery failed or the watch was lost.
    WatchFailed,
}

/// One record of a batch. The name that the protocol has for a record stands in brackets.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// Selects the proxy that the following records are for (`switch_to`).
    SelectProxy(ProxyId),
    /// The selected proxy starts (`power_on`).
    StartProxy {
        /// Seed of the proxy's random number generator.
        seed: u64,
        /// The proxy's settings, as JSON text.
        settings: &'a [u8],
    },
    /// The selected proxy crashes and loses its state (`crash_now`).
    CrashProxy,
    /// An endpoint list that later membership updates refer to (`page`).
    EndpointList {
        /// Number of the list.
        list: ListId,
        /// Endpoints of the list.
        endpoints: EndpointFrames<'a>,
    },
    /// The selected proxy receives an update from discovery (`membership`).
    MembershipUpdate {
        /// Kind of the update.
        kind: UpdateKind,
        /// Number of the list.
        list: ListId,
    },
    /// A client sent a request (`inbound`).
    RequestReceived {
        /// Id of the request.
        request: RequestId,
        /// Class of the request.
        class: ClassIndex,
        /// Tenant of the request.
        tenant: TenantIndex,
        /// Key of the data that the request reads or writes; `None` if the request has no key.
        key: Option<u64>,
        /// Time until the client gives up.
        timeout: Micros,
        /// Expected work of the request on a core of standard speed; `None` if the record does not state it.
        expected_work: Option<Micros>,
        /// Whether the client marked the request as a retry.
        is_retry: bool,
    },
    /// A streamed response began (`first_byte`).
    ResponseStarted {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended (`settled`).
    AttemptEnded {
        /// Id of the request.
        request: RequestId,
        /// Id of the backend.
        backend: BackendId,
        /// Number of the attempt.
        attempt: u16,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the client has its final answer.
        request_answered: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Load report of the backend; empty if the response had none.
        load_report: Vec<f32>,
    },
    /// A health check ended (`probed`).
    HealthChecked {
        /// Id of the backend.
        backend: BackendId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Load report of the backend; empty if the response had none.
        load_report: Vec<f32>,
    },
    /// The client of a request disconnected (`vanished`).
    ClientDisconnected(RequestId),
    /// A timer is due (`wakeup`).
    TimerFired {
        /// Token with which the timer was set.
        token: u32,
    },
    /// A message from another proxy, which is ignored (`peer`).
    Gossip,
    /// A record with an unknown code, which is ignored.
    Unknown(u8),
}

impl Record<'_> {
    /// Returns the event that the record reports to the balancer of the selected proxy; `None` if it reports none. The
    /// result is also `None` for a membership update, whose event needs an endpoint list that the record does not
    /// contain.
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
