//! A response that is relayed to its client while it comes.

use super::call::CancelSignal;
use super::error::BackendError;
use super::response::PartialBody;
use crate::api::Outcome;
use crate::proxy::bodies::{BodyDeadline, BufferedBody, ReceiverClosed, ResponseSender, next_data};
use crate::proxy::limits::{ANSWER_STALL, BODY_CAP, PASS_CAP};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

/// How long a relayed response may come too slowly at first. A response may be half a second late.
const GRACE: Duration = Duration::from_millis(250);

/// Relays a body as fast as its client takes it. One of unknown length that has a usual size so far and comes
/// too slowly once its request is over is taken for one without an end.
pub(super) async fn relay_body(
    sender: ResponseSender,
    body: PartialBody,
    mut cancel: oneshot::Receiver<()>,
    request_over: &CancelSignal,
) -> Outcome {
    let PartialBody {
        first,
        mut rest,
        length,
    } = body;
    let deadline = BodyDeadline {
        grace_ends: Instant::now() + GRACE,
    };
    let Ok(mut forwarded) = forward_first(&sender, first).await else {
        return Outcome::Cancelled;
    };
    loop {
        // While this waits, all that has come was forwarded, however slowly its client reads.
        let too_slow = async {
            request_over.triggered().await;
            sleep_until(deadline.after(forwarded)).await;
        };
        let may_be_endless = length.is_none() && forwarded <= BODY_CAP as u64;
        let received = tokio::select! {
            biased;
            received = timeout(ANSWER_STALL, next_data(&mut rest)) => received,
            () = sender.closed() => return Outcome::Cancelled,
            Ok(()) = &mut cancel => return Outcome::Cancelled,
            () = too_slow, if may_be_endless => return Outcome::Timeout,
        };
        let data = match received {
            Ok(Ok(Some(data))) => data,
            Ok(Ok(None)) => {
                sender.finish().await;
                return Outcome::Ok;
            }
            Ok(Err(error)) => return failure(error),
            Err(_) => return Outcome::Timeout,
        };
        forwarded += data.len() as u64;
        if forwarded > PASS_CAP {
            return Outcome::CorruptResponse;
        }
        if sender.send(data, ANSWER_STALL).await.is_err() {
            return Outcome::Cancelled;
        }
    }
}

/// Forwards what had come before, and returns its size in bytes.
async fn forward_first(
    sender: &ResponseSender,
    first: BufferedBody,
) -> Result<u64, ReceiverClosed> {
    let mut forwarded = 0;
    for piece in first.into_pieces() {
        forwarded += piece.len() as u64;
        sender.send(piece, ANSWER_STALL).await?;
    }
    Ok(forwarded)
}

fn failure(error: hyper::Error) -> Outcome {
    if BackendError::from(error).is_malformed() {
        Outcome::CorruptResponse
    } else {
        Outcome::Reset
    }
}
