//! Follows where the messages on a client's connection begin and end.
//!
//! The HTTP library parses them too, but it ignores a length beside an encoding and merges repeated lengths,
//! which a backend may read otherwise (request smuggling). Nor does it tell whether a head has begun,
//! which decides what it costs to close the connection.

use super::header_values::parse_decimal;

/// The largest line, in bytes, of a chunk's size with its extensions, or of a trailer.
const MAX_LINE: usize = 4 * 1024;

/// What follows the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    None,
    Known(u64),
    Chunked,
}

/// What comes next on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Head,
    /// This many bytes of a body of known length.
    Body(u64),
    /// The line with a chunk's size.
    ChunkSize,
    /// This many bytes of a chunk, the end of its line included.
    Chunk(u64),
    Trailers,
    /// Nothing that can be read; the library rejects it.
    Malformed,
}

/// Follows the bytes of one connection.
#[derive(Debug)]
pub struct Framing {
    reading: Reading,
    /// The present head, or line, as far as it has come.
    partial: Vec<u8>,
    /// The largest head, in bytes.
    head_cap: usize,
    /// Heads that are complete.
    heads: u64,
    /// The number of the head whose body may end in two places. Nothing is read after it.
    ambiguous_head: Option<u64>,
}

impl Framing {
    /// Follows a connection from its first byte. Heads beyond `head_cap` bytes are the library's to reject.
    #[must_use]
    pub fn new(head_cap: usize) -> Self {
        Self {
            reading: Reading::Head,
            partial: Vec::new(),
            head_cap,
            heads: 0,
            ambiguous_head: None,
        }
    }

    /// Returns the number of complete heads.
    #[must_use]
    pub fn heads(&self) -> u64 {
        self.heads
    }

    /// Returns whether the head of that number, from 1 on, says in two ways, or in a way of its own, where its
    /// body ends.
    #[must_use]
    pub fn is_ambiguous(&self, head: u64) -> bool {
        self.ambiguous_head == Some(head)
    }

    /// Returns whether the last message is complete and no byte of a next one has come.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.reading == Reading::Head && self.partial.is_empty()
    }

    /// Returns whether a part of a head has come.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        self.reading == Reading::Head && !self.partial.is_empty()
    }

    /// Reads the next bytes.
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

    /// Skips `remaining` bytes, as far as they have come: `unfinished` then holds the rest, or `next` follows.
    /// Returns the bytes after them.
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

    /// Reads a head, as far as it has come. Returns the bytes after it.
    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        // Empty lines ahead of a request are no part of it.
        if self.partial.is_empty() && matches!(bytes[0], b'\r' | b'\n') {
            return &bytes[1..];
        }
        let already_read = self.partial.len();
        let taken = bytes.len().min(self.head_cap);
        self.partial.extend_from_slice(&bytes[..taken]);
        // The end may have begun with up to three bytes that came before.
        let Some(end) = head_end(&self.partial, already_read.saturating_sub(3)) else {
            if self.partial.len() >= self.head_cap {
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

    /// Reads a line of a chunked body, as far as it has come. Returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let taken = end.map_or(bytes.len(), |end| end + 1);
        if self.partial.len() + taken > MAX_LINE {
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

/// Returns what follows the line of a chunk's size.
fn after_chunk_size(line: &[u8]) -> Reading {
    match chunk_size(line) {
        Some(0) => Reading::Trailers,
        Some(size) => Reading::Chunk(size.saturating_add(CHUNK_END.len() as u64)),
        None => Reading::Malformed,
    }
}

/// Returns the length of a head, up to and with its empty line, if that line's break is found at `from` or
/// later.
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

/// Returns how the body after a head ends; `None` where that can be read in two ways.
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
            // No other coding is undone here, and none may be hidden from the backend.
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

/// Returns the size in a chunk's line, whatever extensions follow.
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
