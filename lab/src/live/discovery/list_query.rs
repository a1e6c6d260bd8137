//! Query parameters of a call for the endpoint list.

use std::time::Duration;

/// Longest wait of a watch; a longer requested wait is shortened to this one.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Parsed query parameters of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListQuery {
    /// Revision that the caller has; `None` if it asks for the complete list.
    pub after: Option<u64>,
    /// Longest wait for another revision.
    pub wait: Duration,
}

impl ListQuery {
    /// Parses the query string. A missing or malformed `after` is `None`, a missing or malformed `wait_ms` is 0.
    #[must_use]
    pub fn parse(query: &str) -> Self {
        let wait_ms = parameter(query, "wait_ms").unwrap_or(0);
        Self {
            after: parameter(query, "after"),
            wait: Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT),
        }
    }
}

/// Returns the first parameter of this name; `None` if it is missing or not a number.
fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
