//! Serving of operator calls: readiness, counters, and taking the proxy out of service.
//!
//! Each connection carries one call, which is answered from the state in memory.

use super::backends::BackendClient;
use super::bodies::BufferedBody;
use super::budget::MAX_OPERATOR_CALLS;
use super::counters::Counters;
use super::lifecycle::{Lifecycle, ShuttingDown};
use super::messages::{DriverHandle, Message};
use super::responses::{ErrorResponse, plain_text_response};
use super::socket::Socket;
use super::time_limits::ACCEPT_BACKOFF;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// The time within which a call must arrive completely.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest head of a call. hyper accepts no smaller limit.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The largest body of a call. No call needs a body.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

type OperatorResponse = Response<BufferedBody>;

/// A call that operators can make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorCall {
    Ready,
    Counters,
    OutOfService,
    InService,
}

/// The methods that a call accepts.
struct CallMethods {
    accepted: &'static [Method],
    /// The value of the `Allow` header in the response to another method.
    allow_header: &'static str,
}

impl OperatorCall {
    /// Returns the call that a path names; `None` if there is no such call.
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/control/ready" => Some(Self::Ready),
            "/control/counters" => Some(Self::Counters),
            "/control/out-of-service" => Some(Self::OutOfService),
            "/control/in-service" => Some(Self::InService),
            _ => None,
        }
    }

    fn methods(self) -> CallMethods {
        match self {
            Self::Ready | Self::Counters => CallMethods {
                accepted: &[Method::GET, Method::HEAD],
                allow_header: "GET, HEAD",
            },
            Self::OutOfService | Self::InService => CallMethods {
                accepted: &[Method::POST],
                allow_header: "POST",
            },
        }
    }
}

/// Serves the calls of operators.
pub struct OperatorServer {
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    backend_client: Rc<BackendClient>,
    handle: DriverHandle,
}

impl OperatorServer {
    /// Creates a server that reports the state of the lifecycle, the counters and the backends, and that changes the
    /// stage of the lifecycle.
    #[must_use]
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        backend_client: Rc<BackendClient>,
        handle: DriverHandle,
    ) -> Rc<Self> {
        Rc::new(Self {
            lifecycle,
            counters,
            backend_client,
            handle,
        })
    }

    /// Accepts and serves calls while the proxy runs. At most [`MAX_OPERATOR_CALLS`] calls are open. A further call
    /// ends the oldest one, which has had the most time to arrive.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut open_calls: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "cannot accept an operator connection");
                    sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            open_calls.retain(|call| !call.is_finished());
            if open_calls.len() >= MAX_OPERATOR_CALLS
                && let Some(oldest) = open_calls.pop_front()
            {
                oldest.abort();
            }
            let call = tokio::task::spawn_local(Rc::clone(&self).serve_connection(stream));
            open_calls.push_back(call.abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let deadline = Instant::now() + CALL_TIMEOUT;
        let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
            let operator = Rc::clone(&self);
            Box::pin(async move {
                let response = operator.respond(request, deadline).await;
                Ok::<_, Infallible>(response.unwrap_or_else(ErrorResponse::into_response))
            })
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(CALL_TIMEOUT)
            .keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let _ = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        let stream = connection.into_parts().io.into_inner();
        Socket::new(stream).linger().await;
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        deadline: Instant,
    ) -> Result<OperatorResponse, ErrorResponse> {
        let (head, body) = request.into_parts();
        let Some(call) = OperatorCall::from_path(head.uri.path()) else {
            return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "no such call\n"));
        };
        let methods = call.methods();
        if !methods.accepted.contains(&head.method) {
            return Err(ErrorResponse::method_not_allowed(methods.allow_header));
        }
        receive_body(body, deadline).await?;
        self.execute(call).await
    }

    async fn execute(&self, call: OperatorCall) -> Result<OperatorResponse, ErrorResponse> {
        match call {
            OperatorCall::Ready => self.readiness(),
            OperatorCall::Counters => Ok(self.counters().await),
            OperatorCall::OutOfService => {
                self.stage_change_response(call, self.lifecycle.take_out_of_service())
            }
            OperatorCall::InService => {
                self.stage_change_response(call, self.lifecycle.return_to_service())
            }
        }
    }

    fn readiness(&self) -> Result<OperatorResponse, ErrorResponse> {
        if self.lifecycle.is_in_service() {
            Ok(plain_text_response(StatusCode::OK, "ready\n"))
        } else {
            Err(ErrorResponse::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready\n",
            ))
        }
    }

    /// Logs a call that changes the stage, and returns the response to it.
    fn stage_change_response(
        &self,
        call: OperatorCall,
        result: Result<(), ShuttingDown>,
    ) -> Result<OperatorResponse, ErrorResponse> {
        let stage = self.lifecycle.stage();
        tracing::info!(?call, ?stage, "operator call");
        match result {
            Ok(()) => Ok(plain_text_response(StatusCode::OK, "done\n")),
            Err(ShuttingDown) => Err(ErrorResponse::new(
                StatusCode::CONFLICT,
                "the process ends\n",
            )),
        }
    }

    async fn counters(&self) -> OperatorResponse {
        let (sender, avoided_backends) = oneshot::channel();
        self.handle.send(Message::CountAvoidedBackends(sender));
        let avoided_backends = avoided_backends.await.unwrap_or_default();
        let text = self
            .counters
            .render(self.backend_client.len(), avoided_backends);
        let mut response = Response::new(BufferedBody::from(Bytes::from(text)));
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, METRICS_CONTENT_TYPE);
        response
    }
}

/// Receives and discards the body of a call, because a call is executed only after it has arrived completely.
///
/// # Errors
/// The body is too large, incomplete or late.
async fn receive_body(body: Incoming, deadline: Instant) -> Result<(), ErrorResponse> {
    let too_large = || ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large\n");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_large());
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout_at(deadline, body).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "the call is broken\n",
        )),
        Err(_) => Err(ErrorResponse::new(
            StatusCode::REQUEST_TIMEOUT,
            "the call is late\n",
        )),
    }
}
