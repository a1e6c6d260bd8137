//! Connections to the backends, and the attempts and health checks that go out on them.
//!
//! A request is written to a connection once and never again by this side: whether it may be repeated is the
//! balancer's to decide, and it can only decide that if it knows whether the last byte was written, so every
//! connection counts what its socket took.
//!
//! | module | job |
//! | --- | --- |
//! | `backend_connections`, `listed_backends` | one backend and its idle connections; the backends that discovery lists |
//! | `pool` | idle connections: kept, reused, closed |
//! | `connection` | one connection, from connecting on |
//! | `stray_bytes` | bytes that belong to no request, and the delay before a reuse that they call for |
//! | `call` | what an attempt takes and returns |
//! | `attempt`, `health_check` | one attempt of a request; one health check |
//! | `request`, `exchange`, `relay` | the HTTP request as written, its response as read, a response relayed |
//! | `response`, `load_report` | a response in the balancer's terms |
//! | `error` | why there is no response |

mod attempt;
mod backend_connections;
mod call;
mod connection;
mod error;
mod exchange;
mod health_check;
mod listed_backends;
mod load_report;
mod pool;
mod relay;
mod request;
mod response;
mod stray_bytes;

pub use backend_connections::BackendConnections;
pub use call::{AttemptDeadlines, AttemptResult, CORRELATION_ID, Call, RequestOver, Served};

use super::counters::Counters;
use crate::api::{BackendId, Micros, Readiness};
use load_report::LoadReportParser;
use pool::{ConnectionPool, PoolLimits};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// All backends that discovery lists, and the connections to them.
pub struct BackendClient {
    pool: ConnectionPool,
    load_reports: LoadReportParser,
}

impl BackendClient {
    /// Creates a set without backends. `idle_timeout` is how long backends keep an idle connection,
    /// `load_report_fields` the fields of a load report in the order that the balancer knows.
    #[must_use]
    pub fn new(
        max_sockets: usize,
        connect_timeout: Micros,
        idle_timeout: Micros,
        load_report_fields: Vec<String>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let limits = PoolLimits {
            max_sockets,
            connect_timeout: Duration::from_micros(connect_timeout),
            idle_timeout: Duration::from_micros(idle_timeout),
        };
        Rc::new(Self {
            pool: ConnectionPool::new(limits, counters),
            load_reports: LoadReportParser::new(load_report_fields),
        })
    }

    /// Returns the number of listed backends.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pool.listed_backends.len()
    }

    /// Returns whether none is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the connections of a backend, if discovery lists it.
    #[must_use]
    pub fn connections(&self, id: BackendId) -> Option<Rc<BackendConnections>> {
        self.pool.listed_backends.get(id)
    }

    /// Applies what discovery says of one backend.
    pub fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started_at: Option<Micros>,
    ) {
        self.pool
            .listed_backends
            .update(id, address, readiness, started_at);
    }

    /// Removes the backends that a complete list does not name.
    pub fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.pool.listed_backends.retain(is_listed);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(connections) = self.connections(id) {
            connections.close_idle();
        }
    }

    /// Closes connections that have been idle for too long, for as long as the proxy runs.
    pub async fn sweep(self: Rc<Self>) {
        self.pool.sweep().await;
    }
}

#[cfg(test)]
mod tests;
