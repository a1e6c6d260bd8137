//! Limits that several modules share: sizes in bytes, and times.

use std::time::Duration;

/// What is buffered whole of any body; beyond it, the first bytes of an answer matter.
pub const BODY_CAP: usize = 64 * 1024;
/// The largest body that is passed on, either way. They reach 32 MB.
pub const FORWARDED_BODY_CAP: u64 = 40 << 20;
/// The largest head of a request.
pub const CLIENT_HEAD_CAP: usize = 16 * 1024;
/// The largest head of an answer, and what a connection to a backend reads ahead: one that does not end must
/// not take memory until the request's time is up.
pub const BACKEND_HEAD_CAP: usize = 16 * 1024;
/// How long a backend may say nothing, and a client take nothing, of an answer that has begun.
pub const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may take for a request, its body too. For the first one on a connection this counts from
/// connecting. It is also how long a client may stay idle.
pub const REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// How long nothing is accepted after an accept that failed.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Calls of operators that may be open at a time. Beyond it the one that came first goes: a call that is
/// whole is answered at once, so that one has been waited for longest.
pub const MAX_OPERATOR_CALLS: usize = 12;
