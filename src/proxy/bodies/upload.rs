//! Request bodies that are streamed from a client to a backend.

use super::stream::{BodyError, FramePoll, StreamLength};
use super::{BodyBuffer, BodyProgress, BufferedBody, WaitAllowance};
use crate::proxy::connections::ClientConnection;
use crate::proxy::counters::Counters;
use crate::proxy::memory::{MemoryBudget, MemoryUse};
use crate::proxy::size_limits::{
    BUFFERED_BODY_BYTES, MAX_CLIENT_HEAD_BYTES, MAX_FORWARDED_BODY_BYTES,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::fmt;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

/// The state of an upload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum UploadState {
    /// The last byte has not been forwarded yet.
    #[default]
    Sending,
    /// The last byte was forwarded at this time.
    Finished(Instant),
    /// The body ended early, arrived too slowly or was too large.
    Failed,
}

/// The line break after the data of a chunk.
const CHUNK_END: &str = "\r\n";
/// The chunk that ends a body, without trailers.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// A request of a client connection, by its number on the connection.
pub struct NumberedRequest {
    /// The connection on which the request arrives.
    pub connection: Rc<ClientConnection>,
    /// The number of the request, counted from 1.
    pub number: u64,
}

/// The progress of an upload, shared by the upload and the attempts of its request.
pub struct UploadProgress {
    request: NumberedRequest,
    state: Cell<UploadState>,
    /// The time before which the client cannot have sent its last byte, as far as is known.
    last_byte_not_before: Cell<Instant>,
    /// Whether a part of the body was forwarded and is no longer in memory.
    consumed: Cell<bool>,
    /// The number of bytes that the forwarded part of the body takes on the wire if it is chunked.
    chunked_bytes: Cell<u64>,
    /// Whether the client has paused.
    is_stalled: watch::Sender<bool>,
}

impl fmt::Debug for UploadProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UploadProgress")
            .field("state", &self.state)
            .field("consumed", &self.consumed)
            .field("is_stalled", &self.is_stalled())
            .finish_non_exhaustive()
    }
}

impl UploadProgress {
    fn new(request: NumberedRequest) -> Self {
        Self {
            request,
            state: Cell::default(),
            last_byte_not_before: Cell::new(Instant::now()),
            consumed: Cell::new(false),
            chunked_bytes: Cell::new(0),
            is_stalled: watch::Sender::new(false),
        }
    }

    /// Returns the earliest time at which the client may have sent its last byte. The client's timeout counts from it.
    ///
    /// A backend that takes no more bytes keeps the upload from reading. The rest of the body may lie in the buffers of
    /// the kernel meanwhile, so the time at which the last byte is read would be too late.
    #[must_use]
    pub fn last_byte_not_before(&self) -> Instant {
        let NumberedRequest { connection, number } = &self.request;
        let known = self.last_byte_not_before.get();
        let incomplete_at = connection.body_incomplete_at(*number).unwrap_or(known);
        self.last_byte_not_before.set(known.max(incomplete_at));
        self.last_byte_not_before.get()
    }

    /// Runs an attempt that sends the body, and calls `report` whenever the client pauses in the middle of it or
    /// continues to send.
    pub async fn report_stalls<T>(
        &self,
        attempt: impl Future<Output = T>,
        report: impl Fn(bool),
    ) -> T {
        let mut is_stalled = self.is_stalled.subscribe();
        let mut attempt = pin!(attempt);
        loop {
            tokio::select! {
                biased;
                result = attempt.as_mut() => return result,
                Ok(()) = is_stalled.changed() => report(*is_stalled.borrow_and_update()),
            }
        }
    }

    /// Returns whether the client has paused.
    fn is_stalled(&self) -> bool {
        *self.is_stalled.borrow()
    }

    /// Records whether the client has paused.
    fn set_stalled(&self, stalled: bool) {
        self.is_stalled.send_if_modified(|is_stalled| {
            let is_change = *is_stalled != stalled;
            *is_stalled = stalled;
            is_change
        });
    }

    /// Returns the time at which the last byte was forwarded; `None` if it has not been forwarded.
    #[must_use]
    pub fn finished_at(&self) -> Option<Instant> {
        match self.state.get() {
            UploadState::Finished(at) => Some(at),
            UploadState::Sending | UploadState::Failed => None,
        }
    }

    /// Returns the number of bytes that a chunked body takes on the wire; `None` before its end.
    #[must_use]
    pub fn chunked_length(&self) -> Option<u64> {
        self.finished_at()?;
        Some(self.chunked_bytes.get() + LAST_CHUNK.len() as u64)
    }

    /// Counts a piece that is forwarded as a chunk of its own.
    fn count_chunk(&self, data: &Bytes) {
        if !data.is_empty() {
            let size_line = format!("{:X}\r\n", data.len());
            let chunk = size_line.len() + data.len() + CHUNK_END.len();
            self.chunked_bytes
                .set(self.chunked_bytes.get() + chunk as u64);
        }
    }

    /// Returns whether the client has left. All that it has sent must have been read.
    fn has_client_left(&self) -> bool {
        self.request.connection.has_ended()
    }

    /// Returns whether a part of the body was forwarded, so that the body cannot be sent again.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Returns whether the upload has failed: the body ended early, arrived too slowly or was too large.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.state.get() == UploadState::Failed
    }

    /// Records that the last byte was forwarded now. Later calls have no effect.
    fn finish(&self) {
        if self.finished_at().is_none() {
            self.state.set(UploadState::Finished(Instant::now()));
        }
    }
}

/// Memory for a read of a body: the read buffer, and the next piece of the part that is read ahead.
const READ_AHEAD_BYTES: usize = MAX_CLIENT_HEAD_BYTES + BUFFERED_BODY_BYTES;

