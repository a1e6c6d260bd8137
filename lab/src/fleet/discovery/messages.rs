//! Calls to discovery and its responses.

use super::{ListUpdate, Revision};
use crate::fleet::ids::ProxyIndex;
use tillerproxy::api::Micros;

/// Identity of a proxy's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    /// Proxy that makes the call.
    pub proxy: ProxyIndex,
    /// Serial number of the call among those of the proxy. Responses to earlier calls are ignored.
    pub serial: u32,
}

/// A call as it reaches discovery.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Identity of the call.
    pub id: CallId,
    /// Revision of the list that the proxy holds; `None` fetches the full list.
    pub known_revision: Option<Revision>,
    /// Maximum time for which the call is held as a standing watch if nothing changes.
    pub wait: Micros,
    /// Whether the call continues a watch. Such calls are not queued.
    pub continues_watch: bool,
}

/// Content of a response.
#[derive(Clone, Debug)]
pub enum ResponseBody {
    /// An update of the endpoint list, which may be empty.
    List(ListUpdate),
    /// The call failed.
    Failed,
}

/// A response on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Response {
    /// Call that the response answers.
    pub call: CallId,
    /// Content of the response.
    pub body: ResponseBody,
}

/// Status of a call that has reached discovery.
#[derive(Debug)]
pub enum CallStatus {
    /// The call is answered now.
    Answered(Response),
    /// The call is held as a standing watch (long poll) until a publication, or until its wait is over.
    Standing {
        /// The call that is held.
        call: CallId,
        /// Maximum time for which the call is held.
        wait: Micros,
    },
    /// The call is queued.
    Queued,
}

/// Totals of calls, responses and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls received.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Full lists sent.
    pub full_lists: u64,
    /// Endpoints sent, including those of full lists.
    pub endpoints: u64,
    /// Bytes of calls and responses.
    pub bytes: u64,
}
