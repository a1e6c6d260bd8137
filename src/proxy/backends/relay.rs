//! An answer that is passed on to its client while it comes.

use super::call::CancelSignal;
use super::exchange::ExchangeError;
use super::reply::PartialBody;
use crate::api::Outcome;
use crate::proxy::bodies::{AnswerSender, BodyDeadline, BufferedBody, ReceiverGone, next_data};
use crate::proxy::limits::{ANSWER_STALL, BODY_CAP, PASS_CAP};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

/// How long an answer that flows may come too slowly at first. An answer may be half a second late.
const SLOW_START_GRACE: Duration = Duration::from_millis(250);

/// Passes an answer on as fast as its client takes it. One whose length nobody knows, that is of a usual size
/// so far and comes too slowly when its request's time is over, is taken for one without an end.
pub(super) async fn relay_answer(
    sender: AnswerSender,
    answer: PartialBody,
    mut cancel: oneshot::Receiver<()>,
    over: &CancelSignal,
) -> Outcome {
    let PartialBody {
        first,
        rest: mut body,
        length,
    } = answer;
    let deadline = BodyDeadline {
        grace_ends: Instant::now() + SLOW_START_GRACE,
    };
    let Ok(mut passed) = pass_first(&sender, first).await else {
        return Outcome::Cancelled;
    };
    loop {
        // Where it is waited for, all that has come was passed on, however slowly its client reads.
        let too_slow = async {
            over.triggered().await;
            sleep_until(deadline.after(passed)).await;
        };
        let data = tokio::select! {
            biased;
            data = timeout(ANSWER_STALL, next_data(&mut body)) => data,
            () = sender.closed() => return Outcome::Cancelled,
            Ok(()) = &mut cancel => return Outcome::Cancelled,
            () = too_slow, if length.is_none() && passed <= BODY_CAP as u64 => return Outcome::Timeout,
        };
        let data = match data {
            Ok(Ok(Some(data))) => data,
            Ok(Ok(None)) => {
                sender.finish().await;
                return Outcome::Ok;
            }
            Ok(Err(error)) => return broken_off(error),
            Err(_) => return Outcome::Timeout,
        };
        passed += data.len() as u64;
        if passed > PASS_CAP {
            return Outcome::CorruptResponse;
        }
        if sender.send(data, ANSWER_STALL).await.is_err() {
            return Outcome::Cancelled;
        }
    }
}

/// Passes on what had come at the beginning; its bytes.
async fn pass_first(sender: &AnswerSender, first: BufferedBody) -> Result<u64, ReceiverGone> {
    let mut passed = 0;
    for piece in first.into_pieces() {
        passed += piece.len() as u64;
        sender.send(piece, ANSWER_STALL).await?;
    }
    Ok(passed)
}

fn broken_off(error: hyper::Error) -> Outcome {
    match ExchangeError::from(error) {
        ExchangeError::Malformed => Outcome::CorruptResponse,
        _ => Outcome::Reset,
    }
}
