//! Repeated responses: a response that equals an earlier one on its connection, and comes soon after it.
//!
//! It may be a second response to the earlier request that arrived after the reuse delay. Then the response to its own
//! request follows on the same connection, so it is held until that arrives, or until it would have arrived. Where
//! responses are often equal, none follows, and further ones are not held.

use super::response::ResponseHead;
use super::stray_bytes::MAX_SECOND_RESPONSE_DELAY;
use crate::proxy::bodies::BufferedBody;
use rustc_hash::FxHasher;
use std::cell::Cell;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;
use tokio::time::Instant;

/// The longest time for which a repeated response is held.
pub(super) const HOLD_TIME: Duration = Duration::from_millis(250);
/// Time for which repeated responses are not held after one that no other response has followed.
const TRUST_TIME: Duration = Duration::from_secs(60);

/// A hash of the status, the headers and the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a complete response.
    pub(super) fn new(head: &ResponseHead, body: &BufferedBody) -> Self {
        let mut hasher = FxHasher::default();
        hasher.write_u16(head.status.as_u16());
        for (name, value) in &head.headers {
            hasher.write(name.as_str().as_bytes());
            hasher.write(value.as_bytes());
        }
        for piece in body.pieces() {
            hasher.write(piece);
        }
        Self(hasher.finish())
    }
}

/// The complete responses on a connection that a second response may still repeat, the oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentResponses(VecDeque<(Instant, Fingerprint)>);

impl RecentResponses {
    /// Adds a response that has been received now. Returns the time since the latest equal one; `None` if there is none.
    pub(super) fn record(&mut self, fingerprint: Fingerprint) -> Option<Duration> {
        let now = Instant::now();
        self.0
            .retain(|(received_at, _)| now - *received_at <= MAX_SECOND_RESPONSE_DELAY);
        let mut latest_first = self.0.iter().rev();
        let repeated = latest_first.find(|(_, other)| *other == fingerprint);
        let delay = repeated.map(|(received_at, _)| now - *received_at);
        self.0.push_back((now, fingerprint));
        delay
    }
}

/// Whether repeated responses are trusted, for responses with status 200 and for others. Backends often reject requests
/// with equal responses even if the responses to served requests differ.
#[derive(Default)]
pub(super) struct RepeatTrust {
    served_until: Cell<Option<Instant>>,
    other_until: Cell<Option<Instant>>,
}

impl RepeatTrust {
    /// Returns whether a repeated response is taken for the response to its own request.
    pub(super) fn is_trusted(&self, is_served: bool) -> bool {
        self.until(is_served)
            .get()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Records that a repeated response was the response to its own request.
    pub(super) fn record_genuine(&self, is_served: bool) {
        self.until(is_served).set(Some(Instant::now() + TRUST_TIME));
    }

    fn until(&self, is_served: bool) -> &Cell<Option<Instant>> {
        if is_served {
            &self.served_until
        } else {
            &self.other_until
        }
    }
}
