//! The operators' address: one call to a connection, answered from memory.

use super::backends::Backends;
use super::bodies::BufferedBody;
use super::counters::Counters;
use super::lifecycle::{Lifecycle, ShuttingDown};
use super::limits::{ACCEPT_BACKOFF, MAX_OPERATOR_CALLS};
use super::messages::{Handle, Message};
use super::responses::{Rejection, plain};
use super::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// How long a caller may take for its call.
const CALL_TIME: Duration = Duration::from_millis(2_000);
/// The largest head of a call; hyper takes no smaller one.
const HEAD_CAP: usize = 8 * 1024;
/// The largest body. No call needs one.
const BODY_CAP: usize = 4 * 1024;
/// The text form of the figures.
const FORM: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

type Answer = Response<BufferedBody>;

/// Answers operators.
pub struct Operator {
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    backends: Rc<Backends>,
    handle: Handle,
}

impl Operator {
    /// What it answers from.
    #[must_use]
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        backends: Rc<Backends>,
        handle: Handle,
    ) -> Rc<Self> {
        Rc::new(Self {
            lifecycle,
            counters,
            backends,
            handle,
        })
    }

    /// Takes calls for as long as the proxy runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let open: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("accept of a call: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let mut open = open.borrow_mut();
            open.retain(|call| !call.is_finished());
            if open.len() >= MAX_OPERATOR_CALLS
                && let Some(first) = open.pop_front()
            {
                first.abort();
            }
            open.push_back(tokio::task::spawn_local(Rc::clone(&self).call(stream)).abort_handle());
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let late = Instant::now() + CALL_TIME;
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let operator = Rc::clone(&self);
            Box::pin(async move {
                let answer = operator.answer(request, late).await;
                Ok::<_, Infallible>(answer.unwrap_or_else(Rejection::into_response))
            })
        });
        let mut conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(CALL_TIME)
            .keep_alive(false)
            .max_buf_size(HEAD_CAP)
            .serve_connection(TokioIo::new(stream), service);
        let _ = std::future::poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
        Socket::new(conn.into_parts().io.into_inner())
            .linger()
            .await;
    }

    async fn answer(&self, request: Request<Incoming>, late: Instant) -> Result<Answer, Rejection> {
        let (head, body) = request.into_parts();
        let post = match head.uri.path() {
            "/control/ready" | "/control/counters" => false,
            "/control/out-of-service" | "/control/in-service" => true,
            _ => return Err(Rejection::new(StatusCode::NOT_FOUND, "no such call\n")),
        };
        let (allowed, names): (&[Method], _) = if post {
            (&[Method::POST], "POST")
        } else {
            (&[Method::GET, Method::HEAD], "GET, HEAD")
        };
        if !allowed.contains(&head.method) {
            return Err(Rejection::method(names));
        }
        // Half a call is none.
        let too_large = Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large\n");
        if body.size_hint().lower() > BODY_CAP as u64 {
            return Err(too_large);
        }
        match timeout_at(late, Limited::new(body, BODY_CAP).collect()).await {
            Err(_) => {
                return Err(Rejection::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "the call is late\n",
                ));
            }
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(too_large);
            }
            Ok(Err(_)) => {
                return Err(Rejection::new(
                    StatusCode::BAD_REQUEST,
                    "the call is broken\n",
                ));
            }
            Ok(Ok(_)) => {}
        }
        match head.uri.path() {
            "/control/counters" => Ok(self.counters().await),
            "/control/out-of-service" => {
                self.done("out of service", self.lifecycle.take_out_of_service())
            }
            "/control/in-service" => self.done("in service", self.lifecycle.return_to_service()),
            _ if self.lifecycle.is_in_service() => Ok(plain(StatusCode::OK, "ready\n")),
            _ => Err(Rejection::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready\n",
            )),
        }
    }

    fn done(&self, what: &str, done: Result<(), ShuttingDown>) -> Result<Answer, Rejection> {
        tracing::info!(
            "an operator wants the proxy {what}: {:?}",
            self.lifecycle.stage()
        );
        done.map_err(|ShuttingDown| Rejection::new(StatusCode::CONFLICT, "the process ends\n"))?;
        Ok(plain(StatusCode::OK, "done\n"))
    }

    async fn counters(&self) -> Answer {
        let (sender, avoided) = oneshot::channel();
        self.handle.send(Message::CountAvoidedBackends(sender));
        let text = self
            .counters
            .text(self.backends.len(), avoided.await.unwrap_or_default());
        let mut response = Response::new(BufferedBody::from(Bytes::from(text)));
        response.headers_mut().insert(header::CONTENT_TYPE, FORM);
        response
    }
}
