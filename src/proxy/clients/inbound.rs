//! Reads a client's request: checks it, describes it for the balancer, and reads the buffered part of its body.

use super::error::InvalidRequest;
use super::headers::{
    ACCOUNT, EXPECTED_WORK, IDEMPOTENCY_KEY, NON_REPEATABLE_HEADERS, RETRY, SERVICE_CLASS,
    end_to_end_headers, origin_form,
};
use super::{Class, Clients};
use crate::api::{Micros, TenantIndex};
use crate::proxy::backends::{CORRELATION_ID, Call, RequestEnded};
use crate::proxy::bodies::{
    BodyBuffer, CallBody, NumberedRequest, Upload, WaitAllowance, next_data,
};
use crate::proxy::clock::MICROS_PER_MILLI;
use crate::proxy::connections::ClientConnection;
use crate::proxy::header_values::{REMAINING_TIME_MS, parse_decimal};
use crate::proxy::memory::MemoryUse;
use crate::proxy::messages::InboundRequest;
use crate::proxy::size_limits::{BUFFERED_BODY_BYTES, MAX_FORWARDED_BODY_BYTES};
use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::rc::Rc;
use tokio::time::timeout_at;

/// The largest request body that is buffered completely, while there is memory for it.
const MAX_BUFFERED_BYTES: usize = 2 << 20;
/// The longest timeout that a request may state: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

impl Clients {
    /// Reads and checks a request. The rest of a body that is too large to buffer is read while it is forwarded.
    ///
    /// # Errors
    /// The request is invalid, or its body is too large, late or incomplete.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        numbered: NumberedRequest,
        allowance: WaitAllowance,
    ) -> Result<InboundRequest, InvalidRequest> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_FORWARDED_BODY_BYTES {
            return Err(InvalidRequest::BodyTooLarge);
        }
        let mut request = self.describe(&head)?;
        let body = self.read_body(body, numbered, allowance).await?;
        let (target, headers) = origin_form(head.uri, end_to_end_headers(head.headers));
        let call = Call {
            method: head.method,
            target,
            headers,
            body,
            presence: Rc::default(),
            executions: None,
            request_ended: RequestEnded::default(),
        };
        // A request counts as arrived, and its timeout starts, with the last byte that is buffered.
        let arrived = self.clock.now();
        if let Some(remaining) = self.lifecycle.remaining_time() {
            let remaining = remaining.as_micros().try_into().unwrap_or(Micros::MAX);
            request.timeout = request.timeout.min(remaining);
        }
        Ok(InboundRequest {
            request,
            arrived,
            call,
        })
    }

    /// Reads the buffered part of a request's body. The rest of a body that is too large for the buffer or the memory
    /// budget is streamed.
    async fn read_body(
        &self,
        mut body: Incoming,
        request: NumberedRequest,
        mut allowance: WaitAllowance,
    ) -> Result<CallBody, InvalidRequest> {
        let may_fit = body
            .size_hint()
            .exact()
            .is_none_or(|length| length <= MAX_BUFFERED_BYTES as u64);
        let mut buffer = BodyBuffer::default();
        let mut rest_of_first = None;
        while may_fit && buffer.len() <= MAX_BUFFERED_BYTES {
            let received = timeout_at(allowance.begin_wait(), next_data(&mut body))
                .await
                .map_err(|_| late_body(&request.connection))?;
            let Some(data) = received? else {
                return Ok(CallBody::Buffered(buffer.take()));
            };
            allowance.receive(data.len());
            if !self.may_buffer(&buffer, &data) {
                rest_of_first = Some(data);
                break;
            }
            buffer.add(data);
        }
        let mut first = buffer.take();
        first.extend(rest_of_first);
        let counters = Rc::clone(&self.counters);
        Ok(Upload::new(first, body, request, allowance, counters).into())
    }

    /// Returns whether there is memory to buffer more data of a body.
    fn may_buffer(&self, buffer: &BodyBuffer, data: &Bytes) -> bool {
        let memory_use = if buffer.len() + data.len() > BUFFERED_BODY_BYTES {
            MemoryUse::LargeBody
        } else {
            MemoryUse::SmallBody
        };
        let allocated = buffer.growth(data.len());
        allocated == 0 || self.budget.memory.has_room(allocated, memory_use)
    }

    /// Checks the head of a request and describes the request for the balancer.
    fn describe(&self, head: &Parts) -> Result<crate::api::Request, InvalidRequest> {
        // If a header is repeated, a backend may use the value that the proxy ignores.
        let is_duplicate = |name| head.headers.get_all(name).iter().nth(1).is_some();
        if NON_REPEATABLE_HEADERS.iter().any(is_duplicate) {
            return Err(InvalidRequest::DuplicateHeader);
        }
        let class = self.class(head)?;
        check_method_and_ids(head, class)?;
        Ok(crate::api::Request {
            tenant: self.tenant(head)?,
            timeout: timeout(head)?.min(class.timeout),
            id: self.handle.next_request_id(),
            class: class.index,
            key: head.uri.query().and_then(affinity_key),
            expected_work: ascii_header(head, &EXPECTED_WORK)
                .and_then(|value| value.trim().parse().ok()),
            is_retry: ascii_header(head, &RETRY) == Some("1"),
        })
    }

    /// Returns the class that the path names. The class header, if present, must name the same class.
    fn class(&self, head: &Parts) -> Result<&Class, InvalidRequest> {
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self
            .classes
            .get(in_path)
            .ok_or(InvalidRequest::UnknownClass)?;
        if head.headers.contains_key(SERVICE_CLASS)
            && utf8_header(head, &SERVICE_CLASS) != Some(in_path)
        {
            return Err(InvalidRequest::ClassMismatch);
        }
        Ok(class)
    }

    /// Returns the tenant whose account the header names. If the settings define no tenants, all requests belong to
    /// tenant 0.
    fn tenant(&self, head: &Parts) -> Result<TenantIndex, InvalidRequest> {
        if self.tenants.is_empty() {
            return Ok(TenantIndex(0));
        }
        utf8_header(head, &ACCOUNT)
            .and_then(|account| self.tenants.get(account))
            .copied()
            .ok_or(InvalidRequest::UnknownAccount)
    }
}

