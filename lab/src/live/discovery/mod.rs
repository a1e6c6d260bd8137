//! The discovery stand-in: the real protocol over loopback, for real processes and simulated proxies alike.
//!
//! - [`endpoint_list`]: endpoints, revisions, and responses serialized once for all callers.
//! - [`call_queue`]: limits the rate of the calls that begin a watch.
//! - [`list_query`]: the query of a call.
//! - [`service`]: one service, which answers calls.
//! - [`listener`]: the listeners and connections of a service.

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
use call_queue::CallQueue;
use endpoint_list::{Endpoint, EndpointList};
use service::{Availability, Caller, Service};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Revision of the first list.
const FIRST_REVISION: u64 = 1;

/// Discovery as the proxies see it: the present service, and the traffic of each real process with it.
#[derive(Debug)]
pub struct DiscoveryStandIn {
    settings: Discovery,
    tracker: Arc<PropagationTracker>,
    service: Arc<Service>,
    /// Traffic of each real process.
    traffic: Vec<Arc<TrafficCounters>>,
    addresses: DiscoveryAddresses,
}

/// Where a service listens.
#[derive(Clone, Debug)]
pub struct DiscoveryAddresses {
    /// One address for each real process, which tells its traffic from that of others.
    pub real: Vec<SocketAddr>,
    /// One address for all simulated proxies.
    pub simulated: SocketAddr,
}

/// A service that is about to replace the present one.
#[derive(Debug)]
pub struct SuccessorService {
    service: Arc<Service>,
    /// Where it listens.
    pub addresses: DiscoveryAddresses,
}

impl DiscoveryStandIn {
    /// Starts a service that lists these endpoints in its first revision.
    ///
    /// # Errors
    /// Where a listener can't be opened.
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

    /// Returns where the present service listens.
    #[must_use]
    pub fn addresses(&self) -> &DiscoveryAddresses {
        &self.addresses
    }

    /// Returns the present service.
    #[must_use]
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Returns the traffic of each real process with all services so far.
    #[must_use]
    pub fn traffic(&self) -> Vec<TrafficTotals> {
        self.traffic
            .iter()
            .map(|counters| counters.totals())
            .collect()
    }

    /// Changes the endpoints at `indices` in one revision, after the notification delay; does not wait for
    /// that.
    pub fn change(&self, indices: Vec<usize>, change: impl FnMut(&mut Endpoint) + Send + 'static) {
        let service = Arc::clone(&self.service);
        let delay = Duration::from_millis(self.settings.notification_delay_ms);
        let made_at = Instant::now();
        tokio::spawn(async move {
            sleep(delay).await;
            service.change(&indices, change, made_at);
        });
    }

    /// Opens a service at new addresses, with the same endpoints in a revision that the present one has not
    /// had. No proxy learns of it before [`Self::complete_move`].
    ///
    /// # Errors
    /// Where a listener can't be opened.
    pub async fn prepare_move(&self) -> io::Result<SuccessorService> {
        let list = self.service.endpoint_list().successor();
        let (service, addresses) =
            open_service(&self.settings, list, &self.traffic, &self.tracker).await?;
        Ok(SuccessorService { service, addresses })
    }

    /// Replaces the present service. The old one accepts no new connection and closes the open ones after
    /// the grace period. The move counts as a change, which reaches a proxy with the first list of the
    /// successor.
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

    /// Begins an outage; watches end.
    pub fn begin_outage(&self, behavior: OutageBehavior) {
        self.service.set_availability(Availability::Down(behavior));
    }

    /// Ends the outage with one endpoint changed, so that a proxy that has the change has reconnected.
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
    for (process, traffic) in traffic.iter().enumerate() {
        let caller = Caller::Real {
            process,
            traffic: Arc::clone(traffic),
        };
        real.push(listener::open(Arc::clone(&service), caller)?);
    }
    Ok((service, DiscoveryAddresses { real, simulated }))
}
