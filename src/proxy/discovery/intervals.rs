//! Timing of the calls to discovery.
//!
//! The operators require that the proxy applies a change of the endpoint list by a deadline even if its watch does not
//! deliver the change: [`MAX_CHANGE_DELAY_AFTER_STALL`] after the watch stalled, or
//! [`MAX_CHANGE_DELAY_AFTER_LONG_POLL`] after the long-poll timeout of the stalled watch if that is later;
//! [`MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE`] after a change of discovery's address. From this deadline on, the proxy
//! counts as notified of the change. The watch must be open again before the deadline, although the call that opens it
//! may be queued at discovery for 2 s. The timeouts below allow for that.

use crate::spread::golden_ratio_position;
use std::time::Duration;

/// Maximum time from the stall of a watch until the proxy has applied a change of the endpoint list.
pub const MAX_CHANGE_DELAY_AFTER_STALL: Duration = Duration::from_secs(6);
/// Maximum time from the long-poll timeout of a stalled watch until the proxy has applied a change of the endpoint
/// list. It replaces [`MAX_CHANGE_DELAY_AFTER_STALL`] if it ends later.
pub const MAX_CHANGE_DELAY_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// Maximum time from a change of discovery's address until the proxy has applied a change of the endpoint list.
pub const MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// Long-poll timeout if discovery is an agent on the same machine. It limits how long a broken connection goes
/// unnoticed.
const PUSHED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean long-poll timeout if all proxies share discovery. A long timeout reduces the number of calls to discovery.
const POLLED_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time by which each further proxy widens the range of the long-poll timeouts of all proxies. The timeouts differ, so
/// that watches that stall at the same time are not opened again at the same time.
const LONG_POLL_SPREAD_PER_PROXY: Duration = Duration::from_secs(1);
/// Maximum width of the range of the long-poll timeouts of all proxies.
const MAX_LONG_POLL_SPREAD: Duration = Duration::from_secs(30);
/// Long-poll timeout of a call that opens a watch on a shared discovery. The call may be queued at discovery in
/// addition.
const OPEN_WATCH_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call that may be queued at discovery. Discovery keeps dropped calls in its queue, so a shorter timeout
/// would make the queue longer.
const QUEUED_CALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time from the long-poll timeout of a call that is not queued until its watch counts as stalled. Discovery answers at
/// the long-poll timeout, so this delay allows for the transmission of the response.
const WATCH_STALL_DELAY: Duration = Duration::from_millis(250);
/// Time between a failed call to an agent and the next call. It is less than the shortest drain grace period, 250 ms.
pub const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(100);

const _: () = {
    let pushed_retry_ms = PUSHED_LONG_POLL_TIMEOUT.as_millis()
        + WATCH_STALL_DELAY.as_millis()
        + PUSHED_RETRY_DELAY.as_millis();
    assert!(
        pushed_retry_ms < MAX_CHANGE_DELAY_AFTER_STALL.as_millis(),
        "a stalled watch on an agent must be reopened before the deadline for applying a change"
    );
    assert!(
        WATCH_STALL_DELAY.as_millis() < MAX_CHANGE_DELAY_AFTER_LONG_POLL.as_millis(),
        "a stalled watch on a shared discovery must fail before the deadline for applying a change"
    );
    assert!(
        QUEUED_CALL_TIMEOUT.as_millis() < MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE.as_millis(),
        "the first call to a new address must end before the deadline for applying a change"
    );
};

/// The timeouts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// Time for which discovery may wait for a change of the list before it answers.
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

    /// The timeouts of each call of a watch on an agent.
    pub const PUSHED: Self = Self::for_continued_watch(PUSHED_LONG_POLL_TIMEOUT);

    /// The timeouts of a call that opens a watch on a shared discovery.
    pub const OPEN_WATCH: Self = Self {
        long_poll_timeout: OPEN_WATCH_LONG_POLL_TIMEOUT,
        call_timeout: QUEUED_CALL_TIMEOUT,
    };

    /// Returns the timeouts of a call that continues a watch, which discovery does not queue.
    #[must_use]
    pub const fn for_continued_watch(long_poll_timeout: Duration) -> Self {
        Self {
            long_poll_timeout,
            call_timeout: long_poll_timeout.saturating_add(WATCH_STALL_DELAY),
        }
    }
}

/// Returns the long-poll timeout with which a proxy continues a watch if all proxies share discovery. The timeouts of
/// all proxies are distributed evenly around their mean.
#[must_use]
pub fn polled_long_poll_timeout(proxy_index: u32, proxy_count: u32) -> Duration {
    let other_proxies = proxy_count.saturating_sub(1);
    let spread = (LONG_POLL_SPREAD_PER_PROXY * other_proxies).min(MAX_LONG_POLL_SPREAD);
    let offset = spread.mul_f64(golden_ratio_position(proxy_index));
    POLLED_LONG_POLL_TIMEOUT - spread / 2 + offset
}

#[cfg(test)]
mod tests;
