//! A health check of one backend.

use super::call::{AttemptResult, Call, CancelSignal};
use super::exchange::{ExchangeError, exchange};
use super::fleet::{Endpoint, Fleet};
use super::reply::{Reply, ReplyBody};
use super::request::build_request;
use crate::api::Outcome;
use crate::proxy::bodies::{BufferedBody, RequestBody};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a probe may take once its connection is up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const ALIVE_PATH: &str = "/alive";
const LOAD_PATH: &str = "/metrics/load";

impl Fleet {
    /// Asks a backend whether it lives; with `deep` for its load report as well.
    pub async fn probe(self: Rc<Self>, endpoint: Rc<Endpoint>, deep: bool) -> AttemptResult {
        let until = Instant::now() + self.dial_timeout + PROBE_TIMEOUT;
        let mut connection = match self.connection(&endpoint, until).await {
            Ok(connection) => connection,
            Err(error) => return error.outcome().into(),
        };
        let call = probe_call(if deep { LOAD_PATH } else { ALIVE_PATH });
        let body = RequestBody::Buffered(BufferedBody::default());
        let request = build_request(&call, body, endpoint.address(), PROBE_TIMEOUT);
        connection.wire.begin_request(None);
        let reply = match timeout_at(until, exchange(&mut connection.sender, request)).await {
            Err(_) => return Outcome::Timeout.into(),
            Ok(Err(ExchangeError::Malformed)) => return Outcome::CorruptResponse.into(),
            Ok(Err(_)) => return Outcome::Reset.into(),
            Ok(Ok(reply)) => reply,
        };
        let ReplyBody::Whole(body) = &reply.body else {
            return Outcome::CorruptResponse.into();
        };
        let text = String::from_utf8_lossy(&body.joined()).into_owned();
        self.keep(&endpoint, connection);
        self.probe_result(reply, deep.then_some(text.as_str()))
    }

    /// The result of a probe. The load report may stand in the body, if that is one.
    fn probe_result(&self, reply: Reply, report: Option<&str>) -> AttemptResult {
        let mut result = self.result_of(reply);
        result.served = None;
        if let Some(report) = report.filter(|report| !report.is_empty())
            && result.outcome == Outcome::Ok
            && result.report.is_empty()
        {
            result.report = self.load_report(report.trim());
        }
        result
    }
}

fn probe_call(path: &'static str) -> Call {
    Call {
        method: Method::GET,
        target: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: BufferedBody::default().into(),
        cancel: CancelSignal::default(),
    }
}
