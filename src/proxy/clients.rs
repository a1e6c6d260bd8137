//! The clients' side: the listener, requests in, answers out.

use super::backends::{Call, Over};
use super::bodies::{AnswerBody, CallBody, Gathered, Held, Pace, ToClient, Upload, next_data};
use super::budget::{Budget, Reserved};
use super::clock::Clock;
use super::config::Names;
use super::counters::{Counters, End};
use super::driver::{Answer, Handle, Inbound, Message};
use super::lifecycle::Lifecycle;
use super::lines::{Line, LineIo, Lines};
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
const BODY_LEAST: Duration = Duration::from_millis(300);
/// How long a closing connection is read on after its last byte, and in all, so that the kernel does not answer
/// late bytes with a reset that destroys an answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: Duration = Duration::from_secs(2);
const LINGER_BUFFER: usize = 8 * 1024;
/// Of a request's body beyond the usual size, this much is held whole where the memory for it is left.
const HOLD_CAP: usize = 2 << 20;
/// A connection that is to go and has a request on it is looked at again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The largest head of a request.
pub(super) const HEAD_CAP: usize = 16 * 1024;
/// A time left beyond this makes no sense.
const MOST_TIME_LEFT_MS: u64 = 3_600_000;

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The headers that decide what a request is.
const ONCE: [HeaderName; 5] = [CORRELATION_ID, SERVICE_CLASS, ACCOUNT, TIME_LEFT, IDEMPOTENCY_KEY];
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");

struct Class {
    deadline: Micros,
    keyed: bool,
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
    wants_room: Cell<bool>,
    lines: RefCell<Lines>,
    accepted_at: Cell<Instant>,
    /// The ids of the requests that have no answer yet.
    ids: RefCell<FxHashSet<HeaderValue>>,
}

/// A request that is answered here because the module can't be asked about it.
pub(super) struct Rejected {
    status: StatusCode,
    why: &'static str,
    allow: Option<&'static str>,
}

impl Rejected {
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

    pub(super) fn into_response(self) -> Response<Held> {
        let mut response = plain(self.status, self.why);
        if let Some(allowed) = self.allow {
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Nobody reads it.
const LEFT: Rejected = Rejected::new(StatusCode::BAD_REQUEST, "the client has left\n");
const TOO_LARGE: Rejected = Rejected::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

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
            keyed: matches!(c.effect, Effect::Keyed { .. }),
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
            wants_room: Cell::new(false),
            lines: RefCell::default(),
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
    pub fn quiet(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors.
            // Connections that are held without a request would keep them there: the cheapest to lose goes.
            while self.open.get() >= self.budget.clients {
                self.lines.borrow().make_room();
                self.wants_room.set(true);
                self.freed.notified().await;
            }
            self.wants_room.set(false);
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

    /// Takes a connection that waits in the kernel's queue, if one does. The runtime may not have seen it yet, so the
    /// listener itself is asked.
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
    fn look_for_room(&self) {
        if self.wants_room.get() {
            self.freed.notify_waiters();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let line = Rc::new(Line::new(stream, HEAD_CAP));
        let place = self.lines.borrow_mut().add(&line);
        self.serve(&line).await;
        self.lines.borrow_mut().remove(place);
        self.open.set(self.open.get() - 1);
        self.freed.notify_waiters();
    }

    /// Serves one connection to its end.
    async fn serve(self: &Rc<Self>, line: &Rc<Line>) {
        let (clients, asked) = (Rc::clone(self), Rc::clone(line));
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, line) = (Rc::clone(&clients), Rc::clone(&asked));
            let number = line.ask();
            Box::pin(async move {
                let mut response = clients.respond(request, &line, number).await;
                match response.body_mut() {
                    ToClient::Whole(_) => {
                        line.answer();
                        clients.look_for_room();
                    }
                    ToClient::Passing(passing) => passing.hold(line),
                }
                Ok::<_, Infallible>(response)
            })
        });
        let mut conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_CAP)
            .serve_connection(TokioIo::new(LineIo(Rc::clone(line))), service);
        let mut stages = self.lifecycle.follow();
        let mut leaves_at = self.lifecycle.closes_at();
        let mut look = pin!(sleep_until(line.late().unwrap_or_else(Instant::now)));
        let mut looked_again = false;
        let ended = loop {
            tokio::select! {
                biased;
                // How it ended matters only to the client: one that left has been reported by its guard.
                ended = std::future::poll_fn(|cx| conn.poll_without_shutdown(cx)) => break ended,
                Ok(()) = stages.changed() => {
                    stages.mark_unchanged();
                    let closes_at = self.lifecycle.closes_at();
                    leaves_at = closes_at.map(|at| leaves_at.map_or(at, |sooner| sooner.min(at)));
                }
                () = sleep_until(leaves_at.unwrap_or_else(Instant::now)), if leaves_at.is_some() => {
                    // One with a request on it ends with the answer.
                    if line.is_idle() {
                        return;
                    }
                    leaves_at = Some(Instant::now() + LOOK_AGAIN);
                }
                () = look.as_mut() => {
                    let late = line.late();
                    let is_late = late.is_some_and(|late| late <= Instant::now());
                    // What has come and was not read yet may be a request: it is read within that time, or never.
                    if is_late && (looked_again || !line.has_unread()) {
                        return;
                    }
                    looked_again = is_late;
                    let soon = Instant::now() + if is_late { LOOK_AGAIN } else { REQUEST_TIME / 4 };
                    look.as_mut().reset(late.filter(|_| !is_late).unwrap_or(soon));
                }
                () = line.told_to_go() => {
                    if line.is_cheap() {
                        return;
                    }
                    self.look_for_room();
                }
            }
        };
        // What the library holds of it, an unanswered request too, ends here.
        drop(conn);
        if ended.is_err_and(|error| error.is_user()) {
            // An answer broke off: one whose length the client does not know would look whole at a plain end.
            line.socket().break_off();
        } else {
            linger(line.socket()).await;
        }
    }

