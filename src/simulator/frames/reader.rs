//! Reads the records of a batch.

use super::fields::Fields;
use super::layout::{
    BATCH_HEADER_LENGTH, attempt_ended, batch, client_disconnected, endpoint, endpoint_list,
    health_checked, membership_update, record, record_code, request_received, response_started,
    select_proxy, start_proxy, timer_fired, update_code,
};
use super::{EndpointFrames, ListId, ProxyId, Record, UpdateKind};
use crate::api::{BackendId, ClassIndex, Micros, RequestId, TenantIndex};
use crate::simulator::{FrameError, FrameErrorKind};

/// Returns the number of bytes that follow a batch's header.
#[must_use]
pub fn batch_length(header: [u8; BATCH_HEADER_LENGTH]) -> usize {
    let [_, _, _, _, length @ ..] = header;
    u32::from_be_bytes(length) as usize
}

/// Reads the records of one batch, in order.
#[derive(Debug)]
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    clock: Micros,
    /// Offset of the next record from the first byte of the batch.
    offset: usize,
    records_left: u32,
}

impl<'a> BatchReader<'a> {
    /// Reads the header and the clock of a batch; `bytes` begins with the header.
    ///
    /// # Errors
    /// [`FrameErrorKind::TruncatedRecord`] if the batch is too short for its header and clock;
    /// [`FrameErrorKind::BatchLength`] if its length differs from the one in the header.
    pub fn new(bytes: &'a [u8]) -> Result<Self, FrameError> {
        let header = Fields::new(bytes, 0);
        let records_left = header.u32(batch::RECORD_COUNT)?;
        let stated = header.u32(batch::LENGTH)? as usize;
        let clock = header.u64(batch::CLOCK)?;
        let actual = bytes.len() - BATCH_HEADER_LENGTH;
        if stated != actual {
            let kind = FrameErrorKind::BatchLength { actual, stated };
            return Err(header.error(batch::LENGTH, kind));
        }
        Ok(Self {
            bytes,
            clock,
            offset: batch::RECORDS,
            records_left,
        })
    }

    /// Returns the time at which the events of the batch occur.
    #[must_use]
    pub fn clock(&self) -> Micros {
        self.clock
    }

    /// Returns the offset of the next record from the first byte of the batch.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Reads the next record. Returns `None` after the last one.
    ///
    /// # Errors
    /// [`FrameErrorKind`] of a record that is truncated or contains an unknown code for an outcome or for the kind of
    /// an update, or of bytes after the last record.
    pub fn next_record(&mut self) -> Result<Option<Record<'a>>, FrameError> {
        let remaining_bytes = &self.bytes[self.offset..];
        let remaining = Fields::new(remaining_bytes, self.offset);
        if self.records_left == 0 {
            if remaining_bytes.is_empty() {
                return Ok(None);
            }
            let kind = FrameErrorKind::TrailingBytes {
                length: remaining_bytes.len(),
            };
            return Err(remaining.error(record::CODE, kind));
        }
        let fields_length = remaining.u32(record::LENGTH)? as usize;
        let length = record::FIELDS.saturating_add(fields_length);
        let start = self.offset;
        let fields = Fields::new(remaining.slice(record::CODE, length)?, start);
        self.offset += length;
        self.records_left -= 1;
        parse_record(&fields, start).map(Some)
    }
}

/// Parses the record that begins at byte `start` of the batch.
fn parse_record<'a>(fields: &Fields<'a>, start: usize) -> Result<Record<'a>, FrameError> {
    match fields.u8(record::CODE)? {
        record_code::ENDPOINT_LIST => parse_endpoint_list(fields, start),
        record_code::HEALTH_CHECKED => parse_health_checked(fields),
        record_code::SELECT_PROXY => {
            let proxy = fields.u16(select_proxy::PROXY)?;
            Ok(Record::SelectProxy(ProxyId(proxy)))
        }
        record_code::RESPONSE_STARTED => parse_response_started(fields),
        record_code::ATTEMPT_ENDED => parse_attempt_ended(fields),
        record_code::CRASH_PROXY => Ok(Record::CrashProxy),
        record_code::TIMER_FIRED => Ok(Record::TimerFired {
            token: fields.u32(timer_fired::TOKEN)?,
        }),
        record_code::MEMBERSHIP_UPDATE => parse_membership_update(fields),
        record_code::CLIENT_DISCONNECTED => {
            let request = RequestId(fields.u32(client_disconnected::REQUEST)?);
            Ok(Record::ClientDisconnected(request))
        }
        record_code::START_PROXY => parse_start_proxy(fields),
        record_code::GOSSIP => Ok(Record::Gossip),
        record_code::REQUEST_RECEIVED => parse_request_received(fields),
        other => Ok(Record::Unknown(other)),
    }
}

