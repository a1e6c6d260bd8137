//! What a client receives of a response that may break.

use super::message::{Message, read_message};
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// What a client has received when a response or its connection ends.
#[derive(Debug)]
pub enum Received {
    /// Not a byte.
    Nothing,
    /// A response that seems whole.
    Whole(Message),
    /// A part of a response, and the client can tell.
    Part,
}

impl Received {
    /// Reads a response, or what there is of it.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Self {
        if !reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            return Self::Nothing;
        }
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(reader.read_until(b'\n', &mut head), Ok(1..)) {
                return Self::Part;
            }
        }
        let text = String::from_utf8_lossy(&head).to_lowercase();
        let has_framing = text.contains("content-length:") || text.contains("transfer-encoding:");
        let whole = if has_framing {
            read_message(&mut head.chain(reader))
        } else {
            let mut body = Vec::new();
            let ended = reader.read_to_end(&mut body);
            let head = String::from_utf8_lossy(&head).into_owned();
            ended.ok().map(|_| Message {
                head,
                body,
                connection: 0,
            })
        };
        whole.map_or(Self::Part, Self::Whole)
    }
}
