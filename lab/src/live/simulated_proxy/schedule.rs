//! Schedule of the calls of a simulated proxy to discovery.
//!
//! In mode `on_request`, a balancer without backends decides when discovery is called. The timeouts are those of
//! [`tillerproxy::proxy::discovery`].

use super::WatchPhase;
use std::time::Duration;
use tillerproxy::api::{Action, DiscoveryMode, Event, MembershipEvent, Settings, SettingsError};
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::discovery::{CallTiming, PUSHED_RETRY_DELAY, polled_long_poll_timeout};

/// Schedule of the calls of one simulated proxy.
pub struct CallSchedule {
    balancer: Balancer,
    mode: DiscoveryMode,
    /// Long-poll timeout of a continued watch in mode `on_request`.
    long_poll_timeout: Duration,
}

impl CallSchedule {
    /// Creates the schedule of a proxy that has made no call.
    ///
    /// # Errors
    /// The balancer rejects the settings; the error names the first invalid one.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let long_poll_timeout =
            polled_long_poll_timeout(settings.proxy_index, settings.proxy_count);
        Ok(Self {
            mode: settings.discovery_mode,
            long_poll_timeout,
            balancer: Balancer::new(settings, seed, 0)?,
        })
    }

    /// Returns the delay from the start of the proxy to the first call.
    pub fn initial_delay(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => Duration::ZERO,
            DiscoveryMode::Polled => self.notify_balancer(MembershipEvent::Cached(&[])),
        }
    }

    /// Returns the delay from a failed call to the next one.
    pub fn retry_delay(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_RETRY_DELAY,
            DiscoveryMode::Polled => self.notify_balancer(MembershipEvent::WatchFailed),
        }
    }

    /// Records a successful call, which resets the backoff.
    pub fn record_success(&mut self) {
        self.notify_balancer(MembershipEvent::Delta(&[]));
    }

    /// Notifies the balancer of a membership event and returns the delay until the next call: the longest of the
    /// timers that the balancer sets.
    fn notify_balancer(&mut self, event: MembershipEvent<'_>) -> Duration {
        let mut actions = Vec::new();
        self.balancer
            .handle(0, Event::Membership(event), &mut actions);
        let mut delay = Duration::ZERO;
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                delay = delay.max(Duration::from_micros(*after));
            }
        }
        delay
    }

    /// Returns the timeouts of a call that watches for changes.
    #[must_use]
    pub fn watch_timing(&self, phase: WatchPhase) -> CallTiming {
        match (self.mode, phase) {
            (DiscoveryMode::Pushed, _) => CallTiming::PUSHED,
            (DiscoveryMode::Polled, WatchPhase::Opening) => CallTiming::OPEN_WATCH,
            (DiscoveryMode::Polled, WatchPhase::Continued) => {
                CallTiming::for_continued_watch(self.long_poll_timeout)
            }
        }
    }
}
