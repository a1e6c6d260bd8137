//! Codes of the protocol, and the offset of each field in its record, in bytes from the record's first byte.

/// Length of a batch's header in bytes.
pub const BATCH_HEADER_LENGTH: usize = 8;

pub(super) mod batch {
    pub const RECORD_COUNT: usize = 0;
    pub const LENGTH: usize = 4;
    pub const CLOCK: usize = super::BATCH_HEADER_LENGTH;
    pub const RECORDS: usize = CLOCK + size_of::<u64>();
}

pub(super) mod record {
    pub const CODE: usize = 0;
    pub const LENGTH: usize = 1;
    /// Length of a record's header in bytes, which is also the offset of the first field.
    pub const FIELDS: usize = 5;
}

/// Codes of the records that the simulator writes.
pub(super) mod record_code {
    pub const ENDPOINT_LIST: u8 = 0;
    pub const HEALTH_CHECKED: u8 = 1;
    pub const SELECT_PROXY: u8 = 2;
    pub const RESPONSE_STARTED: u8 = 3;
    pub const ATTEMPT_ENDED: u8 = 4;
    pub const CRASH_PROXY: u8 = 5;
    pub const TIMER_FIRED: u8 = 6;
    pub const MEMBERSHIP_UPDATE: u8 = 7;
    pub const CLIENT_DISCONNECTED: u8 = 8;
    pub const START_PROXY: u8 = 9;
    pub const GOSSIP: u8 = 10;
    pub const REQUEST_RECEIVED: u8 = 11;
}

/// Codes of the records in a reply.
pub(super) mod reply_code {
    pub const SEND: u8 = 64;
    pub const REJECT: u8 = 65;
    pub const FAIL: u8 = 66;
    pub const CANCEL: u8 = 67;
    pub const SET_TIMER: u8 = 68;
    pub const HEALTH_CHECK: u8 = 69;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 70;
    pub const LOG: u8 = 72;
    pub const FATAL: u8 = 73;
    pub const SUBSCRIBE: u8 = 74;
    pub const SELECT_PROXY: u8 = 76;
}

pub(super) mod outcome_code {
    pub const OK: u16 = 100;
    pub const ERROR: u16 = 301;
    pub const REJECTED: u16 = 302;
    pub const TIMEOUT: u16 = 303;
    pub const CONNECT_FAILED: u16 = 304;
    pub const RESET: u16 = 305;
    pub const CANCELLED: u16 = 306;
    pub const NOT_SENT: u16 = 307;
}

pub(super) mod update_code {
    pub const DELTA: u8 = 0;
    pub const FULL: u8 = 1;
    pub const CACHED: u8 = 2;
    pub const WATCH_FAILED: u8 = 3;
}

pub(super) mod readiness_code {
    pub const REMOVED: u8 = 0;
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

pub(super) mod endpoint_list {
    pub const LIST: usize = 5;
    pub const COUNT: usize = 7;
    pub const ENDPOINTS: usize = 11;
}

/// Offsets of an endpoint's fields, from the endpoint's first byte.
pub(super) mod endpoint {
    pub const ID: usize = 0;
    pub const ZONE: usize = 4;
    pub const MACHINE_TYPE: usize = 6;
    pub const CELL: usize = 7;
    pub const READINESS: usize = 9;
    pub const STARTED_AT: usize = 14;
    /// Length of one endpoint in bytes.
    pub const LENGTH: usize = 22;
}

pub(super) mod health_checked {
    pub const OUTCOME: usize = 5;
    pub const BACKEND: usize = 11;
    pub const LOAD_REPORT: usize = 15;
}

pub(super) mod select_proxy {
    pub const PROXY: usize = 5;
}

pub(super) mod response_started {
    pub const REQUEST: usize = 5;
    pub const ATTEMPT: usize = 13;
    pub const ELAPSED: usize = 15;
}

pub(super) mod attempt_ended {
    pub const REQUEST: usize = 5;
    pub const BACKEND: usize = 9;
    pub const REQUEST_ANSWERED: usize = 13;
    pub const OUTCOME: usize = 14;
    pub const ATTEMPT: usize = 16;
    pub const ELAPSED: usize = 18;
    pub const LOAD_REPORT: usize = 22;
}

pub(super) mod timer_fired {
    pub const TOKEN: usize = 5;
}

/// Offsets of the fields of a membership update.
pub mod membership_update {
    pub(in super::super) const KIND: usize = 5;
    /// Offset of the endpoint list's number.
    pub const LIST: usize = 10;
}

pub(super) mod client_disconnected {
    pub const REQUEST: usize = 5;
}

pub(super) mod start_proxy {
    pub const SEED: usize = 5;
    pub const SETTINGS_LENGTH: usize = 13;
    pub const SETTINGS: usize = 17;
}

pub(super) mod request_received {
    pub const REQUEST: usize = 5;
    pub const CLASS: usize = 9;
    pub const TENANT: usize = 10;
    pub const KEY: usize = 12;
    pub const TIMEOUT: usize = 20;
    pub const EXPECTED_WORK: usize = 24;
    pub const FLAGS: usize = 28;
    /// Flag: the record states the expected work.
    pub const HAS_EXPECTED_WORK: u8 = 1;
    /// Flag: the client marked the request as a retry.
    pub const IS_RETRY: u8 = 2;
}
