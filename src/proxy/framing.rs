//! Tracks where the messages on a client connection begin and end.
//!
//! hyper parses the same bytes, but it ignores a `Content-Length` beside a `Transfer-Encoding` and merges repeated
//! lengths, which a backend may interpret differently (request smuggling). hyper also does not report whether a head
//! has begun, which determines the eviction cost of the connection.

use super::header_values::parse_decimal;

/// The largest line of a chunked body: a chunk size with its extensions, or a trailer.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// The line break after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// The length of a body, as its head states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Known(u64),
    /// The body is chunked.
    Chunked,
}

/// The part of a message that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// A head, of which no byte or some bytes have been received.
    Head,
    /// A body of known length, of which this many bytes remain.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// A chunk, of which this many bytes remain, including the line break after its data.
    Chunk(u64),
    /// The trailers of a chunked body.
    Trailers,
    /// No part of a message: the bytes cannot be parsed, and hyper rejects them.
    Malformed,
}

/// Tracks the messages in the bytes of one connection.
#[derive(Debug)]
pub struct Framing {
    reading: Reading,
    /// The received part of the current head or line.
    partial: Vec<u8>,
    /// The maximum size of a head in bytes.
    max_head_bytes: usize,
    /// The number of complete heads.
    heads: u64,
    /// The number of the head whose body has an ambiguous length. Nothing is parsed after this head. `None` if there is
    /// no such head.
    ambiguous_head: Option<u64>,
}

impl Framing {
    /// Creates the framing of a connection that has received nothing yet. A head of more than `max_head_bytes` counts
    /// as malformed, because hyper rejects it.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            reading: Reading::Head,
            partial: Vec::new(),
            max_head_bytes,
            heads: 0,
            ambiguous_head: None,
        }
    }

    /// Returns the number of complete heads.
    #[must_use]
    pub fn heads(&self) -> u64 {
        self.heads
    }

    /// Returns whether head number `head`, counted from 1, states the length of its body more than once or in a form
    /// that is not understood.
    #[must_use]
    pub fn has_ambiguous_body_length(&self, head: u64) -> bool {
        self.ambiguous_head == Some(head)
    }

    /// Returns whether the last message is complete and no byte of a next one has been received.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.reading == Reading::Head && self.partial.is_empty()
    }

    /// Returns whether a part of a head has been received.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        self.reading == Reading::Head && !self.partial.is_empty()
    }

    /// Returns whether a part of a body is still missing.
    #[must_use]
    pub fn is_in_body(&self) -> bool {
        !matches!(self.reading, Reading::Head | Reading::Malformed)
    }

    /// Returns the number of bytes of the current body that have not been received; `None` between bodies, or if the length
    /// of the body is unknown.
    #[must_use]
    pub fn remaining_body_bytes(&self) -> Option<u64> {
        match self.reading {
            Reading::Body(remaining) => Some(remaining),
            _ => None,
        }
    }

    /// Parses the next bytes of the connection.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.reading {
                Reading::Malformed => return,
                Reading::Head => self.read_head(bytes),
                Reading::Body(remaining) => {
                    self.skip(bytes, remaining, Reading::Body, Reading::Head)
                }
                Reading::Chunk(remaining) => {
                    self.skip(bytes, remaining, Reading::Chunk, Reading::ChunkSize)
                }
                Reading::ChunkSize | Reading::Trailers => self.read_line(bytes),
            };
        }
    }

    /// Skips up to `remaining` bytes and returns the bytes after them. Continues with `next` if all of them were
    /// received, and otherwise with `unfinished` and the number that remains.
    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        unfinished: fn(u64) -> Reading,
        next: Reading,
    ) -> &'a [u8] {
        let skipped = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        let still_remaining = remaining - skipped as u64;
        self.reading = if still_remaining == 0 {
            next
        } else {
            unfinished(still_remaining)
        };
        &bytes[skipped..]
    }

    /// Reads the received part of a head and returns the bytes after it.
    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        // Empty lines before a request are not part of it.
        if self.partial.is_empty() && matches!(bytes[0], b'\r' | b'\n') {
            return &bytes[1..];
        }
        let already_read = self.partial.len();
        let taken = bytes.len().min(self.max_head_bytes);
        self.partial.extend_from_slice(&bytes[..taken]);
        // Up to three of the four bytes that end a head may have been received before.
        let Some(end) = head_end(&self.partial, already_read.saturating_sub(3)) else {
            if self.partial.len() >= self.max_head_bytes {
                self.reading = Reading::Malformed;
            }
            return &bytes[taken..];
        };
        self.heads += 1;
        self.reading = match body_length(&self.partial[..end]) {
            Some(BodyLength::None | BodyLength::Known(0)) => Reading::Head,
            Some(BodyLength::Known(length)) => Reading::Body(length),
            Some(BodyLength::Chunked) => Reading::ChunkSize,
            None => {
                self.ambiguous_head = Some(self.heads);
                Reading::Malformed
            }
        };
        self.partial.clear();
        &bytes[end - already_read..]
    }

    /// Reads the received part of a line of a chunked body and returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let taken = end.map_or(bytes.len(), |end| end + 1);
        if self.partial.len() + taken > MAX_LINE_BYTES {
            self.reading = Reading::Malformed;
            self.partial = Vec::new();
            return &[];
        }
        self.partial.extend_from_slice(&bytes[..taken]);
        if end.is_some() {
            self.reading = match self.reading {
                Reading::ChunkSize => after_chunk_size(&self.partial),
                // An empty line ends the trailers.
                _ if matches!(self.partial.as_slice(), b"\r\n" | b"\n") => Reading::Head,
                reading => reading,
            };
            self.partial.clear();
        }
        &bytes[taken..]
    }
}

/// Returns the state after the line with the size of a chunk.
fn after_chunk_size(line: &[u8]) -> Reading {
    match chunk_size(line) {
        Some(0) => Reading::Trailers,
        Some(size) => Reading::Chunk(size.saturating_add(CHUNK_END.len() as u64)),
        None => Reading::Malformed,
    }
}

/// Returns the length of a head including its empty line, or `None` if the head is incomplete. The search for the line
/// break before the empty line starts at `from`.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = |at: usize| &bytes[at + 1..];
    (from..bytes.len())
        .filter(|&at| bytes[at] == b'\n')
        .find_map(|at| match rest(at) {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
}

/// Returns the length of the body after a head, or `None` if the head is ambiguous about it.
fn body_length(head: &[u8]) -> Option<BodyLength> {
    let mut length = BodyLength::None;
    for line in head.split(|&byte| byte == b'\n').skip(1) {
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            continue;
        };
        let name = &line[..colon];
        let value = line[colon + 1..].trim_ascii();
        let found = if name.eq_ignore_ascii_case(b"content-length") {
            BodyLength::Known(parse_decimal(value)?)
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // Any other coding is ambiguous: the proxy does not decode it and does not forward `Transfer-Encoding`, so
            // the backend would not be told of the coding.
            value
                .eq_ignore_ascii_case(b"chunked")
                .then_some(BodyLength::Chunked)?
        } else {
            continue;
        };
        if length != BodyLength::None {
            return None;
        }
        length = found;
    }
    Some(length)
}

/// Returns the size that the first line of a chunk states; `None` if the line does not begin with a hexadecimal number
/// that fits into 64 bits. Chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digit_count = line
        .iter()
        .take_while(|byte| byte.is_ascii_hexdigit())
        .count();
    let digits = std::str::from_utf8(&line[..digit_count]).ok()?;
    u64::from_str_radix(digits, 16).ok()
}

#[cfg(test)]
mod tests;
