//! Time limits that several modules of the proxy share.

use std::time::Duration;

/// Longest time for which the client of a response may read nothing.
pub const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must send a complete request, extended for a body that keeps the minimum rate (see
/// [`WaitAllowance`](super::bodies::WaitAllowance)). This limits how long an incomplete request may occupy a
/// connection. The time counts from the accept for the first request of a connection, and from the head for later
/// requests.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest time for which a client connection may receive no bytes between requests or before the first one. It equals
/// the time that a request may take.
pub const CLIENT_IDLE_TIMEOUT: Duration = REQUEST_TIMEOUT;
/// Interval at which reading ahead is tried again while there is no memory for it.
pub const READ_AHEAD_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failed accept.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
