//! Where the messages of a client's connection begin and end. The HTTP library reads them too, but drops a
//! length beside an encoding and merges repeated lengths without a word; and it does not tell whether a head
//! has begun, which decides what a connection that has to go would cost.

/// The largest line of a chunk's size with its extensions, or of a trailer.
const MAX_LINE: usize = 4 * 1024;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    None,
    Known(u64),
    Chunked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// So many bytes of a body.
    Length(u64),
    /// The line with a chunk's size.
    Size,
    /// So many bytes of a chunk, its line's end included.
    Chunk(u64),
    Trailers,
    /// What comes makes no sense; the library says so to the client.
    Malformed,
}

/// Follows the bytes of one connection.
#[derive(Debug)]
pub struct Framing {
    state: State,
    /// The present head, or line, as far as it has come.
    partial: Vec<u8>,
    cap: usize,
    heads: u64,
    ambiguous_head: Option<u64>,
}

impl Framing {
    /// Nothing has come yet. Heads beyond `cap` bytes are the library's to turn away.
    #[must_use]
    pub fn new(cap: usize) -> Self {
        Self {
            state: State::Head,
            partial: Vec::new(),
            cap,
            heads: 0,
            ambiguous_head: None,
        }
    }

    /// How many heads are whole.
    #[must_use]
    pub fn heads(&self) -> u64 {
        self.heads
    }

    /// Whether the head of that number, from 1 on, says in two ways, or in a way of its own, where its body
    /// ends.
    #[must_use]
    pub fn is_ambiguous(&self, head: u64) -> bool {
        self.ambiguous_head == Some(head)
    }

    /// Whether the last message is whole and no byte of a next one has come.
    #[must_use]
    pub fn is_between(&self) -> bool {
        self.state == State::Head && self.partial.is_empty()
    }

    /// Whether a part of a head has come.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        self.state == State::Head && !self.partial.is_empty()
    }

    /// Takes the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Malformed => return,
                State::Head => self.head(bytes),
                State::Length(left) => self.skip(bytes, left, State::Length, State::Head),
                State::Chunk(left) => self.skip(bytes, left, State::Chunk, State::Size),
                State::Size | State::Trailers => self.line(bytes),
            };
        }
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        same: fn(u64) -> State,
        next: State,
    ) -> &'a [u8] {
        let taken = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        let left = left - taken as u64;
        self.state = if left == 0 { next } else { same(left) };
        &bytes[taken..]
    }

    fn head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        // Empty lines ahead of a request are no part of it.
        if self.partial.is_empty() && matches!(bytes[0], b'\r' | b'\n') {
            return &bytes[1..];
        }
        let old = self.partial.len();
        self.partial
            .extend_from_slice(&bytes[..bytes.len().min(self.cap)]);
        let Some(end) = head_end(&self.partial, old.saturating_sub(3)) else {
            if self.partial.len() >= self.cap {
                self.state = State::Malformed;
            }
            return &bytes[bytes.len().min(self.cap)..];
        };
        self.heads += 1;
        self.state = match body(&self.partial[..end]) {
            Some(BodyLength::None | BodyLength::Known(0)) => State::Head,
            Some(BodyLength::Known(length)) => State::Length(length),
            Some(BodyLength::Chunked) => State::Size,
            None => {
                self.ambiguous_head = Some(self.heads);
                State::Malformed
            }
        };
        self.partial.clear();
        &bytes[end - old..]
    }

    fn line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&b| b == b'\n');
        let taken = end.map_or(bytes.len(), |end| end + 1);
        if self.partial.len() + taken > MAX_LINE {
            (self.state, self.partial) = (State::Malformed, Vec::new());
            return &[];
        }
        self.partial.extend_from_slice(&bytes[..taken]);
        if end.is_some() {
            self.state = match (self.state, self.partial.as_slice()) {
                (State::Size, line) => match size(line) {
                    Some(0) => State::Trailers,
                    Some(size) => State::Chunk(size.saturating_add(2)),
                    None => State::Malformed,
                },
                (_, b"\r\n" | b"\n") => State::Head,
                (state, _) => state,
            };
            self.partial.clear();
        }
        &bytes[taken..]
    }
}

/// The length of a head, up to and with its empty line, if that is there behind `from`.
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

/// How the body behind a head ends; `None` where that can be read in two ways.
fn body(head: &[u8]) -> Option<BodyLength> {
    let mut body = BodyLength::None;
    for line in head.split(|&b| b == b'\n').skip(1) {
        let Some(colon) = line.iter().position(|&b| b == b':') else {
            continue;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let found = if name.eq_ignore_ascii_case(b"content-length") {
            let digits = value.iter().all(u8::is_ascii_digit).then_some(value)?;
            BodyLength::Known(std::str::from_utf8(digits).ok()?.parse().ok()?)
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // No other coding is undone here, and none may be hidden from the backend.
            value
                .eq_ignore_ascii_case(b"chunked")
                .then_some(BodyLength::Chunked)?
        } else {
            continue;
        };
        if body != BodyLength::None {
            return None;
        }
        body = found;
    }
    Some(body)
}

/// The size that a chunk's line tells, whatever extensions follow.
fn size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    u64::from_str_radix(std::str::from_utf8(&line[..digits]).ok()?, 16).ok()
}

#[cfg(test)]
mod tests;
