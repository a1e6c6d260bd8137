//! The discovery stand-in: the real protocol over loopback, for real processes and hollow proxies alike.
//!
//! - [`board`]: entries, revisions, and answers serialized once for all callers.
//! - [`turns`]: calls that begin a watch have their turn one after another.
//! - [`service`]: one service, its listeners and its calls.

pub mod board;
pub mod service;
pub mod turns;

#[cfg(test)]
mod tests;

use super::counted::Traffic;
use super::scenario::{Discovery, DiscoveryMode, DownCalls, RELOAD_CLOSES_AFTER};
use super::spread::SpreadTracker;
use board::{Board, Entry};
use service::{Availability, Caller, Service};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use turns::Turns;

/// Discovery as the fleet sees it: the service that answers now, and what each real process exchanged with
/// it.
#[derive(Debug)]
pub struct StandIn {
    settings: Discovery,
    tracker: Arc<SpreadTracker>,
    service: Arc<Service>,
    traffic: Vec<Arc<Traffic>>,
    addresses: Addresses,
}

/// Where a service listens.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// One address for each real process, so that its bytes can be told from those of others.
    pub real: Vec<SocketAddr>,
    /// One address for all hollow proxies.
    pub hollow: SocketAddr,
}

/// A service that is to take the place of the present one.
#[derive(Debug)]
pub struct Move {
    service: Arc<Service>,
    /// Where it listens.
    pub addresses: Addresses,
}

impl StandIn {
    /// Starts a service that lists these entries, with its first revision 1.
    ///
    /// # Errors
    /// Where no port is left.
    pub async fn start(
        settings: Discovery,
        entries: Vec<Entry>,
        real: usize,
        tracker: Arc<SpreadTracker>,
    ) -> io::Result<Self> {
        let traffic: Vec<Arc<Traffic>> = (0..real).map(|_| Arc::default()).collect();
        let board = Board::new(entries, 1);
        let (service, addresses) = open(&settings, board, &traffic, &tracker).await?;
        Ok(Self {
            settings,
            tracker,
            service,
            traffic,
            addresses,
        })
    }

    /// Where the present service listens.
    #[must_use]
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// The service that answers now.
    #[must_use]
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// What a real process exchanged with all services so far.
    #[must_use]
    pub fn traffic(&self, process: usize) -> &Traffic {
        &self.traffic[process]
    }

    /// Changes entries in one revision. It is told once discovery has noticed it; this does not wait for
    /// that.
    pub fn change(&self, which: Vec<usize>, how: impl FnMut(&mut Entry) + Send + 'static) {
        let (service, notice) = (
            Arc::clone(&self.service),
            Duration::from_millis(self.settings.notice_ms),
        );
        let made = Instant::now();
        tokio::spawn(async move {
            sleep(notice).await;
            service.change(&which, how, made);
        });
    }

    /// Opens a service at new addresses, with the same entries in a revision that the present one has not
    /// had. Nobody knows of it until [`Self::complete_move`].
    ///
    /// # Errors
    /// Where no port is left.
    pub async fn prepare_move(&self) -> io::Result<Move> {
        let board = self.service.board().moved();
        let (service, addresses) =
            open(&self.settings, board, &self.traffic, &self.tracker).await?;
        Ok(Move { service, addresses })
    }

    /// Discovery is at the new addresses from now on. The old ones take no new connection, and close those
    /// that are open after 1.5 s. The move counts as a change: it is known to whoever holds the new service's
    /// first list.
    pub fn complete_move(&mut self, to: Move) {
        self.tracker
            .changed(to.service.board().revision(), Instant::now());
        self.addresses = to.addresses;
        let old = std::mem::replace(&mut self.service, to.service);
        old.become_available(Availability::Leaving);
        tokio::spawn(async move {
            sleep(RELOAD_CLOSES_AFTER).await;
            old.become_available(Availability::Closed);
        });
    }

    /// Discovery goes down; watches end.
    pub fn go_down(&self, calls: DownCalls) {
        self.service.become_available(Availability::Down(calls));
    }

    /// Discovery returns, with one entry changed: it is known to whoever has heard of the return.
    pub fn come_back(&self) {
        self.service.change(&[0], |_| {}, Instant::now());
        self.service.become_available(Availability::Up);
    }
}

async fn open(
    settings: &Discovery,
    board: Board,
    traffic: &[Arc<Traffic>],
    tracker: &Arc<SpreadTracker>,
) -> io::Result<(Arc<Service>, Addresses)> {
    let longest_wait = Duration::from_millis(settings.turn_timeout_ms);
    let turns = (settings.mode == DiscoveryMode::Ask)
        .then(|| Turns::new(settings.calls_per_s, longest_wait));
    let service = Service::new(board, turns, Arc::clone(tracker));
    let hollow = Arc::clone(&service).listen(Caller::Hollow).await?;
    let mut real = Vec::with_capacity(traffic.len());
    for (process, traffic) in traffic.iter().enumerate() {
        let caller = Caller::Real {
            process,
            traffic: Arc::clone(traffic),
        };
        real.push(Arc::clone(&service).listen(caller).await?);
    }
    Ok((service, Addresses { real, hollow }))
}
