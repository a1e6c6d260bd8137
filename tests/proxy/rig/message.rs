//! HTTP messages: how the test reads them and builds responses.

use std::io::BufRead;

/// A received HTTP message with its decoded body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// The index of the connection on which a backend received it, counted from 0 in the order of acceptance.
    pub connection: usize,
}

impl Message {
    /// Returns the request line or the status line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line()
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a response starts with a status line")
    }

    /// Returns the value of the first header field with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// Reads one message. Returns `None` if the connection ends or fails before its end.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message {
        head,
        body: Vec::new(),
        connection: 0,
    };
    if message.header("transfer-encoding") == Some("chunked") {
        read_chunks(reader, &mut message.body)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(0, |length| {
        length.parse().expect("Content-Length is a number")
    });
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body without extensions and trailers. Returns `None` if it is malformed or incomplete.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        reader.read_line(&mut line).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Returns a response with this status and body. `fields` are further header fields, each with its line end.
pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a body of this length whose sections differ, so that lost or reordered sections are detected.
pub fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 + i / 4_099) as u8).collect()
}
