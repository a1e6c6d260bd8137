//! What can be wrong with the simulator's input.

use super::frames::{BATCH_HEADER_LENGTH, ListId, ProxyId};
use thiserror::Error;

/// Input that does not follow the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("bad input at byte {offset} of the batch: {kind}")]
pub struct FrameError {
    /// Offset from the first byte of the batch.
    pub offset: usize,
    /// What is wrong there.
    pub kind: FrameErrorKind,
}

/// What is wrong with the input. The texts say what was expected in its place.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameErrorKind {
    /// The input ends within a batch's header.
    #[error("expected a batch header of {BATCH_HEADER_LENGTH} bytes")]
    TruncatedBatchHeader,
    /// The input ends within a batch.
    #[error("expected {length} bytes behind the batch header")]
    TruncatedBatch {
        /// Bytes after the header, as the header states them.
        length: usize,
    },
    /// The header states another length than the batch has.
    #[error("expected a length of {actual}, not {stated}")]
    BatchLength {
        /// Bytes after the header.
        actual: usize,
        /// The same, as the header states it.
        stated: usize,
    },
    /// A record ends within a field.
    #[error("expected {needed} more bytes in a record of {available} bytes")]
    TruncatedRecord {
        /// Bytes that the field takes.
        needed: usize,
        /// Bytes that the record has in all.
        available: usize,
    },
    /// The batch has more bytes than the records that its header counts.
    #[error("expected the end of the batch")]
    TrailingBytes,
    /// A code that is no outcome.
    #[error("expected an outcome of 100 or 301 to 307, not {0}")]
    UnknownOutcome(u16),
    /// A code that is no kind of membership update.
    #[error("expected a scope of 0 to 3, not {0}")]
    UnknownUpdateKind(u8),
    /// A code that is no readiness.
    #[error("expected a readiness of 0 to 2, not {0}")]
    UnknownReadiness(u8),
    /// A record for a proxy before any proxy was selected.
    #[error("expected a `switch_to` before the first event of an instance")]
    NoProxySelected,
    /// An event for a proxy that does not run.
    #[error("expected an event for a running instance; {} does not run", .0.0)]
    ProxyNotRunning(ProxyId),
    /// A membership update with an endpoint list that was not sent.
    #[error("expected a list that a `page` has brought; {} was not", .0.0)]
    UnknownList(ListId),
}
