//! Relays a streamed response to its client.

use super::call::RequestEnded;
use super::error::BackendError;
use super::response::PartialBody;
use crate::api::Outcome;
use crate::proxy::bodies::{
    BufferedBody, REQUEST_BODY_PACE, RESPONSE_BODY_PACE, ResponseSender, WaitAllowance, next_data,
};
use crate::proxy::size_limits::{BUFFERED_BODY_BYTES, MAX_FORWARDED_BODY_BYTES};
use crate::proxy::time_limits::CLIENT_READ_TIMEOUT;
use bytes::Bytes;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// The pause that the backend of a body of unknown length may make before it has sent anything.
const GRACE: Duration = Duration::from_millis(250);
/// A response of unknown length of which no more has been forwarded is taken for a short one. A slow backend sends as much
/// within [`MAX_SHORT_PAUSE`].
const MAX_SHORT_BYTES: u64 = 3 * 1024;
/// The longest pause in a response that is taken for a short one. Its client expects the last byte, or a reset, within
/// half a second after the request's timeout.
const MAX_SHORT_PAUSE: Duration = Duration::from_millis(400);
/// The longest time for which a backend is waited for in total while its response is relayed: the time that the largest
/// body takes at the rate that clients must keep. It bounds a slow response that never ends.
const MAX_TOTAL_WAIT: Duration =
    Duration::from_secs(MAX_FORWARDED_BODY_BYTES / REQUEST_BODY_PACE.bytes_per_second);

/// Why a response was cut off.
#[derive(Debug, thiserror::Error)]
pub(super) enum CutOffReason {
    /// The backend's connection broke, or the body is malformed.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The body has become larger than [`MAX_FORWARDED_BODY_BYTES`].
    #[error("the body exceeds {max} bytes", max = MAX_FORWARDED_BODY_BYTES)]
    TooLarge,
    /// The body arrived too slowly after the end of its request.
    #[error("the body arrives too slowly after the end of its request")]
    TooSlow,
    /// The client has disconnected or reads nothing.
    #[error("the client no longer reads the response")]
    ClientGone,
    /// The balancer cancelled the attempt.
    #[error("the attempt was cancelled")]
    Cancelled,
}

impl CutOffReason {
    /// Returns the outcome of the attempt.
    fn outcome(&self) -> Outcome {
        match self {
            Self::Backend(error) if error.is_malformed() => Outcome::CorruptResponse,
            Self::Backend(_) => Outcome::Reset,
            Self::TooLarge => Outcome::CorruptResponse,
            Self::TooSlow => Outcome::Timeout,
            Self::ClientGone | Self::Cancelled => Outcome::Cancelled,
        }
    }
}

/// A response that ended before it was complete.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub(super) struct ResponseCutOff {
    /// Number of bytes of the body that were forwarded.
    pub(super) forwarded_bytes: u64,
    /// Why the response was cut off.
    #[source]
    pub(super) reason: CutOffReason,
}

impl ResponseCutOff {
    /// Returns the outcome of the attempt.
    pub(super) fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }
}

/// Relays a body at the rate at which the client reads it.
///
/// A body may take longer than its request's timeout if its first bytes did not. After the end of its request it is cut
/// off, depending on its length:
///
/// | length | cut off |
/// | --- | --- |
/// | at most [`BUFFERED_BODY_BYTES`] | at once, because the client waits for the last byte only until the timeout |
/// | more | after a pause of the `max_pause` of [`RESPONSE_BODY_PACE`], or [`MAX_TOTAL_WAIT`] in total |
/// | unknown | after a pause that the received bytes do not entitle the backend to ([`RESPONSE_BODY_PACE`]), because the body may be short or endless; of at most [`MAX_SHORT_PAUSE`] up to [`MAX_SHORT_BYTES`]; or [`MAX_TOTAL_WAIT`] in total |
///
/// # Errors
/// [`ResponseCutOff`] if the response ends before it is complete.
pub(super) async fn relay_body(
    sender: ResponseSender,
    body: PartialBody,
    cancel: oneshot::Receiver<()>,
    request_ended: &RequestEnded,
) -> Result<(), ResponseCutOff> {
    let mut relay = Relay {
        sender,
        rest: body.rest,
        length: body.length,
        forwarded: 0,
        allowance: WaitAllowance::new(RESPONSE_BODY_PACE, GRACE),
        total_wait: Duration::ZERO,
        cancel,
        request_ended,
    };
    match relay.run(body.first).await {
        Ok(()) => {
            relay.sender.finish().await;
            Ok(())
        }
        Err(reason) => Err(ResponseCutOff {
            forwarded_bytes: relay.forwarded,
            reason,
        }),
    }
}

