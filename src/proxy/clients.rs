//! The clients' side: the listener, requests in, answers out.

use super::backends::{Call, CancelSignal};
use super::bodies::{
    AnswerBody, BodyBuffer, BodyDeadline, BufferedBody, CallBody, ResponseBody, Upload, next_data,
};
use super::budget::{Budget, Reserved};
use super::clock::Clock;
use super::config::Names;
use super::connections::{ClientConnection, ClientConnections, ClientIo};
use super::counters::{Counters, RequestOutcome};
use super::driver::{Answer, Handle, Inbound, Message};
use super::lifecycle::Lifecycle;
use super::socket::Socket;
use super::{BODY_CAP, PASS_CAP, log};
use crate::api::{Effect, Micros, RequestId, Settings};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::hash::Hasher;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a client may take for a request, its body too. For the first one on a connection this counts from
/// connecting. It is also how long a client may stay idle.
pub(super) const REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// A body has this long at the least, however late its head came, and longer the more of it has come.
const MIN_BODY_TIME: Duration = Duration::from_millis(300);
/// How long a closing connection is read on after its last byte, and in all, so that the kernel does not
/// answer late bytes with a reset that destroys an answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_TOTAL: Duration = Duration::from_secs(2);
const LINGER_BUFFER: usize = 8 * 1024;
/// Of a request's body beyond the usual size, this much is held whole where the memory for it is left.
const BUFFER_CAP: usize = 2 << 20;
/// A connection that is to go and has a request on it is looked at again after this time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The largest head of a request.
pub(super) const HEAD_CAP: usize = 16 * 1024;
/// A time left beyond this makes no sense.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The headers that decide what a request is.
const SINGLE_HEADERS: [HeaderName; 5] = [CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, IDEMPOTENCY_KEY];
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");

struct Class {
    deadline: Micros,
    needs_key: bool,
    method: Method,
}

/// What all client connections share.
pub struct Clients {
    handle: Handle,
    clock: Clock,
    classes: FxHashMap<String, (u8, Class)>,
    tenants: FxHashMap<String, u16>,
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    budget: Budget,
    open: Cell<usize>,
    freed: Notify,
    /// Somebody waits to be accepted, and looks again when a connection has ended or become idle.
    is_full: Cell<bool>,
    connections: RefCell<ClientConnections>,
    accepted_at: Cell<Instant>,
    /// The ids of the requests that have no answer yet.
    ids: RefCell<FxHashSet<HeaderValue>>,
}

/// A request that is answered here because the module can't be asked about it.
pub(super) struct Rejection {
    status: StatusCode,
    why: &'static str,
    allow: Option<&'static str>,
}

impl Rejection {
    pub(super) const fn new(status: StatusCode, why: &'static str) -> Self {
        Self { status, why, allow: None }
    }

    /// The path is known, but only with these methods.
    pub(super) const fn method(allowed: &'static str) -> Self {
        Self {
            allow: Some(allowed),
            ..Self::new(StatusCode::METHOD_NOT_ALLOWED, "not the method for this\n")
        }
    }

