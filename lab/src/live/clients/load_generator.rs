//! Open-loop load generator: requests are sent at random times, independently of earlier responses.

use super::connection_pool::ConnectionPool;
use super::outcomes::{RequestOutcome, RequestOutcomes};
use crate::live::http::HttpError;
use crate::live::proxy_config::{CLIENT_TIMEOUT_MS, REQUEST_CLASS};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep_until, timeout};

/// A load generator that runs until [`LoadGenerator::stop`].
#[derive(Debug)]
pub struct LoadGenerator {
    task: JoinHandle<RequestOutcomes>,
    stop: watch::Sender<bool>,
}

impl LoadGenerator {
    /// Starts sending `requests_per_second` requests on average (a Poisson process), each to a randomly drawn
    /// address. `addresses` must not be empty.
    ///
    /// # Panics
    /// The started task panics if the rate is not above 0.
    #[must_use]
    pub fn start(addresses: &[SocketAddr], requests_per_second: f64, seed: u64) -> Self {
        let pools: Arc<[ConnectionPool]> = addresses
            .iter()
            .map(|&address| ConnectionPool::new(address))
            .collect();
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(send_requests(pools, requests_per_second, seed, stopped));
        Self { task, stop }
    }

    /// Stops sending, waits for the requests in flight, and returns the outcomes of all requests.
    pub async fn stop(self) -> RequestOutcomes {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

async fn send_requests(
    pools: Arc<[ConnectionPool]>,
    requests_per_second: f64,
    seed: u64,
    mut stopped: watch::Receiver<bool>,
) -> RequestOutcomes {
    let mut rng = SmallRng::seed_from_u64(seed);
    let intervals =
        Exp::new(requests_per_second).expect("load generators are started only for rates above 0");
    let mut outcomes = RequestOutcomes::default();
    let mut in_flight = JoinSet::new();
    let mut next_at = tokio::time::Instant::now();
    loop {
        next_at += Duration::from_secs_f64(intervals.sample(&mut rng));
        tokio::select! {
            () = sleep_until(next_at) => {}
            _ = stopped.wait_for(|&stop| stop) => break,
        }
        let pool = rng.random_range(0..pools.len());
        let correlation_id = rng.random::<u64>();
        let key = rng.random::<u64>();
        let pools = Arc::clone(&pools);
        in_flight.spawn(async move { send_request(&pools[pool], correlation_id, key).await });
        while let Some(outcome) = in_flight.try_join_next() {
            outcomes.record(outcome.unwrap_or(RequestOutcome::Disconnected));
        }
    }
    while let Some(outcome) = in_flight.join_next().await {
        outcomes.record(outcome.unwrap_or(RequestOutcome::Disconnected));
    }
    outcomes
}

async fn send_request(pool: &ConnectionPool, correlation_id: u64, key: u64) -> RequestOutcome {
    let limit = Duration::from_millis(CLIENT_TIMEOUT_MS);
    match timeout(limit, exchange(pool, correlation_id, key)).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => RequestOutcome::Disconnected,
        Err(_) => RequestOutcome::TimedOut,
    }
}

async fn exchange(
    pool: &ConnectionPool,
    correlation_id: u64,
    key: u64,
) -> Result<RequestOutcome, HttpError> {
    let address = pool.address();
    let exchange_error = |source| HttpError::Exchange { address, source };
    let mut sender = pool.take().await?;
    sender.ready().await.map_err(exchange_error)?;
    let request = Request::get(format!("/{REQUEST_CLASS}?key={key:016x}"))
        .header("Host", "app.svc")
        .header("X-Correlation-Id", format!("{correlation_id:016x}"))
        .header("X-Service-Class", REQUEST_CLASS)
        .header("X-Time-Left-Ms", CLIENT_TIMEOUT_MS)
        .body(Empty::new())?;
    let sent_at = Instant::now();
    let response = sender.send_request(request).await.map_err(exchange_error)?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(exchange_error)?;
    let latency = sent_at.elapsed();
    pool.put_back(sender);
    Ok(classify(status, &body.to_bytes(), latency))
}

/// Classifies a response. The body of a response with status 200 is the backend's service time in microseconds.
fn classify(status: StatusCode, body: &Bytes, latency: Duration) -> RequestOutcome {
    match status {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            return RequestOutcome::Rejected;
        }
        _ => return RequestOutcome::Failed,
    }
    let Ok(text) = std::str::from_utf8(body) else {
        return RequestOutcome::Disconnected;
    };
    match text.parse() {
        Ok(micros) => RequestOutcome::Served {
            latency,
            service_time: Duration::from_micros(micros),
        },
        Err(_) => RequestOutcome::Failed,
    }
}
