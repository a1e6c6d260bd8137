//! Calls to discovery and its responses.

use super::{ListUpdate, Revision};
use crate::fleet::ids::ProxyIndex;
use tillerproxy::api::Micros;

/// Identifies a call of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    /// Who calls.
    pub proxy: ProxyIndex,
    /// Which of the proxy's calls it is: responses to earlier ones are ignored.
    pub serial: u32,
}

/// A call as it reaches discovery.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// The revision that the proxy holds; `None` fetches the full list.
    pub known_revision: Option<Revision>,
    /// How long the watch may stand without changes.
    pub wait: Micros,
    /// Whether it continues a watch: such calls are not queued.
    pub continues_watch: bool,
}

/// What discovery sends back.
#[derive(Clone, Debug)]
pub enum ResponseBody {
    /// Endpoints, perhaps none.
    List(ListUpdate),
    /// The call failed.
    Failed,
}

/// A response on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Response {
    /// Which call it answers.
    pub call: CallId,
    /// The response.
    pub body: ResponseBody,
}

/// What becomes of a call.
#[derive(Debug)]
pub enum CallStatus {
    /// It is answered now.
    Answered(Response),
    /// It stands until something is published, or until its wait is over.
    Standing {
        /// The call.
        call: CallId,
        /// How long it may stand.
        wait: Micros,
    },
    /// It waits to be processed.
    Queued,
}

/// Calls, responses and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls received.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Full lists sent.
    pub full_lists: u64,
    /// Endpoints sent, those of full lists included.
    pub endpoints: u64,
    /// Bytes of calls and responses.
    pub bytes: u64,
}