    pub(super) fn into_response(self) -> Response<BufferedBody> {
        let mut response = plain(self.status, self.why);
        if let Some(allowed) = self.allow {
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Nobody reads it.
const CLIENT_GONE: Rejection = Rejection::new(StatusCode::BAD_REQUEST, "the client has left\n");
const TOO_LARGE: Rejection = Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

impl Clients {
    /// No connections yet.
    #[must_use]
    pub fn new(
        handle: Handle,
        clock: Clock,
        settings: &Settings,
        names: &Names,
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        budget: Budget,
    ) -> Rc<Self> {
        let class = |c: &crate::api::Class| Class {
            deadline: c.deadline,
            needs_key: matches!(c.effect, Effect::Keyed { .. }),
            method: if c.effect == Effect::Safe { Method::GET } else { Method::POST },
        };
        let classes = names.classes.iter().zip(0..=u8::MAX).zip(&settings.classes);
        Rc::new(Self {
            handle,
            clock,
            classes: classes.map(|((name, i), c)| (name.clone(), (i, class(c)))).collect(),
            tenants: names.tenants.iter().cloned().zip(0..).collect(),
            lifecycle,
            counters,
            budget,
            open: Cell::new(0),
            freed: Notify::new(),
            is_full: Cell::new(false),
            connections: RefCell::default(),
            accepted_at: Cell::new(Instant::now()),
            ids: RefCell::default(),
        })
    }

    /// Open client connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Time since a client last connected.
    #[must_use]
    pub fn since_last_accept(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended.
    pub async fn connection_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors.
            // Connections that are held without a request would keep them there: the cheapest to lose goes.
            while self.open.get() >= self.budget.clients {
                self.connections.borrow().evict_one();
                self.is_full.set(true);
                self.freed.notified().await;
            }
            self.is_full.set(false);
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream),
                // Out of descriptors, or a client that is gone already: neither ends the proxy.
                Err(error) => {
                    log(format_args!("accept: {error}"));
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        self.accepted_at.set(Instant::now());
        self.open.set(self.open.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).connection(stream));
    }

    /// Takes a connection that waits in the kernel's queue, if one does. The runtime may not have seen it
    /// yet, so the listener itself is asked.
    pub fn take_waiting(self: &Rc<Self>, listener: &TcpListener) -> bool {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                let stream = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket.into()));
                stream.into_iter().for_each(|stream| self.take(stream));
                true
            }
            // That one is gone already; others may wait behind it.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Some connection may be cheaper to lose than before.
    fn notify_if_full(&self) {
        if self.is_full.get() {
            self.freed.notify_waiters();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(ClientConnection::new(stream, HEAD_CAP));
        let number = self.connections.borrow_mut().add(&connection);
        self.serve(&connection).await;
        self.connections.borrow_mut().remove(number);
        self.open.set(self.open.get() - 1);
        self.freed.notify_waiters();
    }

    /// Serves one connection to its end.
    async fn serve(self: &Rc<Self>, connection: &Rc<ClientConnection>) {
        let (clients, shared) = (Rc::clone(self), Rc::clone(connection));
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, connection) = (Rc::clone(&clients), Rc::clone(&shared));
            let number = connection.begin_request();
            Box::pin(async move {
                let mut response = clients.respond(request, &connection, number).await;
                match response.body_mut() {
                    ResponseBody::Buffered(_) => {
                        connection.end_request();
                        clients.notify_if_full();
                    }
                    ResponseBody::Streamed(streamed) => streamed.set_connection(connection),
                }
                Ok::<_, Infallible>(response)
            })
        });
        let mut http = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_CAP)
            .serve_connection(TokioIo::new(ClientIo(Rc::clone(connection))), service);
        let mut stages = self.lifecycle.subscribe();
        let mut close_at = self.lifecycle.closes_at();
        let mut recheck = pin!(sleep_until(connection.deadline().unwrap_or_else(Instant::now)));
        let mut rechecked = false;
        let ended = loop {
            tokio::select! {
                biased;
                // How it ended matters only to the client: one that left has been reported by its guard.
                ended = std::future::poll_fn(|cx| http.poll_without_shutdown(cx)) => break ended,
                Ok(()) = stages.changed() => {
                    stages.mark_unchanged();
                    let closes_at = self.lifecycle.closes_at();
                    close_at = closes_at.map(|at| close_at.map_or(at, |sooner| sooner.min(at)));
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    // One with a request on it ends with the answer.
                    if connection.is_idle() {
                        return;
                    }
                    close_at = Some(Instant::now() + RECHECK_INTERVAL);
                }
                () = recheck.as_mut() => {
                    let late = connection.deadline();
                    let is_late = late.is_some_and(|late| late <= Instant::now());
                    // What has come and was not read yet may be a request: it is read within that time, or
                    // never.
                    if is_late && (rechecked || !connection.has_unread()) {
                        return;
                    }
                    rechecked = is_late;
                    let soon = Instant::now() + if is_late { RECHECK_INTERVAL } else { REQUEST_TIME / 4 };
                    recheck.as_mut().reset(late.filter(|_| !is_late).unwrap_or(soon));
                }
                () = connection.eviction_requested() => {
                    if connection.is_evictable() {
                        return;
                    }
                    self.notify_if_full();
                }
            }
        };
        // What the library holds of it, an unanswered request too, ends here.
        drop(http);
        if ended.is_err_and(|error| error.is_user()) {
            // An answer broke off: one whose length the client does not know would look whole at a plain end.
            connection.socket().break_off();
        } else {
            linger(connection.socket()).await;
        }
    }

    /// Answers the request of that number on a connection.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
        number: u64,
    ) -> Response<ResponseBody> {
        let now = Instant::now();
        let late = if number == 1 { connection.connected() + REQUEST_TIME } else { now + REQUEST_TIME };
        let deadline = BodyDeadline { grace_ends: late.max(now + MIN_BODY_TIME) };
        let mut response = if self.is_health_check(&request) {
            self.health().map(ResponseBody::Buffered)
        } else {
            // Rule 2: whoever reads the other end of the body takes a part of it for a request.
            let inbound = if connection.is_ambiguous(number) {
                Err(Rejection::new(StatusCode::BAD_REQUEST, "the body may end in two places\n"))
            } else {
                self.inbound(request, deadline).await
            };
            let answered = match inbound {
                Ok(inbound) => self.ask(inbound, connection).await,
                Err(rejected) => Err(rejected),
            };
            answered.unwrap_or_else(|rejected| {
                let mut response = rejected.into_response().map(ResponseBody::Buffered);
                // What follows a request that makes no sense may be a part of it.
                close(&mut response);
                response
            })
        };
        if self.lifecycle.is_leaving() {
            close(&mut response);
        }
        response
    }

    /// Whether the front asks if this proxy serves. A class may have the name of that call; its requests name
    /// it.
    fn is_health_check(&self, request: &Request<Incoming>) -> bool {
        let asks_a_class =
            || self.classes.contains_key("up") && request.headers().contains_key(SERVICE_CLASS);
        request.uri().path() == "/up" && !asks_a_class()
    }

    fn health(&self) -> Response<BufferedBody> {
        if self.lifecycle.is_up() {
            plain(StatusCode::OK, "up\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    async fn ask(
        &self,
        inbound: Inbound,
        connection: &ClientConnection,
    ) -> Result<Response<ResponseBody>, Rejection> {
        // It may have left before its connection was accepted, say.
        if connection.is_closed_by_client() {
            return Err(CLIENT_GONE);
        }
        // Rule 2: passed on, a second request of the same id would be a second copy of the first.
        let Some(_id) = OpenId::claim(&self.ids, &inbound.call.headers) else {
            return Err(Rejection::new(StatusCode::CONFLICT, "a request of this id is open\n"));
        };
        let rest = inbound.call.body.pending_upload();
        let (sender, answer) = oneshot::channel();
        let ticket = self.counters.begin_request(inbound.request.class);
        let guard = ClientGoneGuard { handle: &self.handle, request: inbound.request.id, answered: false };
        self.handle.tell(Message::Request(Box::new(inbound), sender));
        let left = async {
            match rest {
                None => connection.closed_by_client(&self.budget.bodies).await,
                Some(_) => connection.socket().ended().await,
            }
        };
        // The library sees that a client has left only where it has read all that came ahead of it.
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = left => return Err(CLIENT_GONE),
        };
        guard.answered();
        let (response, outcome) = match answer {
            Ok(Answer::Served(served)) => {
                let mut body = served.body;
                match &mut body {
                    AnswerBody::Buffered(_) => ticket.set_outcome(RequestOutcome::Passed),
                    AnswerBody::Streamed(streamed) => streamed.set_ticket(ticket),
                }
                let mut response = Response::new(ResponseBody::from(body));
                if let Some(content_type) = served.content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                return Ok(response);
            }
            Ok(Answer::Refused { retry_after }) => (refusal(retry_after), RequestOutcome::Dropped),
            Ok(Answer::Failed) | Err(_) => {
                (plain(StatusCode::BAD_GATEWAY, "failed\n"), RequestOutcome::BadGateway)
            }
        };
        ticket.set_outcome(outcome);
        // A request is taken with its last byte. Answered before, its client would be cut off.
        if let Some(upload) = rest.and_then(|rest| rest.take()) {
            upload.drain().await;
        }
        Ok(response.map(ResponseBody::Buffered))
    }

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

    async fn inbound(
        &self,
        request: Request<Incoming>,
        deadline: BodyDeadline,
    ) -> Result<Inbound, Rejection> {
        let (head, body) = request.into_parts();
        let bad = |why| Rejection::new(StatusCode::BAD_REQUEST, why);
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        // Customers' own names may have letters beyond ASCII.
        let named = |name| head.headers.get(name).and_then(|v| std::str::from_utf8(v.as_bytes()).ok());
        if body.size_hint().lower() > PASS_CAP {
            return Err(TOO_LARGE);
        }
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
        let mut request = crate::api::Request {
            id: self.handle.next_request_id(),
            class: *class,
            tenant,
            key: head.uri.query().and_then(key),
            patience: patience.min(facts.deadline),
            work: text(WEIGHT_HINT).and_then(|v| v.trim().parse().ok()),
            repeat: text(REPEAT) == Some("1"),
        };
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
}

/// Tells the driver when a client leaves while its request is open: its connection then drops the answer's
/// future.
struct ClientGoneGuard<'a> {
    handle: &'a Handle,
    request: RequestId,
    answered: bool,
}