fn parse_endpoint_list<'a>(fields: &Fields<'a>, start: usize) -> Result<Record<'a>, FrameError> {
    let list = fields.u16(endpoint_list::LIST)?;
    let count = fields.u32(endpoint_list::COUNT)? as usize;
    let length = count.saturating_mul(endpoint::LENGTH);
    let bytes = fields.slice(endpoint_list::ENDPOINTS, length)?;
    Ok(Record::EndpointList {
        list: ListId(list),
        endpoints: EndpointFrames::new(bytes, start + endpoint_list::ENDPOINTS),
    })
}

fn parse_membership_update<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    let kind = match fields.u8(membership_update::KIND)? {
        update_code::DELTA => UpdateKind::Delta,
        update_code::FULL => UpdateKind::Full,
        update_code::CACHED => UpdateKind::Cached,
        update_code::WATCH_FAILED => UpdateKind::WatchFailed,
        other => {
            let kind = FrameErrorKind::UnknownUpdateKind(other);
            return Err(fields.error(membership_update::KIND, kind));
        }
    };
    Ok(Record::MembershipUpdate {
        kind,
        list: ListId(fields.u16(membership_update::LIST)?),
    })
}

fn parse_start_proxy<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    let seed = fields.u64(start_proxy::SEED)?;
    let settings_length = fields.u32(start_proxy::SETTINGS_LENGTH)? as usize;
    Ok(Record::StartProxy {
        seed,
        settings: fields.slice(start_proxy::SETTINGS, settings_length)?,
    })
}

fn parse_request_received<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    let flags = fields.u8(request_received::FLAGS)?;
    let key = fields.u64(request_received::KEY)?;
    let expected_work = fields.u32(request_received::EXPECTED_WORK)?;
    let has_expected_work = flags & request_received::HAS_EXPECTED_WORK != 0;
    Ok(Record::RequestReceived {
        request: RequestId(fields.u32(request_received::REQUEST)?),
        class: ClassIndex(fields.u8(request_received::CLASS)?),
        tenant: TenantIndex(fields.u16(request_received::TENANT)?),
        // 0 stands for a request without a key.
        key: (key != 0).then_some(key),
        timeout: fields.u32(request_received::TIMEOUT)?.into(),
        expected_work: has_expected_work.then_some(expected_work.into()),
        is_retry: flags & request_received::IS_RETRY != 0,
    })
}

fn parse_response_started<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    Ok(Record::ResponseStarted {
        request: RequestId(fields.u32(response_started::REQUEST)?),
        attempt: fields.u16(response_started::ATTEMPT)?,
        elapsed: fields.u32(response_started::ELAPSED)?.into(),
    })
}

fn parse_attempt_ended<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    Ok(Record::AttemptEnded {
        request: RequestId(fields.u32(attempt_ended::REQUEST)?),
        backend: BackendId(fields.u32(attempt_ended::BACKEND)?),
        request_answered: fields.u8(attempt_ended::REQUEST_ANSWERED)? != 0,
        outcome: fields.outcome(attempt_ended::OUTCOME)?,
        attempt: fields.u16(attempt_ended::ATTEMPT)?,
        elapsed: fields.u32(attempt_ended::ELAPSED)?.into(),
        load_report: fields.load_report(attempt_ended::LOAD_REPORT)?,
    })
}

fn parse_health_checked<'a>(fields: &Fields<'a>) -> Result<Record<'a>, FrameError> {
    Ok(Record::HealthChecked {
        outcome: fields.outcome(health_checked::OUTCOME)?,
        backend: BackendId(fields.u32(health_checked::BACKEND)?),
        load_report: fields.load_report(health_checked::LOAD_REPORT)?,
    })
}
