//! Connections to the backends, and the attempts and health checks that are sent on them.
//!
//! An attempt writes its request once. The balancer decides on retries and must know whether the last byte of a request
//! was written, so each connection counts the bytes that are written to its socket.
//!
//! | module | job |
//! | --- | --- |
//! | `backend_connections`, `listed_backends` | the connections of one backend; the table of the listed backends |
//! | `pool` | reuse, keeping and closing of idle connections |
//! | `connection` | connecting; one connection and its socket |
//! | `stray_bytes` | bytes that belong to no request, and the reuse delay that follows them |
//! | `repeated_response` | responses that may be second responses to earlier requests |
//! | `call`, `deadlines` | the request that attempts send, and the result of an attempt; the deadlines of an attempt |
//! | `attempt`, `health_check` | one attempt of a request; one health check |
//! | `request`, `exchange`, `relay` | building a request; its exchange for a response; relaying a streamed response |
//! | `response`, `load_report` | converting a response into the result of an attempt |
//! | `error` | the errors of connecting and of an exchange |

mod attempt;
mod backend_connections;
mod call;
mod connection;
mod deadlines;
mod error;
mod exchange;
mod health_check;
mod listed_backends;
mod load_report;
mod pool;
mod relay;
mod repeated_response;
mod request;
mod response;
mod stray_bytes;

pub use backend_connections::BackendConnections;
pub use call::{AttemptResult, CORRELATION_ID, Call, RequestEnded, ServedResponse};
pub use deadlines::AttemptDeadlines;

use super::budget::Budget;
use super::counters::Counters;
use super::memory::MemoryBudget;
use crate::api::{BackendId, Micros, Readiness};
use load_report::LoadReportParser;
use pool::{ConnectionPool, PoolLimits};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Sends attempts and health checks to the listed backends, and owns the connections to them.
pub struct BackendClient {
    pool: Rc<ConnectionPool>,
    load_reports: LoadReportParser,
    memory: MemoryBudget,
}

impl BackendClient {
    /// Creates a client without listed backends. Its sockets and memory are those of `budget`. Backends keep an idle connection for `idle_timeout`. `load_report_fields` are the names of the
    /// fields of a load report, in the order in which the balancer expects their values.
    #[must_use]
    pub fn new(
        connect_timeout: Micros,
        idle_timeout: Micros,
        load_report_fields: Vec<String>,
        counters: Rc<Counters>,
        budget: Rc<Budget>,
    ) -> Rc<Self> {
        let limits = PoolLimits {
            connect_timeout: Duration::from_micros(connect_timeout),
            idle_timeout: Duration::from_micros(idle_timeout),
        };
        Rc::new(Self {
            pool: Rc::new(ConnectionPool::new(limits, counters, Rc::clone(&budget))),
            load_reports: LoadReportParser::new(load_report_fields),
            memory: budget.memory.clone(),
        })
    }

    /// Returns the number of listed backends.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pool.listed_backends.len()
    }

    /// Returns whether no backend is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the connections of a backend, or `None` if it is not listed.
    #[must_use]
    pub fn connections(&self, id: BackendId) -> Option<Rc<BackendConnections>> {
        self.pool.listed_backends.get(id)
    }

    /// Applies the entry of the endpoint list for one backend.
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

    /// Removes the backends for which `is_listed` returns false.
    pub fn retain(&self, is_listed: impl Fn(BackendId) -> bool) {
        self.pool.listed_backends.retain(is_listed);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(connections) = self.connections(id) {
            connections.close_idle();
        }
    }

    /// Closes idle connections while more sockets to backends are open than may be.
    pub fn close_surplus(&self) {
        self.pool.close_surplus();
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub async fn sweep(self: Rc<Self>) {
        self.pool.sweep().await;
    }
}

#[cfg(test)]
mod tests;
