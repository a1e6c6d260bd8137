//! A client's request: checked, described for the balancer, and its body read as far as it is to be buffered.

use super::Clients;
use super::headers::{
    ACCOUNT, CORRELATION_ID, IDEMPOTENCY_KEY, REPEAT, SERVICE_CLASS, SINGLE_HEADERS, TIME_LEFT, WEIGHT_HINT,
    forwarded, origin_form,
};
use crate::api::Micros;
use crate::proxy::backends::{Call, CancelSignal};
use crate::proxy::bodies::{BodyBuffer, BodyDeadline, CallBody, Upload, next_data};
use crate::proxy::budget::Reserved;
use crate::proxy::limits::{BODY_CAP, PASS_CAP};
use crate::proxy::messages::Inbound;
use crate::proxy::responses::Rejection;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::rc::Rc;
use tokio::time::timeout_at;

/// Of a request's body beyond the usual size, this much is held whole where the memory for it is left.
const BUFFER_CAP: usize = 2 << 20;
/// A time left beyond this makes no sense.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
const TOO_LARGE: Rejection = Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

impl Clients {
    /// Reads a request's body, as far as it is to be held.
    async fn collect(&self, mut body: Incoming, deadline: BodyDeadline) -> Result<CallBody, Rejection> {
        let is_small = body.size_hint().exact().is_none_or(|length| length <= BUFFER_CAP as u64);
        let (mut held, mut reserved) = (BodyBuffer::default(), Vec::new());
        while is_small && held.len() <= BUFFER_CAP {
            let data = timeout_at(deadline.after(held.len() as u64), next_data(&mut body)).await;
            let data = data.map_err(|_| Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body is late\n"))?;
            match data.map_err(|_| Rejection::new(StatusCode::BAD_REQUEST, "the body is broken\n"))? {
                Some(data) => held.add(data),
                None => return Ok(CallBody::Buffered(held.take(), reserved)),
            }
            // Each part is reserved when it comes: a slow client takes no more than it has sent.
            while held.len() > (reserved.len() + 1) * BODY_CAP {
                let Some(part) = self.budget.bodies.reserve(BODY_CAP) else {
                    return Ok(self.upload(held, reserved, body, deadline));
                };
                reserved.push(part);
            }
        }
        Ok(self.upload(held, reserved, body, deadline))
    }

    fn upload(
        &self,
        held: BodyBuffer,
        reserved: Vec<Reserved>,
        rest: Incoming,
        deadline: BodyDeadline,
    ) -> CallBody {
        Upload::new(held.take(), reserved, rest, deadline, Rc::clone(&self.counters)).into()
    }

    /// Reads a request whole, or as far as it is to be buffered.
    pub(super) async fn inbound(
        &self,
        request: Request<Incoming>,
        deadline: BodyDeadline,
    ) -> Result<Inbound, Rejection> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > PASS_CAP {
            return Err(TOO_LARGE);
        }
        let mut request = self.describe(&head)?;
        let body = self.collect(body, deadline).await?;
        let (target, headers) = origin_form(head.uri, forwarded(head.headers));
        let call = Call { method: head.method, target, headers, body, cancel: CancelSignal::default() };
        // The time of a request counts from its last byte.
        let arrived = self.clock.now();
        if let Some(left) = self.lifecycle.time_left() {
            request.patience = request.patience.min(left.as_micros().try_into().unwrap_or(Micros::MAX));
        }
        Ok(Inbound { request, arrived, call })
    }
    /// What the balancer is told of a request with that head.
    fn describe(&self, head: &Parts) -> Result<crate::api::Request, Rejection> {
        let bad = |why| Rejection::new(StatusCode::BAD_REQUEST, why);
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        // Customers' own names may have letters beyond ASCII.
        let named = |name| head.headers.get(name).and_then(|v| std::str::from_utf8(v.as_bytes()).ok());
        // Whoever reads the other one of two takes the request for something else.
        if SINGLE_HEADERS.iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(bad("a header comes twice\n"));
        }
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        let (class, facts) = self.classes.get(in_path).ok_or(bad("unknown class\n"))?;
        if head.headers.contains_key(SERVICE_CLASS) && named(SERVICE_CLASS) != Some(in_path) {
            return Err(bad("the class of the header is not that of the path\n"));
        }
        if head.method != facts.method {
            return Err(Rejection::method(if facts.method == Method::GET { "GET" } else { "POST" }));
        }
        // Without its key a repeat would not be dropped.
        if facts.needs_key && text(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad("Idempotency-Key is missing\n"));
        }
        if text(CORRELATION_ID).is_none_or(str::is_empty) {
            return Err(bad("X-Correlation-Id is missing\n"));
        }
        let tenant = match named(ACCOUNT) {
            _ if self.tenants.is_empty() => 0,
            account => *account.and_then(|a| self.tenants.get(a)).ok_or(bad("unknown account\n"))?,
        };
        // The type's own parser would take a sign.
        let digits = text(TIME_LEFT).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        let time_left = digits.and_then(|v| v.parse::<u64>().ok());
        let time_left = time_left.filter(|&ms| ms <= MAX_TIME_LEFT_MS);
        let patience = time_left.ok_or(bad("X-Time-Left-Ms is missing or makes no sense\n"))? * 1_000;
        Ok(crate::api::Request {
            id: self.handle.next_request_id(),
            class: *class,
            tenant,
            key: head.uri.query().and_then(key),
            patience: patience.min(facts.deadline),
            work: text(WEIGHT_HINT).and_then(|v| v.trim().parse().ok()),
            repeat: text(REPEAT) == Some("1"),
        })
    }
}

/// What a request is about, as a number.
fn key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == "key")?;
    u64::from_str_radix(value, 16).ok().or_else(|| {
        let mut hasher = FxHasher::default();
        hasher.write(value.as_bytes());
        Some(hasher.finish())
    })
}
