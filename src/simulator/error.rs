//! Errors in the batches of records that the simulator writes.

use super::frames::{BATCH_HEADER_LENGTH, ListId, ProxyId};
use thiserror::Error;

/// An error in a batch of records that violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid input at byte {offset} of the batch: {kind}")]
pub struct FrameError {
    /// Offset from the first byte of the batch.
    pub offset: usize,
    /// The kind of error.
    pub kind: FrameErrorKind,
}

/// The kinds of errors in a batch, with the value found and the values expected. The texts use the protocol's own
/// names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameErrorKind {
    /// The input ends within a batch's header.
    #[error("the input ends within a batch header, expected {BATCH_HEADER_LENGTH} bytes")]
    TruncatedBatchHeader,
    /// The input ends within a batch.
    #[error("the input ends within a batch, expected {length} bytes after the batch header")]
    TruncatedBatch {
        /// Number of bytes after the header, as the header states it.
        length: usize,
    },
    /// The length in the header differs from the length of the batch.
    #[error("the batch header states {stated} bytes, expected {actual}")]
    BatchLength {
        /// Number of bytes that follow the header.
        actual: usize,
        /// Number of bytes that should follow the header, as the header states it.
        stated: usize,
    },
    /// A field, at the offset of the error, extends beyond the end of its record.
    #[error(
        "a field of {field_length} bytes extends beyond the end of its record of {record_length} bytes"
    )]
    TruncatedRecord {
        /// Length of the field in bytes.
        field_length: usize,
        /// Length of the whole record in bytes.
        record_length: usize,
    },
    /// Bytes follow the last of the records that the header of the batch announces.
    #[error("{length} bytes after the last record, expected the end of the batch")]
    TrailingBytes {
        /// Number of bytes after the last record.
        length: usize,
    },
    /// The code of an outcome is unknown.
    #[error("outcome is {0}, expected 100 or 301 to 307")]
    UnknownOutcome(u16),
    /// The code for the kind of a membership update is unknown.
    #[error("scope of a `membership` record is {0}, expected 0 to 3")]
    UnknownUpdateKind(u8),
    /// The code of an endpoint's readiness is unknown.
    #[error("readiness of an endpoint is {0}, expected 0 to 2")]
    UnknownReadiness(u8),
    /// A record for a proxy before any record has selected a proxy.
    #[error("no proxy is selected, expected a `switch_to` record before a record for a proxy")]
    NoProxySelected,
    /// An event for a proxy that is not running.
    #[error("event for proxy {}, expected a proxy that is running", .0.0)]
    ProxyNotRunning(ProxyId),
    /// A membership update that refers to an endpoint list that has not been sent.
    #[error("`membership` record refers to list {}, expected a list of an earlier `page` record", .0.0)]
    UnknownList(ListId),
}