    /// Answers the request of that number on a connection.
    async fn respond(&self, request: Request<Incoming>, line: &Line, number: u64) -> Response<ToClient> {
        let now = Instant::now();
        let late = if number == 1 { line.connected() + REQUEST_TIME } else { now + REQUEST_TIME };
        let pace = Pace { late: late.max(now + BODY_LEAST) };
        let mut response = if self.is_check(&request) {
            self.up().map(ToClient::Whole)
        } else {
            // Rule 2: whoever reads the other end of the body takes a part of it for a request.
            let inbound = if line.is_ambiguous(number) {
                Err(Rejected::new(StatusCode::BAD_REQUEST, "the body may end in two places\n"))
            } else {
                self.inbound(request, pace).await
            };
            let answered = match inbound {
                Ok(inbound) => self.ask(inbound, line).await,
                Err(rejected) => Err(rejected),
            };
            answered.unwrap_or_else(|rejected| {
                let mut response = rejected.into_response().map(ToClient::Whole);
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

    /// Whether the front asks if this proxy serves. A class may have the name of that call; its requests name it.
    fn is_check(&self, request: &Request<Incoming>) -> bool {
        let asks_a_class =
            || self.classes.contains_key("up") && request.headers().contains_key(SERVICE_CLASS);
        request.uri().path() == "/up" && !asks_a_class()
    }

    fn up(&self) -> Response<Held> {
        if self.lifecycle.is_up() {
            plain(StatusCode::OK, "up\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    async fn ask(&self, inbound: Inbound, line: &Line) -> Result<Response<ToClient>, Rejected> {
        // It may have left before its connection was accepted, say.
        if line.is_left() {
            return Err(LEFT);
        }
        // Rule 2: passed on, a second request of the same id would be a second copy of the first.
        let Some(_id) = OpenId::claim(&self.ids, &inbound.call.headers) else {
            return Err(Rejected::new(StatusCode::CONFLICT, "a request of this id is open\n"));
        };
        let rest = inbound.call.body.rest();
        let (sender, answer) = oneshot::channel();
        let ticket = self.counters.take(inbound.request.class);
        let guard = Guard { handle: &self.handle, request: inbound.request.id, answered: false };
        self.handle.tell(Message::Request(Box::new(inbound), sender));
        let left = async {
            match rest {
                None => line.left(&self.budget.bodies).await,
                Some(_) => line.socket().ended().await,
            }
        };
        // The library sees that a client has left only where it has read all that came ahead of it.
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = left => return Err(LEFT),
        };
        guard.answered();
        let (response, end) = match answer {
            Ok(Answer::Served(served)) => {
                let mut body = served.body;
                match &mut body {
                    AnswerBody::Whole(_) => ticket.note(End::Passed),
                    AnswerBody::Passing(passing) => passing.carry(ticket),
                }
                let mut response = Response::new(ToClient::from(body));
                if let Some(content_type) = served.content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                return Ok(response);
            }
            Ok(Answer::Refused { retry_after }) => (refusal(retry_after), End::Dropped),
            Ok(Answer::Failed) | Err(_) => (plain(StatusCode::BAD_GATEWAY, "failed\n"), End::BadGateway),
        };
        ticket.note(end);
        // A request is taken with its last byte. Answered before, its client would be cut off.
        if let Some(upload) = rest.and_then(|rest| rest.take()) {
            upload.read_out().await;
        }
        Ok(response.map(ToClient::Whole))
    }

    /// Reads a request's body, as far as it is to be held.
    async fn collect(&self, mut body: Incoming, pace: Pace) -> Result<CallBody, Rejected> {
        let is_small = body.size_hint().exact().is_none_or(|length| length <= HOLD_CAP as u64);
        let (mut held, mut reserved) = (Gathered::default(), Vec::new());
        while is_small && held.len() <= HOLD_CAP {
            let data = timeout_at(pace.late(held.len() as u64), next_data(&mut body)).await;
            let data = data.map_err(|_| Rejected::new(StatusCode::REQUEST_TIMEOUT, "the body is late\n"))?;
            match data.map_err(|_| Rejected::new(StatusCode::BAD_REQUEST, "the body is broken\n"))? {
                Some(data) => held.add(data),
                None => return Ok(CallBody::Whole(held.take(), reserved)),
            }
            // Each part is reserved when it comes: a slow client takes no more than it has sent.
            while held.len() > (reserved.len() + 1) * BODY_CAP {
                let Some(part) = self.budget.bodies.reserve(BODY_CAP) else {
                    return Ok(self.upload(held, reserved, body, pace));
                };
                reserved.push(part);
            }
        }
        Ok(self.upload(held, reserved, body, pace))
    }

    fn upload(&self, held: Gathered, reserved: Vec<Reserved>, rest: Incoming, pace: Pace) -> CallBody {
        Upload::new(held.take(), reserved, rest, pace, Rc::clone(&self.counters)).into()
    }

    async fn inbound(&self, request: Request<Incoming>, pace: Pace) -> Result<Inbound, Rejected> {
        let (head, body) = request.into_parts();
        let bad = |why| Rejected::new(StatusCode::BAD_REQUEST, why);
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        // Customers' own names may have letters beyond ASCII.
        let named = |name| head.headers.get(name).and_then(|v| std::str::from_utf8(v.as_bytes()).ok());
        if body.size_hint().lower() > PASS_CAP {
            return Err(TOO_LARGE);
        }
        // Whoever reads the other one of two takes the request for something else.
        if ONCE.iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(bad("a header comes twice\n"));
        }
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        let (class, facts) = self.classes.get(in_path).ok_or(bad("unknown class\n"))?;
        if head.headers.contains_key(SERVICE_CLASS) && named(SERVICE_CLASS) != Some(in_path) {
            return Err(bad("the class of the header is not that of the path\n"));
        }
        if head.method != facts.method {
            return Err(Rejected::method(if facts.method == Method::GET { "GET" } else { "POST" }));
        }
        // Without its key a repeat would not be dropped.
        if facts.keyed && text(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
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
        let time_left = time_left.filter(|&ms| ms <= MOST_TIME_LEFT_MS);
        let patience = time_left.ok_or(bad("X-Time-Left-Ms is missing or makes no sense\n"))? * 1_000;
        let mut request = crate::api::Request {
            id: self.handle.number(),
            class: *class,
            tenant,
            key: head.uri.query().and_then(key),
            patience: patience.min(facts.deadline),
            work: text(WEIGHT_HINT).and_then(|v| v.trim().parse().ok()),
            repeat: text(REPEAT) == Some("1"),
        };
        let body = self.collect(body, pace).await?;
        let (target, headers) = origin_form(head.uri, forwarded(head.headers));
        let call = Call { method: head.method, target, headers, body, over: Over::default() };
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
struct Guard<'a> {
    handle: &'a Handle,
    request: RequestId,
    answered: bool,
}

impl Guard<'_> {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Guard<'_> {
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

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Held> {
    let mut response = Response::new(Held::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn refusal(retry_after: Micros) -> Response<Held> {
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
    let _ = timeout(LINGER_MOST, async {
        let mut buffer = vec![0; LINGER_BUFFER];
        while let Ok(Some(_)) = timeout(LINGER, socket.read(&mut buffer)).await {}
    })
    .await;
}
