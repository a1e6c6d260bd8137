//! The query of a call to the endpoint list.

use std::time::Duration;

/// The longest wait that a watch may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// The query of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListQuery {
    /// The revision that the caller has; `None` for the complete list.
    pub after: Option<u64>,
    /// How long the call waits for a newer revision.
    pub wait: Duration,
}

impl ListQuery {
    /// Parses the query string; parameters that are missing or malformed are left out.
    #[must_use]
    pub fn parse(query: &str) -> Self {
        let wait_ms = parameter(query, "wait_ms").unwrap_or(0);
        Self {
            after: parameter(query, "after"),
            wait: Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT),
        }
    }
}

/// Returns the first parameter of this name, if it is a number.
fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
