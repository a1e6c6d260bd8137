//! Bodies that are buffered whole.

use crate::proxy::limits::BODY_CAP;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is held whole, in pieces.
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    pub(super) pieces: VecDeque<Bytes>,
    /// The bytes of the pieces together.
    pub(super) left: u64,
}

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        let left = bytes.len() as u64;
        Self {
            pieces: [bytes]
                .into_iter()
                .filter(|piece| !piece.is_empty())
                .collect(),
            left,
        }
    }
}

impl BufferedBody {
    /// Its pieces, in order.
    pub fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        self.pieces.into_iter()
    }

    /// Its bytes in one piece.
    #[must_use]
    pub fn joined(&self) -> Vec<u8> {
        self.pieces
            .iter()
            .flat_map(|piece| piece.iter().copied())
            .collect()
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = self.pieces.pop_front();
        self.left -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Holds what comes, without a copy where it is a single piece, else in pieces of one size: grown in place,
/// large bodies left as much memory unused behind them as they took.
#[derive(Default)]
pub struct BodyBuffer {
    full: BufferedBody,
    last: Vec<u8>,
}

impl BodyBuffer {
    /// Adds a piece.
    pub fn add(&mut self, data: Bytes) {
        if self.is_empty() {
            self.full = data.into();
            return;
        }
        if self.last.is_empty() && self.full.pieces.len() == 1 && self.full.left < BODY_CAP as u64 {
            // The first one was not copied.
            let first = std::mem::take(&mut self.full);
            first.pieces.iter().for_each(|piece| self.copy(piece));
        }
        self.copy(&data);
    }

    fn copy(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            // Most bodies are small; what is larger than one piece takes whole ones.
            if self.last.is_empty() && !self.full.pieces.is_empty() {
                self.last.reserve_exact(BODY_CAP);
            }
            let (now, later) = data.split_at(data.len().min(BODY_CAP - self.last.len()));
            self.last.extend_from_slice(now);
            if self.last.len() == BODY_CAP {
                self.finish();
            }
            data = later;
        }
    }

    fn finish(&mut self) {
        let last = std::mem::take(&mut self.last);
        self.full.left += last.len() as u64;
        self.full.pieces.push_back(last.into());
    }

    /// How many bytes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full.left as usize + self.last.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All of them.
    #[must_use]
    pub fn take(mut self) -> BufferedBody {
        if !self.last.is_empty() {
            self.finish();
        }
        self.full
    }
}

#[cfg(test)]
mod tests;