impl ClientGoneGuard<'_> {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for ClientGoneGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.tell(Message::ClientGone(self.request));
        }
    }
}

/// The id of an open request; free again when this is dropped.
struct OpenId<'a> {
    ids: &'a RefCell<FxHashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenId<'a> {
    fn claim(ids: &'a RefCell<FxHashSet<HeaderValue>>, headers: &HeaderMap) -> Option<Self> {
        let id = headers.get(CORRELATION_ID)?.clone();
        let is_new = ids.borrow_mut().insert(id.clone());
        is_new.then(|| Self { ids, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The headers that go on: all but those that speak of this one connection or of the message's framing.
fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named: Vec<HeaderName> =
        named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()).collect();
    for name in named.iter().filter(|name| **name != CORRELATION_ID && **name != IDEMPOTENCY_KEY) {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in hop {
        headers.remove(name);
    }
    headers
}

/// What goes to a backend names no host in its target; one that the client named there stands for its `Host`.
fn origin_form(target: Uri, mut headers: HeaderMap) -> (Uri, HeaderMap) {
    let parts = target.into_parts();
    if let Some(host) = parts.authority.and_then(|a| HeaderValue::try_from(a.as_str()).ok()) {
        headers.insert(header::HOST, host);
    }
    (parts.path_and_query.map(Uri::from).unwrap_or_default(), headers)
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

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<BufferedBody> {
    let mut response = Response::new(BufferedBody::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn refusal(retry_after: Micros) -> Response<BufferedBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn close<B>(response: &mut Response<B>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Ends the sending side and reads what still comes, until nothing does for a while.
pub(super) async fn linger(socket: &Socket) {
    if socket.end_sending().is_err() {
        return;
    }
    let _ = timeout(LINGER_TOTAL, async {
        let mut buffer = vec![0; LINGER_BUFFER];
        while let Ok(Some(_)) = timeout(LINGER, socket.read(&mut buffer)).await {}
    })
    .await;
}
