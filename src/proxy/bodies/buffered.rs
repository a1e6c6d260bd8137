//! Bodies that are held completely in memory.

use super::stream::{BodyError, FramePoll};
use crate::proxy::size_limits::BUFFERED_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is held completely in memory, in pieces.
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    pub(super) pieces: VecDeque<Bytes>,
    /// The total length of the pieces in bytes.
    pub(super) remaining: u64,
}

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        let remaining = bytes.len() as u64;
        let mut pieces = VecDeque::new();
        if !bytes.is_empty() {
            pieces.push_back(bytes);
        }
        Self { pieces, remaining }
    }
}

impl BufferedBody {
    /// Returns the pieces in order, without consuming the body.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &**piece)
    }

    /// Returns the pieces in order.
    pub fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        self.pieces.into_iter()
    }

    /// Appends pieces to the body, without a copy.
    pub fn extend(&mut self, pieces: impl IntoIterator<Item = Bytes>) {
        for piece in pieces {
            self.remaining += piece.len() as u64;
            self.pieces.push_back(piece);
        }
    }

    /// Returns a copy of the body in one piece.
    #[must_use]
    pub fn joined(&self) -> Vec<u8> {
        let mut joined = Vec::new();
        for piece in &self.pieces {
            joined.extend_from_slice(piece);
        }
        joined
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> FramePoll {
        let Some(piece) = self.pieces.pop_front() else {
            return Poll::Ready(None);
        };
        self.remaining -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}

/// Collects the pieces of a body as they arrive. A single piece is held without a copy. Several pieces are copied to
/// pieces of [`BUFFERED_BODY_BYTES`] bytes, because a single growing buffer could leave as much memory unused as a
/// large body takes.
#[derive(Default)]
pub struct BodyBuffer {
    /// The completed pieces.
    full: BufferedBody,
    /// The piece that is being filled.
    last: Vec<u8>,
}

impl BodyBuffer {
    /// Returns the number of bytes that [`Self::add`] allocates for `added` bytes of data, at most.
    #[must_use]
    pub fn growth(&self, added: usize) -> usize {
        let copied = if self.holds_first_without_copy() {
            0
        } else {
            self.full.remaining as usize + self.last.capacity()
        };
        let needed = self.len() + added;
        if self.is_empty() || needed <= copied {
            0
        } else {
            (needed - copied).next_multiple_of(BUFFERED_BODY_BYTES)
        }
    }

    /// Returns whether the buffer holds a single piece as it arrived, which is copied when a second one follows it.
    fn holds_first_without_copy(&self) -> bool {
        self.last.is_empty()
            && self.full.pieces.len() == 1
            && self.full.remaining < BUFFERED_BODY_BYTES as u64
    }

    /// Appends data to the body.
    pub fn add(&mut self, data: Bytes) {
        if self.is_empty() {
            self.full = data.into();
            return;
        }
        if self.holds_first_without_copy() {
            let first = std::mem::take(&mut self.full);
            for piece in &first.pieces {
                self.copy(piece);
            }
        }
        self.copy(&data);
    }

    /// Copies data to the piece that is being filled. Whenever the piece is full, a new one is begun.
    fn copy(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            // The first piece grows as needed, because most bodies are small. Later pieces are allocated in full.
            if self.last.is_empty() && !self.full.pieces.is_empty() {
                self.last.reserve_exact(BUFFERED_BODY_BYTES);
            }
            let fitting = data.len().min(BUFFERED_BODY_BYTES - self.last.len());
            let (copied, rest) = data.split_at(fitting);
            self.last.extend_from_slice(copied);
            if self.last.len() == BUFFERED_BODY_BYTES {
                self.finish_piece();
            }
            data = rest;
        }
    }

    /// Completes the piece that is being filled.
    fn finish_piece(&mut self) {
        let last = std::mem::take(&mut self.last);
        self.full.remaining += last.len() as u64;
        self.full.pieces.push_back(last.into());
    }

    /// Returns the number of collected bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full.remaining as usize + self.last.len()
    }

    /// Returns whether no bytes were collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the collected body.
    #[must_use]
    pub fn take(mut self) -> BufferedBody {
        if !self.last.is_empty() {
            self.finish_piece();
        }
        self.full
    }
}

#[cfg(test)]
mod tests;
