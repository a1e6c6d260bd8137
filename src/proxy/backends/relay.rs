//! A response that is relayed to its client while it comes.

use super::call::RequestOver;
use super::error::BackendError;
use super::response::PartialBody;
use crate::api::Outcome;
use crate::proxy::bodies::{BodyDeadline, BufferedBody, ResponseSender, next_data};
use crate::proxy::size_limits::{BUFFERED_BODY_BYTES, MAX_FORWARDED_BODY_BYTES};
use crate::proxy::time_limits::RESPONSE_STALL_TIMEOUT;
use bytes::Bytes;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

/// How long a relayed response may come too slowly at first. A response may be half a second late.
const GRACE: Duration = Duration::from_millis(250);

/// Relays a body as fast as its client takes it, and returns the outcome of its attempt. One of unknown length
/// that has a usual size so far and comes too slowly once its request is over is taken for one without an end.
pub(super) async fn relay_body(
    sender: ResponseSender,
    body: PartialBody,
    cancel: oneshot::Receiver<()>,
    request_over: &RequestOver,
) -> Outcome {
    let mut relay = Relay {
        sender,
        rest: body.rest,
        length: body.length,
        forwarded: 0,
        deadline: BodyDeadline {
            grace_ends: Instant::now() + GRACE,
        },
        cancel,
        request_over,
    };
    match relay.run(body.first).await {
        Ok(()) => {
            relay.sender.finish().await;
            Outcome::Ok
        }
        Err(outcome) => outcome,
    }
}

/// A body that is being relayed.
struct Relay<'a> {
    sender: ResponseSender,
    rest: Incoming,
    length: Option<u64>,
    /// Bytes that the client's side has taken.
    forwarded: u64,
    deadline: BodyDeadline,
    cancel: oneshot::Receiver<()>,
    request_over: &'a RequestOver,
}

impl Relay<'_> {
    /// Forwards `first` and then what comes.
    async fn run(&mut self, first: BufferedBody) -> Result<(), Outcome> {
        for piece in first.into_pieces() {
            self.forward(piece).await?;
        }
        while let Some(data) = self.receive().await? {
            self.forward(data).await?;
        }
        Ok(())
    }

    /// Returns the next data of the body; `None` at its end.
    async fn receive(&mut self) -> Result<Option<Bytes>, Outcome> {
        let request_over = self.request_over;
        let late_at = self.deadline.after(self.forwarded);
        // While this waits, all that has come was forwarded, however slowly its client reads.
        let too_slow = async {
            request_over.wait().await;
            sleep_until(late_at).await;
        };
        let may_be_endless = self.length.is_none() && self.forwarded <= BUFFERED_BODY_BYTES as u64;
        tokio::select! {
            biased;
            received = timeout(RESPONSE_STALL_TIMEOUT, next_data(&mut self.rest)) => match received {
                Ok(Ok(data)) => Ok(data),
                Ok(Err(error)) => Err(failure(error)),
                Err(_) => Err(Outcome::Timeout),
            },
            () = self.sender.closed() => Err(Outcome::Cancelled),
            Ok(()) = &mut self.cancel => Err(Outcome::Cancelled),
            () = too_slow, if may_be_endless => Err(Outcome::Timeout),
        }
    }

    /// Forwards data once the client's side takes it.
    async fn forward(&mut self, data: Bytes) -> Result<(), Outcome> {
        self.forwarded += data.len() as u64;
        if self.forwarded > MAX_FORWARDED_BODY_BYTES {
            return Err(Outcome::CorruptResponse);
        }
        self.sender
            .send(data, RESPONSE_STALL_TIMEOUT)
            .await
            .map_err(|_| Outcome::Cancelled)
    }
}

/// Classifies a body that broke off.
fn failure(error: hyper::Error) -> Outcome {
    if BackendError::from(error).is_malformed() {
        Outcome::CorruptResponse
    } else {
        Outcome::Reset
    }
}
