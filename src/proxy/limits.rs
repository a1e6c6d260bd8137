//! Limits that several modules share.

use std::time::Duration;

/// Bytes of a body that are buffered before it is streamed.
pub const BODY_CAP: usize = 64 * 1024;
/// The largest body that is forwarded either way, in bytes. Clients send up to 32 MB.
pub const FORWARDED_BODY_CAP: u64 = 40 << 20;
/// The largest head of a request, in bytes.
pub const CLIENT_HEAD_CAP: usize = 16 * 1024;
/// The largest head of a response, in bytes, and what a connection to a backend reads ahead: an
/// endless head must not take memory until the request times out.
pub const BACKEND_HEAD_CAP: usize = 16 * 1024;
/// How long a streamed response may make no progress, because the backend sends nothing or the
/// client reads nothing.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client has to send a request with its body, and for which it may stay idle. For
/// the first request of a connection it counts from connecting.
pub const REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// Pause after an accept that failed.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The most operators' calls that are open at a time.
pub const MAX_OPERATOR_CALLS: usize = 12;
