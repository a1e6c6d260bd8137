//! Bytes that are read from a client's connection before hyper asks for them.
//!
//! The end of a connection is seen only after all bytes before it have been read, and hyper reads nothing while a
//! request is open. The bytes that a client sends in the meantime are held here, so that its disconnect is noticed.

use super::memory::{MemoryBudget, MemoryUse};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::task::Waker;
use tokio::io::ReadBuf;

/// The largest number of bytes that are read ahead on one connection.
const MAX_READ_AHEAD_BYTES: usize = 16 << 20;
/// The largest number of bytes that one read takes from the socket, and the size of the pieces that hold the bytes.
pub const READ_PIECE_BYTES: usize = 16 * 1024;

/// The bytes that were read ahead on one connection, in order.
#[derive(Default)]
pub struct ReadAhead {
    /// The bytes, in pieces so that no more than a piece is allocated at a time. No piece is empty.
    pieces: VecDeque<BytesMut>,
    /// The total length of the pieces.
    length: usize,
    /// The waker of a read by hyper that waits for bytes; `None` if no read waits.
    reader: Option<Waker>,
}

impl ReadAhead {
    /// Returns whether no bytes are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Returns whether [`READ_PIECE_BYTES`] more may be added: there is memory for them, and the connection does not
    /// hold too many.
    #[must_use]
    pub fn has_room(&self, memory: &MemoryBudget) -> bool {
        self.length + READ_PIECE_BYTES <= MAX_READ_AHEAD_BYTES
            && memory.has_room(READ_PIECE_BYTES, MemoryUse::LargeBody)
    }

    /// Appends bytes that were read, and wakes a read of hyper that waits for bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        match self.pieces.back_mut() {
            Some(last) if last.len() + bytes.len() <= last.capacity() => {
                last.extend_from_slice(bytes);
            }
            _ => {
                let mut piece = BytesMut::with_capacity(READ_PIECE_BYTES.max(bytes.len()));
                piece.extend_from_slice(bytes);
                self.pieces.push_back(piece);
            }
        }
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Moves bytes to `buffer` as far as it has room, and releases their memory.
    pub fn move_into(&mut self, buffer: &mut ReadBuf<'_>) {
        while let Some(first) = self.pieces.front_mut()
            && buffer.remaining() > 0
        {
            let moved = first.len().min(buffer.remaining());
            buffer.put_slice(&first[..moved]);
            first.advance(moved);
            self.length -= moved;
            if first.is_empty() {
                self.pieces.pop_front();
            }
        }
    }

    /// Registers the waker of a read by hyper that found no bytes. It is called when bytes are added.
    pub fn register_reader(&mut self, reader: &Waker) {
        self.reader = Some(reader.clone());
    }
}

#[cfg(test)]
mod tests;
