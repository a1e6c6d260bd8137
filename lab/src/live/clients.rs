//! Clients: an open loop of requests, through a proxy or straight to the backends.

use super::http::{self, CallError};
use super::latency::LatencyHistogram;
use super::proxy_config::{CLASS, DEADLINE_MS};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

/// A connection that was idle for longer may be closed by the proxy at any moment.
const REUSED_WITHIN: Duration = Duration::from_millis(1_500);

/// What became of the requests of one source.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Latency of those that were served.
    pub latency: LatencyHistogram,
    /// The part of it that the backend did not take.
    pub outside: LatencyHistogram,
    /// Requests by how they ended.
    pub counts: Counts,
}

/// Requests by how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection failed or broke.
    pub broken: u64,
    /// Not answered in time.
    pub late: u64,
}

impl Counts {
    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            broken: self.broken + other.broken,
            late: self.late + other.late,
        }
    }
}

/// How one request ended.
enum Ended {
    Served {
        latency: Duration,
        service: Duration,
    },
    Refused,
    Failed,
    Broken,
    Late,
}

impl Outcomes {
    fn record(&mut self, ended: &Ended) {
        self.counts.sent += 1;
        match ended {
            Ended::Served { latency, service } => {
                self.counts.served += 1;
                self.latency.record(*latency);
                self.outside.record(latency.saturating_sub(*service));
            }
            Ended::Refused => self.counts.refused += 1,
            Ended::Failed => self.counts.failed += 1,
            Ended::Broken => self.counts.broken += 1,
            Ended::Late => self.counts.late += 1,
        }
    }
}

/// Idle connections to one address.
#[derive(Debug)]
struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<(SendRequest<Empty<Bytes>>, Instant)>>,
}

impl ConnectionPool {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<(SendRequest<Empty<Bytes>>, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection used last, if it is fresh; otherwise a new one.
    async fn take(&self) -> Result<SendRequest<Empty<Bytes>>, CallError> {
        let fresh = {
            let mut idle = self.idle();
            idle.retain(|(sender, since)| !sender.is_closed() && since.elapsed() < REUSED_WITHIN);
            idle.pop()
        };
        match fresh {
            Some((sender, _)) => Ok(sender),
            None => http::connect(self.address).await,
        }
    }

    fn put_back(&self, sender: SendRequest<Empty<Bytes>>) {
        self.idle().push((sender, Instant::now()));
    }
}

/// A source of requests that runs until it is stopped.
#[derive(Debug)]
pub struct Source {
    task: tokio::task::JoinHandle<Outcomes>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Source {
    /// Sends so many requests a second in the mean, at random times, each to one of the addresses by chance.
    /// The rate has to be above 0.
    #[must_use]
    pub fn start(addresses: &[SocketAddr], per_second: f64, seed: u64) -> Self {
        let pools: Arc<[ConnectionPool]> = addresses
            .iter()
            .map(|&address| ConnectionPool::new(address))
            .collect();
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let task = tokio::spawn(send_requests(pools, per_second, seed, stopped));
        Self { task, stop }
    }

    /// Sends no more, waits for what is out, and tells what became of all.
    pub async fn stop(self) -> Outcomes {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

async fn send_requests(
    pools: Arc<[ConnectionPool]>,
    per_second: f64,
    seed: u64,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gaps = Exp::new(per_second).expect("the rate is above 0");
    let mut outcomes = Outcomes::default();
    let mut out = JoinSet::new();
    let mut next = tokio::time::Instant::now();
    loop {
        next += Duration::from_secs_f64(gaps.sample(&mut rng));
        tokio::select! {
            () = sleep_until(next) => {}
            _ = stopped.wait_for(|&stop| stop) => break,
        }
        let pool = rng.random_range(0..pools.len());
        let (id, key) = (rng.random::<u64>(), rng.random::<u64>());
        let pools = Arc::clone(&pools);
        out.spawn(async move { request(&pools[pool], id, key).await });
        while let Some(ended) = out.try_join_next() {
            outcomes.record(&ended.unwrap_or(Ended::Broken));
        }
    }
    while let Some(ended) = out.join_next().await {
        outcomes.record(&ended.unwrap_or(Ended::Broken));
    }
    outcomes
}

async fn request(pool: &ConnectionPool, id: u64, key: u64) -> Ended {
    match timeout(Duration::from_millis(DEADLINE_MS), exchange(pool, id, key)).await {
        Ok(Ok(ended)) => ended,
        Ok(Err(_)) => Ended::Broken,
        Err(_) => Ended::Late,
    }
}

async fn exchange(pool: &ConnectionPool, id: u64, key: u64) -> Result<Ended, CallError> {
    let mut sender = pool.take().await?;
    sender.ready().await?;
    let request = Request::get(format!("/{CLASS}?key={key:016x}"))
        .header("Host", "app.svc")
        .header("X-Correlation-Id", format!("{id:016x}"))
        .header("X-Service-Class", CLASS)
        .header("X-Time-Left-Ms", DEADLINE_MS)
        .body(Empty::new())?;
    let sent = Instant::now();
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let latency = sent.elapsed();
    pool.put_back(sender);
    Ok(match status {
        StatusCode::OK => match std::str::from_utf8(&body)?.parse() {
            Ok(service) => Ended::Served {
                latency,
                service: Duration::from_micros(service),
            },
            Err(_) => Ended::Failed,
        },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ended::Refused,
        _ => Ended::Failed,
    })
}
