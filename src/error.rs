//! Error responses to callers, all in one format.

use std::time;

use actix_http::StatusCode;

use crate::http_server;

/// Report on whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RanReport {
    /// No byte reached an endpoint, or the endpoint rejected the request before running it.
    No,
    /// The request ran and failed.
    Yes,
    /// The request may have run.
    Unknown,
}

/// Stable error codes; see `docs/api.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The API key is missing or unknown.
    InvalidApiKey,
    /// The request is malformed.
    InvalidRequest,
    /// A body, line, item or nesting depth exceeds its limit.
    TooLarge,
    /// The request did not arrive in time.
    RequestTimeout,
    /// The path, model, service, file or batch does not exist.
    NotFound,
    /// The idempotency key was already used with different content.
    IdempotencyConflict,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The workspace exceeds its limit.
    LimitReached,
    /// No endpoint can currently accept the request.
    Overloaded,
    /// The platform's object service cannot be reached.
    StoreUnavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// The endpoint failed after starting the request.
    EndpointFailed,
    /// Whether the request ran is unknown, and it must not be retried.
    OutcomeUnknown,
    /// The instance is shutting down.
    Stopping,
    /// An internal error occurred.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status for the code.
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

    /// Returns the code as it appears in responses and metrics.
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

/// Error returned to a caller as the final response.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}: {message}", code.as_str())]
pub struct ApiError {
    /// Stable error code.
    pub code: ErrorCode,
    /// Human-readable message.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanReport,
    /// Suggested delay before a retry, if a retry may succeed.
    pub retry_after: Option<time::Duration>,
}

/// JSON body of an error response.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct ErrorBody {
    /// Error details.
    pub error: ErrorDetail,
}

/// Error details in the JSON body.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct ErrorDetail {
    /// Stable error code.
    pub code: ErrorCode,
    /// Same code, in the field that client libraries of the protocol read.
    #[serde(rename = "type")]
    pub kind: ErrorCode,
    /// Human-readable message.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanReport,
}

impl ApiError {
    /// Creates an error for a request that has not run.
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

    /// Creates an error for a request that ran or may have run.
    pub fn ran(code: ErrorCode, ran: RanReport, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            ran,
            ..Self::not_run(code, message)
        }
    }

    /// Returns the JSON body of the error.
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

    /// Returns the HTTP response for the error.
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

/// Result of an API call.
pub type ApiResult<T> = Result<T, ApiError>;
