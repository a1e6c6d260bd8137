//! Relays a streamed response to its client.

use super::call::RequestEnded;
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

/// Time from the start of the relay in which the rate of a body is not checked. A body of unknown length may be half a
/// second late: it is buffered for up to 250 ms before its relay starts.
const GRACE: Duration = Duration::from_millis(250);

/// Relays a body at the rate at which the client reads it, and returns the outcome of the attempt.
///
/// A body of unknown length may be endless. It is cut off if it arrives too slowly after its request has ended, unless
/// more than [`BUFFERED_BODY_BYTES`] of it have been forwarded.
pub(super) async fn relay_body(
    sender: ResponseSender,
    body: PartialBody,
    cancel: oneshot::Receiver<()>,
    request_ended: &RequestEnded,
) -> Outcome {
    let mut relay = Relay {
        sender,
        rest: body.rest,
        length: body.length,
        forwarded: 0,
        deadline: BodyDeadline {
            grace_ends_at: Instant::now() + GRACE,
        },
        cancel,
        request_ended,
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
    /// Number of bytes passed to the [`ResponseSender`].
    forwarded: u64,
    deadline: BodyDeadline,
    cancel: oneshot::Receiver<()>,
    request_ended: &'a RequestEnded,
}

impl Relay<'_> {
    /// Forwards `first` and then the rest of the body.
    async fn run(&mut self, first: BufferedBody) -> Result<(), Outcome> {
        for piece in first.into_pieces() {
            self.forward(piece).await?;
        }
        while let Some(data) = self.receive().await? {
            self.forward(data).await?;
        }
        Ok(())
    }

    /// Returns the next data of the body, or `None` at its end.
    ///
    /// # Errors
    /// The outcome of the attempt if the body fails or is cut off, if the client no longer reads it, or if the attempt
    /// is cancelled.
    async fn receive(&mut self) -> Result<Option<Bytes>, Outcome> {
        let request_ended = self.request_ended;
        let late_at = self.deadline.after_receiving(self.forwarded);
        // All data received so far has been forwarded by now, so the time that a slow client takes does not count
        // against the backend.
        let too_slow = async {
            request_ended.wait().await;
            sleep_until(late_at).await;
        };
        let may_be_endless = self.length.is_none() && self.forwarded <= BUFFERED_BODY_BYTES as u64;
        tokio::select! {
            biased;
            received = timeout(RESPONSE_STALL_TIMEOUT, next_data(&mut self.rest)) => match received {
                Ok(Ok(data)) => Ok(data),
                Ok(Err(error)) => Err(failure_outcome(error)),
                Err(_) => Err(Outcome::Timeout),
            },
            () = self.sender.closed() => Err(Outcome::Cancelled),
            Ok(()) = &mut self.cancel => Err(Outcome::Cancelled),
            () = too_slow, if may_be_endless => Err(Outcome::Timeout),
        }
    }

    /// Passes data to the [`ResponseSender`] and waits until it is accepted.
    ///
    /// # Errors
    /// The outcome of the attempt if the body is too large or the client does not read it.
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

/// Returns the outcome of an attempt whose response body failed.
fn failure_outcome(error: hyper::Error) -> Outcome {
    if BackendError::from(error).is_malformed() {
        Outcome::CorruptResponse
    } else {
        Outcome::Reset
    }
}
