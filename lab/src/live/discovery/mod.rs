//! The emulated discovery service: serves the real protocol over loopback to real processes and simulated proxies.
//!
//! - [`endpoint_list`]: the endpoint list, its revisions, and responses that are serialized once for all callers.
//! - [`call_queue`]: limits the rate of the calls that do not continue a watch.
//! - [`list_query`]: query parameters of a call.
//! - [`service`]: a service at fixed addresses that answers calls.
//! - [`listener`]: listeners and connections of a service.

pub mod call_queue;
pub mod endpoint_list;
pub mod list_query;
pub mod listener;
pub mod service;

#[cfg(test)]
mod tests;

use super::propagation::PropagationTracker;
use super::scenario::{Discovery, DiscoveryMode, OutageBehavior, RELOAD_GRACE_PERIOD};
use super::traffic::{TrafficCounters, TrafficTotals};
use crate::endpoint_list::Endpoint;
use call_queue::CallQueue;
use endpoint_list::EndpointList;
use service::{Availability, Caller, Service};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Revision of the first endpoint list.
const FIRST_REVISION: u64 = 1;

/// Discovery at changing addresses: the current service, and the traffic between each real process and all services so
/// far.
#[derive(Debug)]
pub struct EmulatedDiscovery {
    settings: Discovery,
    tracker: Arc<PropagationTracker>,
    service: Arc<Service>,
    /// Traffic of each real process with discovery, by proxy index.
    traffic: Vec<Arc<TrafficCounters>>,
    addresses: DiscoveryAddresses,
}

/// Listen addresses of a service.
#[derive(Clone, Debug)]
pub struct DiscoveryAddresses {
    /// One address for each real process, so that its traffic is counted separately.
    pub real: Vec<SocketAddr>,
    /// Address shared by all simulated proxies.
    pub simulated: SocketAddr,
}

/// A service that listens and is about to replace the current one.
#[derive(Debug)]
pub struct SuccessorService {
    service: Arc<Service>,
    /// Listen addresses of the service.
    pub addresses: DiscoveryAddresses,
}

impl EmulatedDiscovery {
    /// Starts a service with these endpoints in its first revision. `real_count` is the number of real processes.
    ///
    /// # Errors
    /// A listener can't be opened.
    pub async fn start(
        settings: Discovery,
        endpoints: Vec<Endpoint>,
        real_count: usize,
        tracker: Arc<PropagationTracker>,
    ) -> io::Result<Self> {
        let traffic: Vec<Arc<TrafficCounters>> = (0..real_count).map(|_| Arc::default()).collect();
        let list = EndpointList::new(endpoints, FIRST_REVISION);
        let (service, addresses) = open_service(&settings, list, &traffic, &tracker).await?;
        Ok(Self {
            settings,
            tracker,
            service,
            traffic,
            addresses,
        })
    }

    /// Returns the listen addresses of the current service.
    #[must_use]
    pub fn addresses(&self) -> &DiscoveryAddresses {
        &self.addresses
    }

    /// Returns the current service.
    #[must_use]
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Returns the traffic between each real process and all services so far.
    #[must_use]
    pub fn traffic(&self) -> Vec<TrafficTotals> {
        self.traffic
            .iter()
            .map(|counters| counters.totals())
            .collect()
    }

    /// Schedules a change of the endpoints at `indices` in one revision and returns immediately. The change becomes
    /// visible after the notification delay; its propagation is measured from now on.
    pub fn change(&self, indices: Vec<usize>, change: impl FnMut(&mut Endpoint) + Send + 'static) {
        let service = Arc::clone(&self.service);
        let delay = Duration::from_millis(self.settings.notification_delay_ms);
        let made_at = Instant::now();
        tokio::spawn(async move {
            sleep(delay).await;
            service.change(&indices, change, made_at);
        });
    }

    /// Opens a service at new addresses, with the same endpoints in the next revision. The current service stays in
    /// place until [`Self::complete_move`].
    ///
    /// # Errors
    /// A listener can't be opened.
    pub async fn prepare_move(&self) -> io::Result<SuccessorService> {
        let list = self.service.endpoint_list().successor();
        let (service, addresses) =
            open_service(&self.settings, list, &self.traffic, &self.tracker).await?;
        Ok(SuccessorService { service, addresses })
    }

    /// Replaces the current service by `successor`. The previous service accepts no new connections and closes the open
    /// ones after [`RELOAD_GRACE_PERIOD`]. The move is recorded as a change, which reaches a proxy with the first list
    /// of the successor.
    pub fn complete_move(&mut self, successor: SuccessorService) {
        let revision = successor.service.endpoint_list().revision();
        self.tracker.record_change(revision, Instant::now());
        self.addresses = successor.addresses;
        let old = std::mem::replace(&mut self.service, successor.service);
        old.set_availability(Availability::Draining);
        tokio::spawn(async move {
            sleep(RELOAD_GRACE_PERIOD).await;
            old.set_availability(Availability::Closed);
        });
    }

    /// Begins an outage, which ends all watches.
    pub fn begin_outage(&self, behavior: OutageBehavior) {
        self.service.set_availability(Availability::Down(behavior));
    }

    /// Ends the outage and records a change of one endpoint, so that the propagation of this change shows when each
    /// proxy has reconnected.
    pub fn end_outage(&self) {
        self.service.change(&[0], |_| {}, Instant::now());
        self.service.set_availability(Availability::Up);
    }
}

async fn open_service(
    settings: &Discovery,
    list: EndpointList,
    traffic: &[Arc<TrafficCounters>],
    tracker: &Arc<PropagationTracker>,
) -> io::Result<(Arc<Service>, DiscoveryAddresses)> {
    let call_queue = match settings.mode {
        DiscoveryMode::Pushed => None,
        DiscoveryMode::Polled => {
            let queue_timeout = Duration::from_millis(settings.queue_timeout_ms);
            Some(CallQueue::new(settings.calls_per_s, queue_timeout))
        }
    };
    let service = Service::new(list, call_queue, Arc::clone(tracker));
    let simulated = listener::open(Arc::clone(&service), Caller::Simulated)?;
    let mut real = Vec::with_capacity(traffic.len());
    for (proxy_index, traffic) in traffic.iter().enumerate() {
        let caller = Caller::Real {
            proxy_index,
            traffic: Arc::clone(traffic),
        };
        real.push(listener::open(Arc::clone(&service), caller)?);
    }
    Ok((service, DiscoveryAddresses { real, simulated }))
}
