//! One discovery service: its listeners, connections and calls.

use super::board::{Board, Entry};
use super::turns::Turns;
use crate::live::counted::{CountedStream, Side, Traffic};
use crate::live::scenario::DownCalls;
use crate::live::spread::SpreadTracker;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A call for changes that comes this soon after the last answer continues the watch.
const CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// The longest wait that a watch may ask for.
const LONGEST_WATCH: Duration = Duration::from_secs(60);
/// Connections that wait to be accepted: a whole fleet may connect at once.
const BACKLOG: u32 = 4_096;
/// Pause after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
const LIST_PATH: &str = "/discovery/hosts";

/// Whether a service answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It answers.
    Up,
    /// It does not.
    Down(DownCalls),
    /// It has moved: it takes no new connection, and answers on those that are open.
    Leaving,
    /// It has moved, and every connection ends.
    Closed,
}

/// Who calls at a listener.
#[derive(Clone, Debug)]
pub enum Caller {
    /// A real process.
    Real {
        /// Its position among the real ones, which is its number in the spread tracker.
        process: usize,
        /// What it exchanges with discovery.
        traffic: Arc<Traffic>,
    },
    /// Any hollow proxy; they count for themselves.
    Hollow,
}

/// One service.
#[derive(Debug)]
pub struct Service {
    board: Mutex<Board>,
    revision: watch::Sender<u64>,
    availability: watch::Sender<Availability>,
    /// `None` where calls cost no turn.
    turns: Option<Turns>,
    tracker: Arc<SpreadTracker>,
}

/// A call as it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListCall {
    /// The revision that the caller holds.
    pub after: Option<u64>,
    /// How long it waits for a newer one.
    pub wait: Duration,
}

impl ListCall {
    /// Reads the query; parts that are missing or make no sense count as not there.
    #[must_use]
    pub fn parse(query: &str) -> Self {
        let pairs = || query.split('&').filter_map(|pair| pair.split_once('='));
        let number = |name: &str| {
            pairs()
                .find(|(key, _)| *key == name)
                .and_then(|(_, v)| v.parse().ok())
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        Self {
            after: number("after"),
            wait: wait.min(LONGEST_WATCH),
        }
    }
}

/// When the last answer on a connection was given.
type LastAnswer = Mutex<Option<Instant>>;

impl Service {
    /// A service that lists what is on the board.
    #[must_use]
    pub fn new(board: Board, turns: Option<Turns>, tracker: Arc<SpreadTracker>) -> Arc<Self> {
        let revision = watch::Sender::new(board.revision());
        let availability = watch::Sender::new(Availability::Up);
        Arc::new(Self {
            board: Mutex::new(board),
            revision,
            availability,
            turns,
            tracker,
        })
    }

    /// The board.
    pub fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes entries in one revision, for a change that was made at that time.
    pub fn change(&self, which: &[usize], how: impl FnMut(&mut Entry), made: Instant) {
        let mut board = self.board();
        let revision = board.change(which, how);
        // Before anybody can be answered with it.
        self.tracker.changed(revision, made);
        drop(board);
        self.revision.send_replace(revision);
    }

    /// Sets whether it answers.
    pub fn become_available(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Opens a listener on loopback and serves it for as long as the service is there; its address.
    ///
    /// # Errors
    /// Where no port is left.
    pub async fn listen(self: Arc<Self>, caller: Caller) -> io::Result<SocketAddr> {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            if let Err(error) = self.accept(listener, caller).await {
                tracing::warn!("discovery no longer listens on {address}: {error}");
            }
        });
        Ok(address)
    }

