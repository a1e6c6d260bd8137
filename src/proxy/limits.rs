//! Sizes and times that limit clients, backends and operators, and that several modules share. The limits of
//! concurrency are the balancer's.

use std::time::Duration;

/// The largest body of a response that is buffered completely, and the part of a request's body that needs no
/// reservation of memory: each connection is budgeted for it.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body that is forwarded either way: clients send up to 32 MB.
pub const MAX_FORWARDED_BODY_BYTES: u64 = 40 << 20;
/// The largest head of a request. Each client connection is budgeted for it.
pub const MAX_CLIENT_HEAD_BYTES: usize = 16 * 1024;
/// The largest head of a response, and what a connection to a backend reads ahead: an
/// endless head must not take memory until the request times out.
pub const MAX_BACKEND_HEAD_BYTES: usize = 16 * 1024;
/// How long a streamed response may make no progress, because the backend sends nothing or the
/// client reads nothing.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client has to send a request with its body, to which the time is added that its bytes need at the
/// least rate. For the first request of a connection it counts from connecting, for others from their head.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a client connection may bring no byte between requests, or before the first one. As long as a request
/// may take: either way it occupies a descriptor without a backend's work.
pub const CLIENT_IDLE_TIMEOUT: Duration = REQUEST_TIMEOUT;
/// Pause after an accept that failed.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The most operators' calls that are open at a time.
pub const MAX_OPERATOR_CALLS: usize = 12;
