//! Errors of calls to discovery and of the endpoint lists in the responses.

use hyper::StatusCode;
use std::error::Error as StdError;
use std::io;
use std::net::AddrParseError;
use std::time::Duration;
use thiserror::Error;

/// Why a call to discovery returned no endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] Box<dyn StdError + Send + Sync>),
    /// The connection was lost, or the response is not valid HTTP.
    #[error("connection failed: {0}")]
    Connection(#[source] hyper::Error),
    /// The body of the response is incomplete or too large.
    #[error("cannot read the response body: {0}")]
    ResponseBody(#[source] Box<dyn StdError + Send + Sync>),
    /// The call timeout expired before the response was complete.
    #[error("no complete response within the call timeout of {call_timeout:?}")]
    Timeout {
        /// The call timeout.
        call_timeout: Duration,
    },
    /// The response has a status other than 200.
    #[error("response has status {0}, expected 200 OK")]
    Status(StatusCode),
    /// The response is not a valid endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] serde_json::Error),
    /// The list in the response is older than the one that the proxy holds.
    #[error("endpoint list has revision {received}, expected {held} or later")]
    OutdatedRevision {
        /// Revision of the list in the response.
        received: u64,
        /// Revision of the list that the proxy holds.
        held: u64,
    },
}

/// Why an endpoint of a list cannot be used.
#[derive(Debug, Error)]
pub(super) enum EndpointError {
    /// A field is missing or has an invalid value.
    #[error("malformed endpoint: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The address is not an IP address with a port.
    #[error(
        "`host_port` of {backend:?} is {address:?}, expected an IP address and a port: {source}"
    )]
    Address {
        /// The name of the backend.
        backend: String,
        /// The value found.
        address: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The zone of the endpoint is not in the settings.
    #[error("`locality` of {backend:?} is {zone:?}, expected a zone of `failureDomains`")]
    UnknownZone {
        /// The name of the backend.
        backend: String,
        /// The value found.
        zone: String,
    },
}
