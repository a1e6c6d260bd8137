//! A backend's answer, and what it means in the balancer's terms.

use super::call::{AttemptResult, Served};
use super::fleet::Fleet;
use crate::api::Outcome;
use crate::proxy::bodies::{AnswerBody, BufferedBody};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName};

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A backend's answer as far as it was read.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ReplyBody,
}

pub(super) enum ReplyBody {
    /// The whole of it.
    Whole(BufferedBody),
    /// It is good so far and is to be passed on.
    Partial(PartialBody),
    /// It is of no use, and too large to be read for the sake of its connection.
    Unread,
}

/// An answer of which some has come.
pub(super) struct PartialBody {
    /// What has come.
    pub(super) first: BufferedBody,
    /// What is still to come.
    pub(super) rest: Incoming,
    /// The length of all of it, where the backend told it.
    pub(super) length: Option<u64>,
}

impl Reply {
    fn outcome(&self) -> Outcome {
        match self.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if self.headers.get(UNPROCESSED).is_some_and(|v| v == "1") =>
            {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        }
    }
}

impl Fleet {
    /// The result of an attempt that got this answer.
    pub(super) fn result_of(&self, reply: Reply) -> AttemptResult {
        let outcome = reply.outcome();
        let report = reply
            .headers
            .get(LOAD)
            .and_then(|v| v.to_str().ok())
            .map(|text| self.load_report(text));
        let content_type = reply.headers.get(CONTENT_TYPE).cloned();
        let served = match reply.body {
            ReplyBody::Whole(body) if outcome == Outcome::Ok => Some(Served {
                body: AnswerBody::Buffered(body),
                content_type,
            }),
            _ => None,
        };
        AttemptResult {
            outcome,
            served,
            report: report.unwrap_or_default(),
            spent: false,
        }
    }

    /// A load report (`name=value,...`) in the settings' order; what it leaves out is not a number.
    pub(super) fn load_report(&self, text: &str) -> Vec<f32> {
        let value = |field: &String| {
            let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| name.trim() == field);
            found
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(f32::NAN)
        };
        self.report_fields.iter().map(value).collect()
    }
}
