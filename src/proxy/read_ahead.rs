//! Bytes that are read from a client's connection before hyper asks for them.
//!
//! The end of a connection is seen only after all bytes before it have been read, and hyper reads nothing while a
//! request is open. The bytes that a client sends in the meantime are held here, so that its disconnect is noticed.

use super::budget::{MemoryBudget, Reservation};
use super::size_limits::BUFFERED_BODY_BYTES;
use bytes::{Buf, BytesMut};
use std::task::Waker;
use tokio::io::ReadBuf;

/// The largest number of bytes that are read ahead on one connection.
const MAX_READ_AHEAD_BYTES: usize = 2 << 20;
/// The largest number of bytes that one read takes from the socket.
pub const READ_PIECE_BYTES: usize = 16 * 1024;

/// The bytes that were read ahead on one connection, in order.
#[derive(Default)]
pub struct ReadAhead {
    bytes: BytesMut,
    /// Memory for the bytes, in units of [`BUFFERED_BODY_BYTES`].
    reserved: Vec<Reservation>,
    /// The waker of a read by hyper that waits for bytes; `None` if no read waits.
    reader: Option<Waker>,
}

impl ReadAhead {
    /// Returns whether no bytes are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reserves memory for [`READ_PIECE_BYTES`] more bytes. Returns false if the connection would hold too many bytes
    /// or `memory` is exhausted.
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

    /// Appends bytes that were read, and wakes a read of hyper that waits for bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Moves bytes to `buffer` as far as it has room, and releases their memory.
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

    /// Registers the waker of a read by hyper that found no bytes. It is called when bytes are added.
    pub fn register_reader(&mut self, reader: &Waker) {
        self.reader = Some(reader.clone());
    }
}

#[cfg(test)]
mod tests;
