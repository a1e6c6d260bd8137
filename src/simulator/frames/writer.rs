//! Writes the replies to batches.

use super::ProxyId;
use super::layout::reply_code;
use crate::api::{Action, Micros};

/// Length in bytes of the field that states the reply's length, which precedes the records.
const LENGTH_FIELD: usize = size_of::<u32>();

/// Writes the records of one reply.
#[derive(Debug)]
pub struct ReplyWriter {
    bytes: Vec<u8>,
    /// The proxy that the records of the reply have selected last; `None` before the first selection.
    selected: Option<ProxyId>,
}

impl Default for ReplyWriter {
    fn default() -> Self {
        Self {
            bytes: vec![0; LENGTH_FIELD],
            selected: None,
        }
    }
}

impl ReplyWriter {
    /// Appends an action of a proxy.
    pub fn action(&mut self, proxy: ProxyId, action: &Action) {
        self.select(proxy);
        match action {
            Action::Send {
                request,
                backend,
                deadline,
                ..
            } => {
                let request = request.0.to_be_bytes();
                let deadline = deadline.to_be_bytes();
                let backend = backend.0.to_be_bytes();
                self.record(reply_code::SEND, &[&request, &deadline, &backend]);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let request = request.0.to_be_bytes();
                let retry_after = duration_bytes(*retry_after);
                self.record(reply_code::REJECT, &[&request, &retry_after]);
            }
            Action::Fail { request } => self.record(reply_code::FAIL, &[&request.0.to_be_bytes()]),
            Action::Cancel { request, attempt } => {
                let request = request.0.to_be_bytes();
                let attempt = attempt.to_be_bytes();
                self.record(reply_code::CANCEL, &[&request, &attempt]);
            }
            Action::SetTimer { after, token } => {
                let after = duration_bytes(*after);
                let token = token.to_be_bytes();
                self.record(reply_code::SET_TIMER, &[&after, &token]);
            }
            Action::HealthCheck(backend) => {
                self.record(reply_code::HEALTH_CHECK, &[&backend.0.to_be_bytes()]);
            }
            Action::CloseIdleConnections(backend) => {
                let backend = backend.0.to_be_bytes();
                self.record(reply_code::CLOSE_IDLE_CONNECTIONS, &[&backend]);
            }
            Action::Log(event) => self.text(reply_code::LOG, &event.to_string()),
            Action::Subscribe => self.record(reply_code::SUBSCRIBE, &[&[1]]),
        }
    }

    /// Appends a record which reports that the balancer of a proxy failed and cannot continue, with the reason.
    pub fn fatal(&mut self, proxy: ProxyId, text: &str) {
        self.select(proxy);
        self.text(reply_code::FATAL, text);
    }

    /// Returns the bytes of the reply and resets the writer for the next one.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut reply = std::mem::take(self).bytes;
        let length = (reply.len() - LENGTH_FIELD) as u32;
        reply[..LENGTH_FIELD].copy_from_slice(&length.to_be_bytes());
        reply
    }

    /// Appends a record that selects the proxy of the following records, unless that proxy is already selected.
    fn select(&mut self, proxy: ProxyId) {
        if self.selected != Some(proxy) {
            self.selected = Some(proxy);
            self.record(reply_code::SELECT_PROXY, &[&proxy.0.to_be_bytes()]);
        }
    }

    /// Appends a record with a text. A text that is too long for its length field is truncated.
    fn text(&mut self, code: u8, text: &str) {
        let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
        let text = &text.as_bytes()[..usize::from(length)];
        self.record(code, &[&length.to_be_bytes(), text]);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_be_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }
}

/// Encodes a duration in microseconds. A duration that does not fit into 32 bits is encoded as the longest that does.
fn duration_bytes(duration: Micros) -> [u8; 4] {
    u32::try_from(duration).unwrap_or(u32::MAX).to_be_bytes()
}
