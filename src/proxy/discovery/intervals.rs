//! Timing of the calls to discovery.
//!
//! The operators' terms set a deadline after which a change counts as known to the proxy although its watch did not
//! deliver the change: [`MAX_CHANGE_DELAY_AFTER_STALL`] after the watch stalled, or [`MAX_CHANGE_DELAY_AFTER_LONG_POLL`] after its long-poll
//! timeout if that is later; [`MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE`] after a change of discovery's address. The watch must be open
//! again before this deadline, although the call that opens it may be queued at discovery for 2 s. The timeouts below
//! allow for that.

use crate::spread::golden_ratio_position;
use std::time::Duration;

/// Operators' term: time from the stall of a watch until a change counts as known.
pub const MAX_CHANGE_DELAY_AFTER_STALL: Duration = Duration::from_secs(6);
/// Operators' term: least time from the long-poll timeout of a stalled watch until a change counts as known.
pub const MAX_CHANGE_DELAY_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// Operators' term: time from a change of discovery's address until a change of the list counts as known.
pub const MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// Long-poll timeout if discovery is an agent on the same machine. It limits how long a broken call goes unnoticed.
const PUSHED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean long-poll timeout if all proxies share discovery. It is long so that discovery receives fewer calls.
const POLLED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that each proxy adds to the range of the proxies' long-poll timeouts. The timeouts differ so that watches that
/// stall at the same time are not opened again at the same time.
const LONG_POLL_SPREAD_PER_PROXY: Duration = Duration::from_secs(1);
/// Maximum size of that range.
const MAX_LONG_POLL_SPREAD: Duration = Duration::from_secs(30);
/// Long-poll timeout of a call that opens a watch on a shared discovery. The call may also be queued there.
const OPENING_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call that may be queued at discovery. Discovery keeps dropped calls in its queue, so a shorter timeout
/// would make the queue longer.
const QUEUED_CALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time from the long-poll timeout of a call that is not queued until its watch counts as stalled. Discovery answers at
/// the long-poll timeout, so this is the time allowed for the transmission of the response.
const WATCH_STALL_DELAY: Duration = Duration::from_millis(250);
/// Time between a failed call to an agent and the next one: less than the shortest drain grace period, 250 ms.
pub const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(100);

const _: () = {
    let pushed_retry_ms = PUSHED_LONG_POLL_TIMEOUT.as_millis()
        + WATCH_STALL_DELAY.as_millis()
        + PUSHED_RETRY_DELAY.as_millis();
    assert!(
        pushed_retry_ms < MAX_CHANGE_DELAY_AFTER_STALL.as_millis(),
        "a stalled watch on an agent must be opened again before its changes count as known"
    );
    assert!(
        WATCH_STALL_DELAY.as_millis() < MAX_CHANGE_DELAY_AFTER_LONG_POLL.as_millis(),
        "a stalled watch on a shared discovery must fail before its changes count as known"
    );
    assert!(
        QUEUED_CALL_TIMEOUT.as_millis() < MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE.as_millis(),
        "the first call to a new address must end before its changes count as known"
    );
};

/// The timeouts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// Time for which discovery may wait for a change before it answers.
    pub long_poll_timeout: Duration,
    /// Time after which the call fails.
    pub call_timeout: Duration,
}

impl CallTiming {
    /// The timeouts of a call for the complete list, which discovery answers without waiting but may queue.
    pub const COMPLETE_LIST: Self = Self {
        long_poll_timeout: Duration::ZERO,
        call_timeout: QUEUED_CALL_TIMEOUT,
    };

    /// The timeouts of a watch on an agent.
    pub const PUSHED: Self = Self::continued(PUSHED_LONG_POLL_TIMEOUT);

    /// The timeouts of a call that opens a watch on a shared discovery.
    pub const OPENING: Self = Self {
        long_poll_timeout: OPENING_LONG_POLL_TIMEOUT,
        call_timeout: QUEUED_CALL_TIMEOUT,
    };

    /// Returns the timeouts of a call that continues a watch, which discovery does not queue.
    #[must_use]
    pub const fn continued(long_poll_timeout: Duration) -> Self {
        Self {
            long_poll_timeout,
            call_timeout: long_poll_timeout.saturating_add(WATCH_STALL_DELAY),
        }
    }
}

/// Returns the long-poll timeout of a proxy if all proxies share discovery.
#[must_use]
pub fn polled_long_poll_timeout(proxy_index: u32, proxy_count: u32) -> Duration {
    let other_proxies = proxy_count.saturating_sub(1);
    let spread = (LONG_POLL_SPREAD_PER_PROXY * other_proxies).min(MAX_LONG_POLL_SPREAD);
    let offset = spread.mul_f64(golden_ratio_position(proxy_index));
    POLLED_LONG_POLL_TIMEOUT - spread / 2 + offset
}

#[cfg(test)]
mod tests;
