//! When a simulated proxy calls discovery.
//!
//! The decision module, which has no backends here, says when a polled service is called; the timeouts are
//! those of [`tillerproxy::proxy::discovery`].

use super::WatchPhase;
use std::time::Duration;
use tillerproxy::api::{Action, DiscoveryMode, Event, MembershipEvent, Settings, SettingsError};
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::discovery::{CallTiming, PUSHED_RETRY_DELAY, polled_long_poll_timeout};

/// Schedule of the calls of one simulated proxy.
pub struct CallSchedule {
    balancer: Balancer,
    mode: DiscoveryMode,
    /// The long-poll timeout of a continued watch in mode `on_request`.
    long_poll_timeout: Duration,
}

impl CallSchedule {
    /// Makes the schedule of a proxy that has made no call.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let long_poll_timeout =
            polled_long_poll_timeout(settings.proxy_index, settings.proxy_count);
        Ok(Self {
            mode: settings.discovery_mode,
            long_poll_timeout,
            balancer: Balancer::new(settings, seed, 0)?,
        })
    }

    /// Returns the time from the start to the first call.
    pub fn first_pause(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => Duration::ZERO,
            DiscoveryMode::Polled => self.notify_balancer(MembershipEvent::Cached(&[])),
        }
    }

    /// Returns the time from a failed call to the next one.
    pub fn pause_after_failure(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_RETRY_DELAY,
            DiscoveryMode::Polled => self.notify_balancer(MembershipEvent::WatchFailed),
        }
    }

    /// Records that a call succeeded, which ends the backoff.
    pub fn record_success(&mut self) {
        self.notify_balancer(MembershipEvent::Delta(&[]));
    }

    /// Notifies the decision module of a membership event and returns how long it waits until the next call.
    fn notify_balancer(&mut self, event: MembershipEvent<'_>) -> Duration {
        let mut actions = Vec::new();
        self.balancer
            .handle(0, Event::Membership(event), &mut actions);
        let mut pause = Duration::ZERO;
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                pause = pause.max(Duration::from_micros(*after));
            }
        }
        pause
    }

    /// Returns the times of a call that watches for changes.
    #[must_use]
    pub fn watch_timing(&self, phase: WatchPhase) -> CallTiming {
        match (self.mode, phase) {
            (DiscoveryMode::Pushed, _) => CallTiming::PUSHED,
            (DiscoveryMode::Polled, WatchPhase::Opening) => CallTiming::OPEN_WATCH,
            (DiscoveryMode::Polled, WatchPhase::Continued) => {
                CallTiming::continued(self.long_poll_timeout)
            }
        }
    }
}