/// A body that is being relayed.
struct Relay<'a> {
    sender: ResponseSender,
    rest: Incoming,
    length: Option<u64>,
    /// Number of bytes passed to the [`ResponseSender`].
    forwarded: u64,
    /// The time for which the backend of a body of unknown length may still pause after the end of the request.
    allowance: WaitAllowance,
    /// The time for which the backend has been waited for so far.
    total_wait: Duration,
    cancel: oneshot::Receiver<()>,
    request_ended: &'a RequestEnded,
}

impl Relay<'_> {
    /// Forwards `first` and then the rest of the body.
    async fn run(&mut self, first: BufferedBody) -> Result<(), CutOffReason> {
        for piece in first.into_pieces() {
            self.allowance.receive(piece.len());
            self.forward(piece).await?;
        }
        while let Some(data) = self.receive().await? {
            self.forward(data).await?;
        }
        Ok(())
    }

    /// Waits for the next data of the body and returns it, or `None` at its end. The wait begins after all data received
    /// so far has been forwarded, so the time that a slow client takes does not count against the backend.
    ///
    /// # Errors
    /// The same as those of [`Self::receive_until`].
    async fn receive(&mut self) -> Result<Option<Bytes>, CutOffReason> {
        let began = Instant::now();
        let wait_ends_at = self.wait_ends_at(began);
        let received = self.receive_until(wait_ends_at).await?;
        self.total_wait += began.elapsed();
        if let Some(data) = &received {
            self.allowance.receive(data.len());
        }
        Ok(received)
    }

    /// Returns the time until which a wait that begins now may last if the request has ended by then.
    fn wait_ends_at(&mut self, now: Instant) -> Instant {
        let pause_ends_at = match self.length {
            Some(length) if length <= BUFFERED_BODY_BYTES as u64 => now,
            Some(_) => now + RESPONSE_BODY_PACE.max_pause,
            None if self.forwarded <= MAX_SHORT_BYTES => {
                self.allowance.begin_wait().min(now + MAX_SHORT_PAUSE)
            }
            None => self.allowance.begin_wait(),
        };
        pause_ends_at.min(now + MAX_TOTAL_WAIT.saturating_sub(self.total_wait))
    }

    /// Returns the next data of the body, or `None` at its end. Waits until `wait_ends_at`, or until the end of the
    /// request if that is later.
    ///
    /// # Errors
    /// The reason if the body fails or is cut off, if the client no longer reads it, or if the attempt is cancelled.
    async fn receive_until(
        &mut self,
        wait_ends_at: Instant,
    ) -> Result<Option<Bytes>, CutOffReason> {
        let request_ended = self.request_ended;
        let too_slow = async {
            request_ended.wait().await;
            sleep_until(wait_ends_at).await;
            // If the process was held up, data may have arrived that its connection has not read yet.
            yield_now().await;
        };
        tokio::select! {
            biased;
            received = next_data(&mut self.rest) => Ok(received.map_err(BackendError::from)?),
            () = self.sender.closed() => Err(CutOffReason::ClientGone),
            Ok(()) = &mut self.cancel => Err(CutOffReason::Cancelled),
            () = too_slow => Err(CutOffReason::TooSlow),
        }
    }

    /// Passes data to the [`ResponseSender`] and waits until it is accepted.
    ///
    /// # Errors
    /// The reason if the body is too large or the client does not read it.
    async fn forward(&mut self, data: Bytes) -> Result<(), CutOffReason> {
        self.forwarded += data.len() as u64;
        if self.forwarded > MAX_FORWARDED_BODY_BYTES {
            return Err(CutOffReason::TooLarge);
        }
        self.sender
            .send(data, CLIENT_READ_TIMEOUT)
            .await
            .map_err(|_| CutOffReason::ClientGone)
    }
}
