//! Times that several modules of the proxy share.

use std::time::Duration;

/// How long a streamed response may make no progress, because the backend sends nothing or the
/// client reads nothing.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client has to send a request with its body, to which the time is added that its bytes need at the
/// least rate. For the first request of a connection it counts from connecting, for others from their head.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a client connection may bring no byte between requests, or before the first one. As long as a request
/// may take.
pub const CLIENT_IDLE_TIMEOUT: Duration = REQUEST_TIMEOUT;
/// Pause after an accept that failed.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