/// Why an upload that waits for an attempt is not read any further.
#[derive(Debug)]
pub enum ReadAheadEnd {
    /// The whole body has been read.
    Complete,
    /// There is no memory for more.
    NoMemory,
    /// The body is broken, most likely because the client has disconnected.
    Incomplete(hyper::Error),
    /// The body is larger than [`MAX_FORWARDED_BODY_BYTES`].
    TooLarge,
}

/// A streamed request body: the part that was received before the upload began, and the rest.
pub struct Upload {
    first: BufferedBody,
    /// The part after `first` that was read while the upload waited for an attempt.
    read_ahead: BodyBuffer,
    rest: Incoming,
    allowance: WaitAllowance,
    pace: BodyProgress,
    sleep: Pin<Box<Sleep>>,
    length: StreamLength,
    /// Whether the body is read without being sent to a backend.
    is_discarded: bool,
    pub(super) progress: Rc<UploadProgress>,
    counters: Rc<Counters>,
}

impl Upload {
    /// Creates an upload of which `first` has been received.
    #[must_use]
    pub fn new(
        first: BufferedBody,
        rest: Incoming,
        request: NumberedRequest,
        allowance: WaitAllowance,
        counters: Rc<Counters>,
    ) -> Self {
        let received = first.remaining;
        let total = rest.size_hint().exact().map(|rest| rest + received);
        Self {
            first,
            read_ahead: BodyBuffer::default(),
            rest,
            allowance,
            pace: BodyProgress::begin(),
            sleep: Box::pin(sleep_until(Instant::now())),
            length: StreamLength::new(total),
            is_discarded: false,
            progress: Rc::new(UploadProgress::new(request)),
            counters,
        }
    }

    /// Reads on while the upload waits for an attempt, so that the end of its client's connection, which comes after the
    /// body, is noticed. It is pending while everything that the client has sent has been read. A body that is broken or
    /// too large must not be sent.
    pub fn poll_read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        memory: &MemoryBudget,
    ) -> Poll<ReadAheadEnd> {
        let end = loop {
            if !memory.has_room(READ_AHEAD_BYTES, MemoryUse::LargeBody) {
                break ReadAheadEnd::NoMemory;
            }
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.allowance.receive(data.len());
                        self.read_ahead.add(data);
                    }
                    let held = self.first.remaining + self.read_ahead.len() as u64;
                    if held > MAX_FORWARDED_BODY_BYTES {
                        break ReadAheadEnd::TooLarge;
                    }
                }
                Some(Err(error)) => break ReadAheadEnd::Incomplete(error),
                None => break ReadAheadEnd::Complete,
            }
        };
        Poll::Ready(end)
    }

    /// Reads and discards the rest of the body, until its end or its deadline.
    pub async fn discard_rest(mut self) {
        self.is_discarded = true;
        while let Some(Ok(_)) = self.frame().await {}
    }

    /// Passes data to hyper, which writes it to the backend, and counts it. The last byte is not passed on for a client that
    /// has left.
    fn forward(&mut self, data: Bytes) -> FramePoll {
        self.progress.consumed.set(true);
        self.length.forward(data.len());
        if self.length.forwarded() > MAX_FORWARDED_BODY_BYTES {
            return self.fail(BodyError::TooLarge);
        }
        self.progress.count_chunk(&data);
        if self.length.is_complete() {
            if self.progress.has_client_left() {
                return self.fail(BodyError::Incomplete(None));
            }
            self.progress.set_stalled(false);
            self.progress.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Ends the body with an error.
    fn fail(&self, error: BodyError) -> FramePoll {
        self.progress.state.set(UploadState::Failed);
        Poll::Ready(Some(Err(error)))
    }

    /// Ends the body after its last byte, unless the client has left: a backend runs a request that is complete.
    fn end(&self) -> FramePoll {
        let is_finished = self.progress.finished_at().is_some();
        if !is_finished && self.progress.has_client_left() {
            return self.fail(BodyError::Incomplete(None));
        }
        self.finish();
        Poll::Ready(None)
    }

    /// Records the end of the body.
    fn finish(&self) {
        // The request of a body of unknown length is completely written only at the end of the body.
        let is_of_unknown_length = self.length.remaining().is_none();
        if is_of_unknown_length && !self.is_discarded && self.progress.finished_at().is_none() {
            self.counters.record_attempt();
        }
        self.progress.set_stalled(false);
        self.progress.finish();
    }

    /// Waits for the client: records that it is stalled once it has made no progress for some time, and ends the body
    /// with an error once its deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> FramePoll {
        let deadline = self.allowance.begin_wait();
        if !self.progress.is_stalled() {
            self.sleep
                .as_mut()
                .reset(deadline.min(self.pace.stalls_at()));
            ready!(self.sleep.as_mut().poll(cx));
            self.progress.set_stalled(true);
        }
        self.sleep.as_mut().reset(deadline);
        ready!(self.sleep.as_mut().poll(cx));
        self.fail(BodyError::TimedOut)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if self.first.pieces.is_empty() {
            self.first = std::mem::take(&mut self.read_ahead).take();
        }
        if let Some(piece) = self.first.pieces.pop_front() {
            self.pace = BodyProgress::begin();
            return self.forward(piece);
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not forwarded, because backends do not need them.
                    if let Ok(data) = frame.into_data() {
                        self.allowance.receive(data.len());
                        self.pace = self.pace.after_receiving(data.len());
                        self.progress.set_stalled(self.pace.is_stalled());
                        return self.forward(data);
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    return self.fail(BodyError::Incomplete(Some(error)));
                }
                Poll::Ready(None) => return self.end(),
                Poll::Pending => return self.poll_deadline(cx),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.size_hint()
    }
}
