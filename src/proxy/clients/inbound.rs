//! A client's request: checked, described for the balancer, and its body read as far as it is to be buffered.

use super::headers::{
    ACCOUNT, IDEMPOTENCY_KEY, REPEAT, SERVICE_CLASS, SINGLE_HEADERS, TIME_LEFT, WEIGHT_HINT,
    forwarded, origin_form,
};
use super::{Class, Clients};
use crate::api::{ClassIndex, Micros, TenantIndex};
use crate::proxy::backends::{CORRELATION_ID, Call, CancelSignal};
use crate::proxy::bodies::{BodyBuffer, BodyDeadline, CallBody, Upload, next_data};
use crate::proxy::budget::Reserved;
use crate::proxy::limits::{BODY_CAP, PASS_CAP};
use crate::proxy::messages::Inbound;
use crate::proxy::responses::Rejection;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::rc::Rc;
use tokio::time::timeout_at;

/// Of a request's body beyond the usual size, this much is buffered whole where the memory for it is left.
const BUFFER_CAP: usize = 2 << 20;
/// A time left beyond this makes no sense.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
const MICROS_PER_MILLI: Micros = 1_000;
const TOO_LARGE: Rejection =
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

impl Clients {
    /// Reads a request's body, as far as it is to be buffered.
    async fn collect(
        &self,
        mut body: Incoming,
        deadline: BodyDeadline,
    ) -> Result<CallBody, Rejection> {
        let is_small = body
            .size_hint()
            .exact()
            .is_none_or(|length| length <= BUFFER_CAP as u64);
        let (mut buffered, mut reserved) = (BodyBuffer::default(), Vec::new());
        while is_small && buffered.len() <= BUFFER_CAP {
            let data =
                timeout_at(deadline.after(buffered.len() as u64), next_data(&mut body)).await;
            let data = data
                .map_err(|_| Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body is late\n"))?;
            match data
                .map_err(|_| Rejection::new(StatusCode::BAD_REQUEST, "the body is broken\n"))?
            {
                Some(data) => buffered.add(data),
                None => return Ok(CallBody::Buffered(buffered.take(), reserved)),
            }
            // Memory is reserved as the bytes come: a slow client takes no more than it has sent.
            while buffered.len() > (reserved.len() + 1) * BODY_CAP {
                let Some(memory) = self.budget.bodies.reserve(BODY_CAP) else {
                    return Ok(self.upload(buffered, reserved, body, deadline));
                };
                reserved.push(memory);
            }
        }
        Ok(self.upload(buffered, reserved, body, deadline))
    }

    fn upload(
        &self,
        buffered: BodyBuffer,
        reserved: Vec<Reserved>,
        rest: Incoming,
        deadline: BodyDeadline,
    ) -> CallBody {
        Upload::new(
            buffered.take(),
            reserved,
            rest,
            deadline,
            Rc::clone(&self.counters),
        )
        .into()
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
        let call = Call {
            method: head.method,
            target,
            headers,
            body,
            cancel: CancelSignal::default(),
        };
        // The time of a request counts from its last byte.
        let arrived = self.clock.now();
        if let Some(left) = self.lifecycle.time_left() {
            request.timeout = request
                .timeout
                .min(left.as_micros().try_into().unwrap_or(Micros::MAX));
        }
        Ok(Inbound {
            request,
            arrived,
            call,
        })
    }

    /// What the balancer is told of a request with that head.
    fn describe(&self, head: &Parts) -> Result<crate::api::Request, Rejection> {
        // Whoever reads the other one of two takes the request for something else.
        if SINGLE_HEADERS
            .iter()
            .any(|name| head.headers.get_all(name).iter().nth(1).is_some())
        {
            return Err(bad_request("a header comes twice\n"));
        }
        let (class, facts) = self.class(head)?;
        check_method_and_ids(head, facts)?;
        Ok(crate::api::Request {
            tenant: TenantIndex(self.tenant(head)?),
            timeout: patience(head)?.min(facts.deadline),
            id: self.handle.next_request_id(),
            class: ClassIndex(class),
            key: head.uri.query().and_then(key),
            expected_work: text(head, &WEIGHT_HINT).and_then(|v| v.trim().parse().ok()),
            is_retry: text(head, &REPEAT) == Some("1"),
        })
    }

    /// The class that the path names, which the header has to name as well where it is there.
    fn class(&self, head: &Parts) -> Result<(u8, &Class), Rejection> {
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        let (class, facts) = self
            .classes
            .get(in_path)
            .ok_or(bad_request("unknown class\n"))?;
        if head.headers.contains_key(SERVICE_CLASS)
            && utf8_text(head, &SERVICE_CLASS) != Some(in_path)
        {
            return Err(bad_request(
                "the class of the header is not that of the path\n",
            ));
        }
        Ok((*class, facts))
    }

    /// The tenant whose account the header names; 0 where the settings name no tenants.
    fn tenant(&self, head: &Parts) -> Result<u16, Rejection> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let tenant = utf8_text(head, &ACCOUNT).and_then(|account| self.tenants.get(account));
        tenant.copied().ok_or(bad_request("unknown account\n"))
    }
}

const fn bad_request(why: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, why)
}

/// A header of visible ASCII characters.
fn text<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header that holds a customer's own name, which may have letters beyond ASCII.
fn utf8_text<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers
        .get(name)
        .and_then(|value| std::str::from_utf8(value.as_bytes()).ok())
}

fn check_method_and_ids(head: &Parts, class: &Class) -> Result<(), Rejection> {
    if head.method != class.method {
        return Err(Rejection::method(if class.method == Method::GET {
            "GET"
        } else {
            "POST"
        }));
    }
    // Without its key a repeat would not be dropped.
    if class.needs_key && text(head, &IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(bad_request("Idempotency-Key is missing\n"));
    }
    if text(head, &CORRELATION_ID).is_none_or(str::is_empty) {
        return Err(bad_request("X-Correlation-Id is missing\n"));
    }
    Ok(())
}

/// How long the client waits, by its header.
fn patience(head: &Parts) -> Result<Micros, Rejection> {
    // The type's own parser would take a sign.
    let digits =
        text(head, &TIME_LEFT).filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
    let millis = digits
        .and_then(|value| value.parse::<u64>().ok())
        .filter(|&ms| ms <= MAX_TIME_LEFT_MS);
    let millis = millis.ok_or(bad_request("X-Time-Left-Ms is missing or makes no sense\n"))?;
    Ok(millis * MICROS_PER_MILLI)
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
