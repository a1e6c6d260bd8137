//! Reads the endpoints of a list.

use super::fields::Fields;
use super::layout::{endpoint, readiness_code};
use crate::api::{Backend, BackendId, Cell, MachineType, Readiness, Zone};
use crate::simulator::{FrameError, FrameErrorKind};

/// The endpoints of a list, as bytes that have not been parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointFrames<'a> {
    bytes: &'a [u8],
    /// Offset of the first endpoint in the batch.
    start: usize,
}

impl<'a> EndpointFrames<'a> {
    pub(super) fn new(bytes: &'a [u8], start: usize) -> Self {
        Self { bytes, start }
    }

    /// Parses the endpoints.
    ///
    /// # Errors
    /// [`FrameErrorKind::UnknownReadiness`] for the first endpoint whose readiness code is unknown.
    pub fn parse(&self) -> Result<Vec<Backend>, FrameError> {
        let mut backends = Vec::with_capacity(self.bytes.len() / endpoint::LENGTH);
        let mut start = self.start;
        for bytes in self.bytes.chunks_exact(endpoint::LENGTH) {
            backends.push(parse_endpoint(&Fields::new(bytes, start))?);
            start += endpoint::LENGTH;
        }
        Ok(backends)
    }
}

fn parse_endpoint(fields: &Fields<'_>) -> Result<Backend, FrameError> {
    Ok(Backend {
        id: BackendId(fields.u32(endpoint::ID)?),
        zone: Zone(fields.u16(endpoint::ZONE)?),
        machine_type: MachineType(fields.u8(endpoint::MACHINE_TYPE)?),
        cell: Cell(fields.u16(endpoint::CELL)?),
        readiness: parse_readiness(fields)?,
        // 0 stands for a backend that started before the simulation.
        started_at: Some(fields.u64(endpoint::STARTED_AT)?).filter(|&time| time != 0),
    })
}

fn parse_readiness(fields: &Fields<'_>) -> Result<Readiness, FrameError> {
    match fields.u8(endpoint::READINESS)? {
        readiness_code::REMOVED => Ok(Readiness::Removed),
        readiness_code::READY => Ok(Readiness::Ready),
        readiness_code::DRAINING => Ok(Readiness::Draining),
        other => {
            let kind = FrameErrorKind::UnknownReadiness(other);
            Err(fields.error(endpoint::READINESS, kind))
        }
    }
}