    async fn accept(self: Arc<Self>, mut listener: TcpListener, caller: Caller) -> io::Result<()> {
        let mut availability = self.availability.subscribe();
        loop {
            let now = *availability.borrow_and_update();
            match now {
                Availability::Up
                | Availability::Down(DownCalls::Reset | DownCalls::Unavailable) => {
                    tokio::select! {
                        _ = availability.changed() => {}
                        accepted = listener.accept() => match accepted {
                            Ok((stream, _)) => self.take(stream, now, &caller),
                            Err(error) => {
                                tracing::warn!("discovery's accept: {error}");
                                sleep(ACCEPT_BACKOFF).await;
                            }
                        },
                    }
                }
                Availability::Down(DownCalls::Refused) => {
                    let address = listener.local_addr()?;
                    drop(listener);
                    // Bound and not listening: connections are refused, and nobody else gets the port.
                    let reserved = bind(address)?;
                    let _ = availability.changed().await;
                    listener = reserved.listen(BACKLOG)?;
                }
                Availability::Leaving | Availability::Closed => return Ok(()),
            }
        }
    }

    fn take(self: &Arc<Self>, stream: TcpStream, now: Availability, caller: &Caller) {
        if now == Availability::Down(DownCalls::Reset) {
            return reset(stream);
        }
        tokio::spawn(Arc::clone(self).serve(stream, caller.clone()));
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, caller: Caller) {
        let _ = stream.set_nodelay(true);
        let traffic = match &caller {
            Caller::Real { traffic, .. } => Arc::clone(traffic),
            Caller::Hollow => Arc::default(),
        };
        let stream = CountedStream::new(stream, traffic, Side::Discovery);
        let mut availability = self.availability.subscribe();
        let last_answer = Arc::new(LastAnswer::default());
        let service = service_fn(move |request| {
            let (service, caller) = (Arc::clone(&self), caller.clone());
            let last_answer = Arc::clone(&last_answer);
            Box::pin(async move {
                Ok::<_, Infallible>(service.respond(&request, &caller, &last_answer).await)
            })
        });
        let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let ends = |now: &Availability| {
            matches!(
                now,
                Availability::Closed | Availability::Down(DownCalls::Reset | DownCalls::Refused)
            )
        };
        let is_down = tokio::select! {
            _ = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => false,
            now = availability.wait_for(ends) => now.is_ok_and(|now| *now != Availability::Closed),
        };
        if is_down {
            reset(connection.into_parts().io.into_inner().into_inner());
        }
    }

    async fn respond(
        &self,
        request: &Request<Incoming>,
        caller: &Caller,
        last_answer: &LastAnswer,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() != LIST_PATH {
            return plain(StatusCode::NOT_FOUND);
        }
        let call = ListCall::parse(request.uri().query().unwrap_or_default());
        self.note(call, caller);
        let mut availability = self.availability.subscribe();
        let goes_down = availability.wait_for(|now| matches!(now, Availability::Down(_)));
        let response = tokio::select! {
            _ = goes_down => plain(StatusCode::SERVICE_UNAVAILABLE),
            response = self.list(call, last_answer) => response,
        };
        if response.status() == StatusCode::OK {
            *last_answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        response
    }

    /// A real process that asks for what is newer than a revision holds that one.
    fn note(&self, call: ListCall, caller: &Caller) {
        if let Caller::Real { process, traffic } = caller {
            traffic.calls.fetch_add(1, Ordering::Relaxed);
            if let Some(after) = call.after {
                self.tracker.holds(*process, after);
            }
        }
    }

    async fn list(&self, call: ListCall, last_answer: &LastAnswer) -> Response<Full<Bytes>> {
        let answered = *last_answer.lock().unwrap_or_else(PoisonError::into_inner);
        let is_continued =
            call.after.is_some() && answered.is_some_and(|at| at.elapsed() <= CONTINUES_WITHIN);
        if let (false, Some(turns)) = (is_continued, &self.turns)
            && turns.wait().await.is_err()
        {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(after) = call.after {
            let mut revision = self.revision.subscribe();
            // Nothing newer in time is an answer too.
            let _ = timeout(call.wait, revision.wait_for(|&now| now != after)).await;
        }
        match self.board().answer(call.after) {
            Ok(body) => {
                let mut response = Response::new(Full::new(body));
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            Err(error) => {
                tracing::error!("the list can't be serialized: {error}");
                plain(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
