//! Timing of the calls to discovery.
//!
//! The operators' terms say when a change counts as known to the proxy although a watch could not deliver it:
//! [`KNOWN_AFTER_STALL`] after the watch stalled, or [`KNOWN_AFTER_LONG_POLL`] after its long-poll timeout if that is
//! later; [`KNOWN_AFTER_ADDRESS_CHANGE`] after a change of discovery's address. By then the watch has to be opened
//! again, and the call for that may have queued at discovery for 2 s. The timeouts below are chosen so that it can be.

use crate::spread::golden_ratio_position;
use std::time::Duration;

/// A term of the operators: a change counts as known this long after the watch stalled.
pub const KNOWN_AFTER_STALL: Duration = Duration::from_secs(6);
/// A term of the operators: a change does not count as known before this long after the stalled watch's long-poll
/// timeout.
pub const KNOWN_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// A term of the operators: a change counts as known this long after discovery's address changed.
pub const KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// Long-poll timeout where discovery is an agent on the same machine: bounds how long a broken call
/// goes unnoticed.
const PUSHED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean long-poll timeout where all proxies share discovery: a long one spares it calls.
const POLLED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// The proxies' long-poll timeouts are spread over this span for each of them, so that watches that
/// stall together are not opened again together.
const LONG_POLL_SPREAD_PER_PROXY: Duration = Duration::from_secs(1);
const MAX_LONG_POLL_SPREAD: Duration = Duration::from_secs(30);
/// Long-poll timeout of a call that opens a watch on a shared discovery, where it may queue as
/// well.
const OPENING_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call that may queue at discovery, which keeps the place of a call that was dropped:
/// a shorter one would make the queue longer.
const QUEUED_CALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after its long-poll timeout at which a watch that does not queue counts as stalled: discovery answers at
/// once then, so this is the time that the response may travel.
const WATCH_STALL_DELAY: Duration = Duration::from_millis(250);
/// Time between a failed call to an agent and the next one: short compared with the shortest drain
/// grace period, 250 ms.
pub const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(100);

const _: () = {
    let pushed_retry_ms = PUSHED_LONG_POLL_TIMEOUT.as_millis()
        + WATCH_STALL_DELAY.as_millis()
        + PUSHED_RETRY_DELAY.as_millis();
    assert!(
        pushed_retry_ms < KNOWN_AFTER_STALL.as_millis(),
        "a stalled watch on an agent is opened again before its changes count as known"
    );
    assert!(
        WATCH_STALL_DELAY.as_millis() < KNOWN_AFTER_LONG_POLL.as_millis(),
        "a stalled watch on a shared discovery fails before its changes count as known"
    );
    assert!(
        QUEUED_CALL_TIMEOUT.as_millis() < KNOWN_AFTER_ADDRESS_CHANGE.as_millis(),
        "the first call to a new address ends before its changes count as known"
    );
};

/// The times of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// How long discovery may wait for a change before it answers.
    pub long_poll_timeout: Duration,
    /// How long the call may take before it has failed.
    pub call_timeout: Duration,
}

impl CallTiming {
    /// The times of a call for the complete list, which is answered at once but may queue.
    pub const COMPLETE_LIST: Self = Self {
        long_poll_timeout: Duration::ZERO,
        call_timeout: QUEUED_CALL_TIMEOUT,
    };

    /// The times of a watch on an agent.
    pub const PUSHED: Self = Self::continued(PUSHED_LONG_POLL_TIMEOUT);

    /// The times of a call that opens a watch on a shared discovery.
    pub const OPENING: Self = Self {
        long_poll_timeout: OPENING_LONG_POLL_TIMEOUT,
        call_timeout: QUEUED_CALL_TIMEOUT,
    };

    /// The times of a call that continues a watch: it does not queue.
    #[must_use]
    pub const fn continued(long_poll_timeout: Duration) -> Self {
        Self {
            long_poll_timeout,
            call_timeout: long_poll_timeout.saturating_add(WATCH_STALL_DELAY),
        }
    }
}

/// Returns the long-poll timeout of a proxy where all proxies share discovery.
#[must_use]
pub fn polled_long_poll_timeout(proxy_index: u32, proxy_count: u32) -> Duration {
    let other_proxies = proxy_count.saturating_sub(1);
    let spread = (LONG_POLL_SPREAD_PER_PROXY * other_proxies).min(MAX_LONG_POLL_SPREAD);
    let offset = spread.mul_f64(golden_ratio_position(proxy_index));
    POLLED_LONG_POLL_TIMEOUT - spread / 2 + offset
}

#[cfg(test)]
mod tests;
