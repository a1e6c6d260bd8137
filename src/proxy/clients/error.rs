//! The reasons for which a request is not forwarded.

use crate::proxy::bodies::BufferedBody;
use crate::proxy::responses::{METHOD_NOT_ALLOWED_TEXT, plain_text_response, set_allowed_methods};
use hyper::header::HeaderValue;
use hyper::{Method, Response, StatusCode};

/// The reason for which a request is not passed to the balancer: it is invalid, another open request has its id, or its
/// client has disconnected. The message is the body of the response.
///
/// A valid request that the balancer sheds has the answer
/// [`Answer::Rejected`](crate::proxy::messages::Answer::Rejected) instead.
#[derive(Debug, thiserror::Error)]
pub(super) enum InvalidRequest {
    #[error("the body may end in two places")]
    AmbiguousBody,
    #[error("a header comes twice")]
    DuplicateHeader,
    #[error("unknown class")]
    UnknownClass,
    #[error("the class of the header is not that of the path")]
    ClassMismatch,
    #[error("unknown account")]
    UnknownAccount,
    #[error("{}", METHOD_NOT_ALLOWED_TEXT.trim_end())]
    MethodNotAllowed { allowed: Method },
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    #[error("X-Correlation-Id is missing")]
    MissingCorrelationId,
    #[error("X-Time-Left-Ms is missing or makes no sense")]
    InvalidTimeout,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the body is late")]
    BodyTimedOut,
    /// The client has sent more of the body, but there was no memory to read it.
    #[error("no memory for the body")]
    BodyUnread,
    #[error("the body is broken")]
    BodyIncomplete(#[from] hyper::Error),
    #[error("a request of this id is open or may have run")]
    DuplicateRequest,
    /// The client has disconnected, so it does not receive this response.
    #[error("the client has left")]
    ClientDisconnected,
}

impl InvalidRequest {
    fn status(&self) -> StatusCode {
        match self {
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::BodyUnread => StatusCode::SERVICE_UNAVAILABLE,
            Self::DuplicateRequest => StatusCode::CONFLICT,
            Self::AmbiguousBody
            | Self::DuplicateHeader
            | Self::UnknownClass
            | Self::ClassMismatch
            | Self::UnknownAccount
            | Self::MissingIdempotencyKey
            | Self::MissingCorrelationId
            | Self::InvalidTimeout
            | Self::BodyIncomplete(_)
            | Self::ClientDisconnected => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the response to the client.
    pub(super) fn into_response(self) -> Response<BufferedBody> {
        let mut response = plain_text_response(self.status(), format!("{self}\n"));
        if let Self::MethodNotAllowed { allowed } = &self
            && let Ok(allowed) = HeaderValue::try_from(allowed.as_str())
        {
            set_allowed_methods(&mut response, allowed);
        }
        response
    }
}
