//! The one shape of errors towards callers.

use std::time;

use actix_http::StatusCode;

use crate::http_server;

/// Whether a request ran, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RanReport {
    /// No byte of it reached an endpoint, or the endpoint refused it before running.
    No,
    /// It ran, and failed.
    Yes,
    /// It may have run.
    Unknown,
}

/// Stable codes of errors; see `docs/api.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The API key is missing or unknown.
    InvalidApiKey,
    /// The request is malformed.
    InvalidRequest,
    /// A body, line, item or depth is over its limit.
    TooLarge,
    /// The request did not arrive in time.
    RequestTimeout,
    /// No such path, model, service, file or batch.
    NotFound,
    /// The same idempotency key came with other content.
    IdempotencyConflict,
    /// The same idempotency key is being worked on.
    InProgress,
    /// The workspace is over its limit.
    LimitReached,
    /// No endpoint can take the request now.
    Overloaded,
    /// The platform's object service cannot be reached.
    StoreUnavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// The endpoint failed after it began.
    EndpointFailed,
    /// It is not known whether the request ran, and it may not be repeated.
    OutcomeUnknown,
    /// The instance is stopping.
    Stopping,
    /// A fault of this system.
    Internal,
}

impl ErrorCode {
    /// The status of HTTP that goes with the code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::InvalidApiKey => StatusCode::UNAUTHORIZED,
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::IdempotencyConflict | Self::InProgress => StatusCode::CONFLICT,
            Self::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::StoreUnavailable | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::EndpointFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The code as text, as it stands in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidApiKey => "invalid_api_key",
            Self::InvalidRequest => "invalid_request",
            Self::TooLarge => "too_large",
            Self::RequestTimeout => "request_timeout",
            Self::NotFound => "not_found",
            Self::IdempotencyConflict => "idempotency_conflict",
            Self::InProgress => "in_progress",
            Self::LimitReached => "limit_reached",
            Self::Overloaded => "overloaded",
            Self::StoreUnavailable => "store_unavailable",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::EndpointFailed => "endpoint_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Stopping => "stopping",
            Self::Internal => "internal",
        }
    }
}

/// A final answer that is an error.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {message}", code.as_str())]
pub struct ApiError {
    /// What went wrong.
    pub code: ErrorCode,
    /// For a person to read.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanReport,
    /// When to come back, if that helps.
    pub retry_after: Option<time::Duration>,
}

/// The JSON of an error.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// The fields of an error.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct ErrorDetail {
    /// Stable code.
    pub code: ErrorCode,
    /// The same code, under the name that client libraries of the protocol read.
    #[serde(rename = "type")]
    pub kind: ErrorCode,
    /// For a person to read.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanReport,
}

impl ApiError {
    /// An error of a request that has not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        let retry_after = match code {
            ErrorCode::LimitReached | ErrorCode::Overloaded | ErrorCode::InProgress => Some(1),
            ErrorCode::StoreUnavailable => Some(5),
            ErrorCode::Stopping => Some(0),
            _ => None,
        };
        Self {
            code,
            message: message.into(),
            ran: RanReport::No,
            retry_after: retry_after.map(time::Duration::from_secs),
        }
    }

    /// An error of a request that ran or may have run.
    pub fn ran(code: ErrorCode, ran: RanReport, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            ran,
            ..Self::not_run(code, message)
        }
    }

    /// The JSON of the error.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code,
                kind: self.code,
                message: self.message.clone(),
                ran: self.ran,
            },
        }
    }

    /// The answer to give.
    pub fn to_response(&self) -> http_server::HttpResponse {
        let mut response = http_server::json(self.code.status(), &self.body());
        if let Some(after) = self.retry_after {
            let name = actix_http::header::RETRY_AFTER;
            let value = actix_http::header::HeaderValue::from(after.as_secs());
            response.headers_mut().insert(name, value);
        }
        response
    }
}

/// Outcome of a call that answers a caller.
pub type ApiResult<T> = Result<T, ApiError>;
