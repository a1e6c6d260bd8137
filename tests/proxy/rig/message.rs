//! Reads HTTP messages and builds responses.

use std::io::BufRead;

/// An HTTP message as it was received: its head and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// The number of the backend's connection that it came on.
    pub connection: usize,
}

impl Message {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line()
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut seen = Message {
        head,
        body: Vec::new(),
        connection: 0,
    };
    if seen.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let start = seen.body.len();
            seen.body.resize(start + size, 0);
            reader.read_exact(&mut seen.body[start..]).ok()?;
            reader.read_line(&mut line).ok()?;
            if size == 0 {
                return Some(seen);
            }
        }
    }
    let length = seen
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    seen.body.resize(length, 0);
    reader.read_exact(&mut seen.body).ok()?;
    Some(seen)
}

pub fn answer(status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a body of this length whose parts differ.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 + i / 4_099) as u8).collect()
}
