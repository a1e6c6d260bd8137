//! Bytes that were read from a connection ahead of the HTTP side, in the order in which they came.
//!
//! The end of a connection is seen only once all that came ahead of it has left the kernel, and the HTTP side
//! reads nothing behind an open request. What a client sends there is kept here, so that its leaving is
//! noticed.

use super::budget::{self, Reserved};
use super::limits::BODY_CAP;
use bytes::{Buf, BytesMut};
use std::task::Waker;
use tokio::io::ReadBuf;

/// The most bytes that are read ahead on one connection.
const READ_AHEAD_CAP: usize = 2 << 20;
/// The most bytes that one read takes.
pub const READ_PIECE: usize = 16 * 1024;

/// What one connection holds. The default holds nothing.
#[derive(Default)]
pub struct ReadAhead {
    bytes: BytesMut,
    /// Memory for the bytes, in units of [`BODY_CAP`].
    reserved: Vec<Reserved>,
    /// The HTTP side, where it waits for bytes.
    reader: Option<Waker>,
}

impl ReadAhead {
    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for [`READ_PIECE`] more bytes; false where the cap is reached or no memory is left.
    pub fn make_room(&mut self, memory: &budget::Bytes) -> bool {
        let wanted = self.bytes.len() + READ_PIECE;
        if wanted > READ_AHEAD_CAP {
            return false;
        }
        while self.reserved.len() * BODY_CAP < wanted {
            let Some(reserved) = memory.reserve(BODY_CAP) else {
                return false;
            };
            self.reserved.push(reserved);
        }
        true
    }

    /// Takes bytes that were read, and wakes the HTTP side if it waits for some.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Moves as many bytes to `buffer` as it has room for. What is not held any more is given back.
    pub fn move_into(&mut self, buffer: &mut ReadBuf<'_>) {
        let taken = self.bytes.len().min(buffer.remaining());
        buffer.put_slice(&self.bytes[..taken]);
        self.bytes.advance(taken);
        if self.is_empty() {
            self.bytes = BytesMut::new();
        }
        self.reserved.truncate(self.bytes.len().div_ceil(BODY_CAP));
    }

    /// Remembers the HTTP side, which has found nothing to read: bytes may go past it from now on.
    pub fn register_reader(&mut self, reader: &Waker) {
        self.reader = Some(reader.clone());
    }
}

#[cfg(test)]
mod tests;
