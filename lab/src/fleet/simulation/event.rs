//! The events of the simulation.

use crate::fleet::discovery::{CallId, Response};
use crate::fleet::ids::ProxyIndex;
use crate::fleet::request::{AttemptKey, CallKey, RequestKey};
use crate::fleet::slab::Key;

/// Key of a response of discovery. The response is taken out when it reaches its proxy.
pub(super) type ResponseKey = Key<Option<Response>>;

/// An event at a point in virtual time. A pending event holds the key of a call, request, attempt or response and
/// counts as a reference to that value.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    /// The next call of an arrival process arrives; `process` is the index of the process.
    CallArrives { process: u32 },
    /// The backoff before a client's retry is over.
    ClientRetries { call: CallKey },
    /// A request reaches its proxy.
    RequestReachesProxy { request: RequestKey },
    /// The client's deadline for a request has passed, and so has the grace period of rule 1 (one final answer).
    ClientTimeout { request: RequestKey },
    /// A client disconnects before its response.
    ClientDisconnects { request: RequestKey },
    /// An attempt reaches its backend.
    AttemptReachesBackend { attempt: AttemptKey },
    /// A core has finished the work on an attempt.
    WorkFinishes { attempt: AttemptKey },
    /// An attempt's outcome reaches its proxy.
    OutcomeReachesProxy { attempt: AttemptKey },
    /// An attempt's timeout at its proxy has expired.
    AttemptTimeout { attempt: AttemptKey },
    /// A timer of a policy is due.
    PolicyTimer {
        proxy: ProxyIndex,
        incarnation: u32,
        token: u32,
    },
    /// A proxy's call reaches discovery.
    CallReachesDiscovery(CallId),
    /// Discovery processes the next entry of its queue.
    DiscoveryProcessesEntry,
    /// The wait of a standing watch is over.
    WatchExpires(CallId),
    /// A response of discovery reaches its proxy.
    ResponseReachesProxy { response: ResponseKey },
    /// The timeout of a proxy's call to discovery has expired.
    CallTimeout(CallId),
    /// Discovery detects the oldest change that it has not detected.
    DiscoveryDetects,
    /// Discovery publishes the changes that it has detected.
    DiscoveryPublishes,
    /// A change of the fault schedule takes place; `index` is its index in the schedule.
    FleetChanges { index: u32 },
    /// The front load balancer detects whether a proxy runs.
    LoadBalancerDetectsProxyState { proxy: ProxyIndex },
    /// The progress bar is updated.
    UpdateProgress,
}
