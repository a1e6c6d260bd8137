//! The events of the simulation.

use crate::fleet::discovery::{CallId, Response};
use crate::fleet::ids::ProxyIndex;
use crate::fleet::request::{AttemptKey, CallKey, RequestKey};
use crate::fleet::slab::Key;

/// Key of a response of discovery; it is removed when it arrives.
pub(super) type ResponseKey = Key<Option<Response>>;

/// Something that happens at a point in virtual time. An event counts as a reference to the call, request,
/// attempt or response that it names.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    /// The next call of an arrival process, by its index.
    CallArrives { process: u32 },
    /// A client retries.
    ClientRetries { call: CallKey },
    /// A request reaches its proxy.
    RequestReachesProxy { request: RequestKey },
    /// The client's deadline for a request has passed, and the grace that the rules give.
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
    DiscoveryProcesses,
    /// The wait of a standing watch is over.
    WatchExpires(CallId),
    /// A response of discovery reaches its proxy.
    ResponseReachesProxy { response: ResponseKey },
    /// The timeout of a proxy's call to discovery has expired.
    CallTimeout(CallId),
    /// Discovery detects the oldest change that it has not detected.
    DiscoveryDetects,
    /// Discovery publishes what it has detected.
    DiscoveryPublishes,
    /// A change of the fault schedule, by its index.
    FleetChanges { index: u32 },
    /// The front load balancer learns whether a proxy runs.
    FrontLearnsState { proxy: ProxyIndex },
    /// The progress bar is updated.
    UpdateProgress,
}
