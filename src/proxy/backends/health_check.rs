//! Health checks of backends.

use super::BackendClient;
use super::backend_connections::BackendConnections;
use super::call::{AttemptResult, Call, RequestEnded};
use super::connection::Connection;
use super::error::BackendError;
use super::exchange::exchange;
use super::request::build_request;
use super::response::{BackendBody, BackendResponse};
use crate::api::Outcome;
use crate::proxy::bodies::{BufferedBody, RequestBody};
use crate::proxy::memory::MemoryBudget;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The time that a health check may take in addition to the connect timeout.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const LIVENESS_PATH: &str = "/alive";
const LOAD_PATH: &str = "/metrics/load";

impl BackendClient {
    /// Checks whether a backend is alive and returns the result. If `with_load_report` is set, the health check also
    /// requests the load report.
    pub async fn health_check(
        self: Rc<Self>,
        backend: Rc<BackendConnections>,
        with_load_report: bool,
    ) -> AttemptResult {
        let deadline = Instant::now() + self.pool.connect_timeout() + HEALTH_CHECK_TIMEOUT;
        let mut connection = match self.pool.connection(&backend, deadline).await {
            Ok(connection) => connection,
            Err(error) => return error.connect_outcome().into(),
        };
        let path = if with_load_report {
            LOAD_PATH
        } else {
            LIVENESS_PATH
        };
        let exchanged = send_health_check(
            &mut connection,
            backend.address(),
            path,
            deadline,
            &self.memory,
        )
        .await;
        let response = match exchanged {
            Ok(response) => response,
            Err(error) => return failure_outcome(&error, &backend).into(),
        };
        let BackendBody::Complete(body) = &response.body else {
            return Outcome::CorruptResponse.into();
        };
        let text = String::from_utf8_lossy(&body.joined()).into_owned();
        self.pool.keep(&backend, connection);
        let mut result = response.head.attempt_result(&self.load_reports);
        // A backend may send its load report in the body instead of in a header.
        if with_load_report
            && !text.is_empty()
            && result.outcome == Outcome::Ok
            && result.load_report.is_empty()
        {
            result.load_report = self.load_reports.parse(text.trim());
        }
        result
    }
}

/// Sends a health check on a connection and reads the response.
///
/// # Errors
/// [`BackendError`] if the exchange fails or is not complete at the deadline.
async fn send_health_check(
    connection: &mut Connection,
    address: SocketAddr,
    path: &'static str,
    deadline: Instant,
    memory: &MemoryBudget,
) -> Result<BackendResponse, BackendError> {
    let body = RequestBody::Buffered(BufferedBody::default());
    let call = health_check_call(path);
    let request = build_request(&call, body, address, HEALTH_CHECK_TIMEOUT);
    connection.socket.begin_request(None);
    timeout_at(
        deadline,
        exchange(&mut connection.sender, request, memory, || None),
    )
    .await
    .unwrap_or(Err(BackendError::TimedOut))
}

/// Returns the call of a health check: a GET request without headers or body.
fn health_check_call(path: &'static str) -> Call {
    Call {
        method: Method::GET,
        target: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: BufferedBody::default().into(),
        presence: Rc::default(),
        executions: None,
        request_ended: RequestEnded::default(),
    }
}

/// Logs a failed health check and returns its outcome.
fn failure_outcome(error: &BackendError, backend: &BackendConnections) -> Outcome {
    tracing::debug!(backend = %backend.address(), %error, "health check failed");
    if error.is_timeout() {
        Outcome::Timeout
    } else if error.is_malformed() {
        Outcome::CorruptResponse
    } else {
        Outcome::Reset
    }
}
