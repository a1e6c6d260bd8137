//! Bytes that were read from a client's connection before the HTTP library asked for them, in their order.
//!
//! The end of a connection is seen only once all that came before it has left the kernel, and the HTTP library
//! reads nothing after an open request. What a client sends there is held here, so that its disconnect is
//! noticed.

use super::budget::{MemoryBudget, Reservation};
use super::size_limits::BUFFERED_BODY_BYTES;
use bytes::{Buf, BytesMut};
use std::task::Waker;
use tokio::io::ReadBuf;

/// The most bytes that are read ahead on one connection.
const MAX_READ_AHEAD_BYTES: usize = 2 << 20;
/// The most bytes that one read takes.
pub const READ_PIECE_BYTES: usize = 16 * 1024;

/// The bytes that were read ahead on one connection; none by default.
#[derive(Default)]
pub struct ReadAhead {
    bytes: BytesMut,
    /// Memory for the bytes, in units of [`BUFFERED_BODY_BYTES`].
    reserved: Vec<Reservation>,
    /// The HTTP library, where it waits for bytes.
    reader: Option<Waker>,
}

impl ReadAhead {
    /// Returns whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for [`READ_PIECE_BYTES`] more bytes. Returns false where the cap is reached or no memory is left.
    pub fn make_room(&mut self, memory: &MemoryBudget) -> bool {
        let wanted = self.bytes.len() + READ_PIECE_BYTES;
        if wanted > MAX_READ_AHEAD_BYTES {
            return false;
        }
        while self.reserved.len() * BUFFERED_BODY_BYTES < wanted {
            let Some(reserved) = memory.reserve(BUFFERED_BODY_BYTES) else {
                return false;
            };
            self.reserved.push(reserved);
        }
        true
    }

    /// Adds bytes that were read, and wakes the HTTP library if it waits for some.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Moves as many bytes to `buffer` as it has room for, and releases their memory.
    pub fn move_into(&mut self, buffer: &mut ReadBuf<'_>) {
        let moved = self.bytes.len().min(buffer.remaining());
        buffer.put_slice(&self.bytes[..moved]);
        self.bytes.advance(moved);
        if self.is_empty() {
            self.bytes = BytesMut::new();
        }
        self.reserved
            .truncate(self.bytes.len().div_ceil(BUFFERED_BODY_BYTES));
    }

    /// Registers the HTTP library, which has found nothing to read, to be woken by the next bytes.
    pub fn register_reader(&mut self, reader: &Waker) {
        self.reader = Some(reader.clone());
    }
}

#[cfg(test)]
mod tests;