/// Returns the value of a header; `None` if the header is missing or not visible ASCII.
fn ascii_header<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the value of a header; `None` if the header is missing or not UTF-8. The names of accounts and classes may
/// contain characters outside ASCII.
fn utf8_header<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers
        .get(name)
        .and_then(|value| std::str::from_utf8(value.as_bytes()).ok())
}

/// Checks that a request uses the method of its class and has the headers that identify it.
fn check_method_and_ids(head: &Parts, class: &Class) -> Result<(), InvalidRequest> {
    if head.method != class.method {
        return Err(InvalidRequest::MethodNotAllowed {
            allowed: class.method.clone(),
        });
    }
    // Without an idempotency key, a backend would execute a request that is sent twice a second time (rule 2,
    // idempotency).
    if class.needs_key && ascii_header(head, &IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(InvalidRequest::MissingIdempotencyKey);
    }
    if ascii_header(head, &CORRELATION_ID).is_none_or(str::is_empty) {
        return Err(InvalidRequest::MissingCorrelationId);
    }
    Ok(())
}

/// Returns the time for which the client waits for a response.
fn timeout(head: &Parts) -> Result<Micros, InvalidRequest> {
    ascii_header(head, &REMAINING_TIME_MS)
        .and_then(|value| parse_decimal(value.as_bytes()))
        .filter(|&millis| millis <= MAX_TIMEOUT_MS)
        .map(|millis| millis * MICROS_PER_MILLI)
        .ok_or(InvalidRequest::InvalidTimeout)
}

/// Returns the `key` parameter of a query as a number: the value itself if it is hexadecimal, otherwise a hash of the
/// value; `None` if the query has no such parameter. The number is a field of the balancer's
/// [`Request`](crate::api::Request), but the balancer does not use it.
fn affinity_key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == "key")?;
    let number = u64::from_str_radix(value, 16).ok();
    number.or_else(|| {
        let mut hasher = FxHasher::default();
        hasher.write(value.as_bytes());
        Some(hasher.finish())
    })
}

/// Returns why a body is late: its client is slow, unless bytes of it have arrived and are not read.
fn late_body(connection: &ClientConnection) -> InvalidRequest {
    if connection.has_unread() {
        InvalidRequest::BodyUnread
    } else {
        InvalidRequest::BodyTimedOut
    }
}
