//! Errors of calls to discovery and of the lists that they return.

use hyper::StatusCode;
use std::error::Error as StdError;
use std::io;
use std::net::AddrParseError;
use thiserror::Error;

/// Why a call to discovery returned no endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// No connection could be made.
    #[error("connecting failed: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] Box<dyn StdError + Send + Sync>),
    /// The connection broke, or what came back is no HTTP response.
    #[error("connection failed: {0}")]
    Connection(#[source] hyper::Error),
    /// The response broke off, or it is too large.
    #[error("reading the response failed: {0}")]
    ResponseBody(#[source] Box<dyn StdError + Send + Sync>),
    /// No complete response came in time.
    #[error("no response in time")]
    Timeout,
    /// The response has a status other than 200.
    #[error("response with status {0}")]
    Status(StatusCode),
    /// The response is no endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] serde_json::Error),
    /// The response is older than the list that the proxy holds.
    #[error("revision {received} is older than revision {held}, which is held")]
    OutdatedRevision {
        /// Revision of the response.
        received: u64,
        /// Revision of the list that the proxy holds.
        held: u64,
    },
}

/// Why an endpoint of a list cannot be used.
#[derive(Debug, Error)]
pub(super) enum EndpointError {
    /// It lacks a field, or a field has no valid value.
    #[error("malformed endpoint: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Its address is none.
    #[error("malformed address `{address}`: {source}")]
    Address {
        address: String,
        source: AddrParseError,
    },
    /// The settings do not name its zone.
    #[error("unknown locality `{0}`")]
    UnknownZone(String),
}
