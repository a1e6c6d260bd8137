//! Reads fields of one record by their offsets in it.

use super::layout::outcome_code;
use crate::api::Outcome;
use crate::simulator::{FrameError, FrameErrorKind};

/// The bytes of one record, its header included.
pub(super) struct Fields<'a> {
    bytes: &'a [u8],
    /// Offset of the record in the batch, which is added to the offset of a field to locate an error in the batch.
    start: usize,
}

impl<'a> Fields<'a> {
    pub(super) fn new(bytes: &'a [u8], start: usize) -> Self {
        Self { bytes, start }
    }

    /// Returns the `length` bytes that begin at `offset`.
    ///
    /// # Errors
    /// [`FrameErrorKind::TruncatedRecord`] if the record ends before the last of these bytes.
    pub(super) fn slice(&self, offset: usize, length: usize) -> Result<&'a [u8], FrameError> {
        let end = offset.saturating_add(length);
        self.bytes.get(offset..end).ok_or_else(|| {
            let kind = FrameErrorKind::TruncatedRecord {
                field_length: length,
                record_length: self.bytes.len(),
            };
            self.error(offset, kind)
        })
    }

    pub(super) fn u8(&self, offset: usize) -> Result<u8, FrameError> {
        self.array(offset).map(u8::from_be_bytes)
    }

    pub(super) fn u16(&self, offset: usize) -> Result<u16, FrameError> {
        self.array(offset).map(u16::from_be_bytes)
    }

    pub(super) fn u32(&self, offset: usize) -> Result<u32, FrameError> {
        self.array(offset).map(u32::from_be_bytes)
    }

    pub(super) fn u64(&self, offset: usize) -> Result<u64, FrameError> {
        self.array(offset).map(u64::from_be_bytes)
    }

    /// Reads a load report: the number of its values, then the values.
    pub(super) fn load_report(&self, offset: usize) -> Result<Vec<f32>, FrameError> {
        let value_count = usize::from(self.u8(offset)?);
        let values_offset = offset + size_of::<u8>();
        let values = self.slice(values_offset, value_count * size_of::<f32>())?;
        let mut report = Vec::with_capacity(value_count);
        for value in values.chunks_exact(size_of::<f32>()) {
            let value = value.try_into().expect("each chunk is as long as a value");
            report.push(f32::from_be_bytes(value));
        }
        Ok(report)
    }

    /// Reads the outcome of an attempt or a health check.
    pub(super) fn outcome(&self, offset: usize) -> Result<Outcome, FrameError> {
        match self.u16(offset)? {
            outcome_code::OK => Ok(Outcome::Ok),
            outcome_code::ERROR => Ok(Outcome::Error),
            outcome_code::REJECTED => Ok(Outcome::Rejected),
            outcome_code::TIMEOUT => Ok(Outcome::Timeout),
            outcome_code::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
            outcome_code::RESET => Ok(Outcome::Reset),
            outcome_code::CANCELLED => Ok(Outcome::Cancelled),
            outcome_code::NOT_SENT => Ok(Outcome::NotSent),
            other => Err(self.error(offset, FrameErrorKind::UnknownOutcome(other))),
        }
    }

    /// Returns an error at `offset` of this record.
    pub(super) fn error(&self, offset: usize, kind: FrameErrorKind) -> FrameError {
        FrameError {
            offset: self.start + offset,
            kind,
        }
    }

    fn array<const N: usize>(&self, offset: usize) -> Result<[u8; N], FrameError> {
        let bytes = self.slice(offset, N)?;
        Ok(bytes.try_into().expect("`slice` returned N bytes"))
    }
}
