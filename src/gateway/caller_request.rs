//! Headers and bodies of callers: workspace, class, deadline, repeatability, idempotency key.

use std::time;

use crate::{bundle, error, http_server};

/// Header with the caller's timeout in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the class of the request, `interactive` or `background`.
pub const CLASS_HEADER: &str = "x-class";
/// Header that forbids, with `no`, to run a request more than once.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header with the idempotency key, the same for every resend of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Response header with the request's identifier in the logs.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum timeout; a longer one is cut to it.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3600);

/// Class of an online request, for metrics and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// A user waits for the response.
    Interactive,
    /// No user waits for the response.
    Background,
}

impl RequestClass {
    /// Returns the name of the class in headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Background => "background",
        }
    }
}

/// Terms of a request, as its headers give them.
#[derive(Debug, Clone)]
pub struct CallerTerms {
    /// Identifier of the request in the logs.
    pub request_id: String,
    /// Time of arrival.
    pub arrived: time::Instant,
    /// Workspace of the API key.
    pub workspace: bundle::WorkspaceSpec,
    /// Class of the request.
    pub class: RequestClass,
    /// Time from arrival within which the caller expects the response.
    pub timeout: time::Duration,
    /// Whether the caller forbids to run the request more than once.
    pub forbids_repeat: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

/// Returns the workspace of the API key.
///
/// The error is the same for a missing and an unknown key, so that it reveals nothing.
///
/// # Errors
/// Returns `InvalidApiKey` if the key is missing or unknown.
pub fn authenticate(
    head: &actix_http::RequestHead,
    bundle: &bundle::IndexedBundle,
) -> error::ApiResult<bundle::WorkspaceSpec> {
    let key = bearer(head).unwrap_or_default();
    bundle.workspace_of(key).cloned().ok_or_else(|| {
        error::ApiError::not_run(
            error::ErrorCode::InvalidApiKey,
            "the API key is missing or unknown",
        )
    })
}

/// Returns the key in `Authorization: Bearer KEY`.
pub fn bearer(head: &actix_http::RequestHead) -> Option<&str> {
    http_server::header(head, "authorization")?.strip_prefix("Bearer ")
}

/// Reads the terms of a request from its headers.
///
/// # Errors
/// Returns `InvalidApiKey` if the key is unknown, and `InvalidRequest` if a header has a value
/// that is not allowed.
pub fn read_terms(
    head: &actix_http::RequestHead,
    bundle: &bundle::IndexedBundle,
    request_id: String,
    default_timeout: time::Duration,
) -> error::ApiResult<CallerTerms> {
    let workspace = authenticate(head, bundle)?;
    Ok(CallerTerms {
        request_id,
        arrived: time::Instant::now(),
        workspace,
        class: read_class(head)?,
        timeout: read_timeout(head, default_timeout)?,
        forbids_repeat: read_forbids_repeat(head)?,
        key: read_key(head)?,
    })
}

fn invalid(message: String) -> error::ApiError {
    error::ApiError::not_run(error::ErrorCode::InvalidRequest, message)
}

fn read_class(head: &actix_http::RequestHead) -> error::ApiResult<RequestClass> {
    match http_server::header(head, CLASS_HEADER) {
        None | Some("interactive") => Ok(RequestClass::Interactive),
        Some("background") => Ok(RequestClass::Background),
        Some(other) => Err(invalid(format!(
            "header {CLASS_HEADER}: found '{other}', allowed are interactive and background"
        ))),
    }
}

fn read_timeout(
    head: &actix_http::RequestHead,
    default_timeout: time::Duration,
) -> error::ApiResult<time::Duration> {
    let Some(text) = http_server::header(head, DEADLINE_HEADER) else {
        return Ok(default_timeout);
    };
    let millis: Option<u64> = text.parse().ok().filter(|ms| *ms > 0);
    let timeout = millis.map(time::Duration::from_millis).ok_or_else(|| {
        invalid(format!(
            "header {DEADLINE_HEADER}: found '{text}', milliseconds are allowed"
        ))
    })?;
    Ok(timeout.min(MAX_DEADLINE))
}

fn read_forbids_repeat(head: &actix_http::RequestHead) -> error::ApiResult<bool> {
    match http_server::header(head, REPEATABLE_HEADER) {
        None | Some("yes") => Ok(false),
        Some("no") => Ok(true),
        Some(other) => Err(invalid(format!(
            "header {REPEATABLE_HEADER}: found '{other}', allowed are yes and no"
        ))),
    }
}

fn read_key(head: &actix_http::RequestHead) -> error::ApiResult<Option<String>> {
    let Some(key) = http_server::header(head, KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid(format!(
            "header {KEY_HEADER}: 1 to {MAX_KEY_BYTES} characters are allowed"
        )));
    }
    Ok(Some(key.to_owned()))
}

/// Maximum nesting depth of a JSON body; equals the recursion limit of `serde_json`.
pub const MAX_JSON_DEPTH: usize = 128;

/// Parses a JSON body.
///
/// # Errors
/// Returns `InvalidRequest`, with the path of the fault, if the body is not JSON of the expected
/// form or is nested too deeply.
pub fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> error::ApiResult<T> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let path = e.path().to_string();
        invalid(format!("the body at '{path}': {}", e.into_inner()))
    })
}

/// Reads a caller's body of at most `limit` bytes.
///
/// # Errors
/// Returns an error if the body is too large, does not arrive in time or is malformed.
pub async fn read_body(
    request: &mut actix_http::Request,
    limit: usize,
    timeout: time::Duration,
) -> error::ApiResult<bytes::Bytes> {
    http_server::read_body(request, limit, timeout)
        .await
        .map_err(|e| {
            let code = match e {
                http_server::BodyError::TooLarge(_) => error::ErrorCode::TooLarge,
                http_server::BodyError::TooSlow(_) => error::ErrorCode::RequestTimeout,
                http_server::BodyError::NoMemory(_) => error::ErrorCode::Overloaded,
                http_server::BodyError::Broken(_) => error::ErrorCode::InvalidRequest,
            };
            error::ApiError::not_run(code, e.to_string())
        })
}
