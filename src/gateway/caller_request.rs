//! What a caller's headers say: workspace, class, deadline, repeatability, key.

use std::time;

use crate::{bundle, error, http_server};

/// Header with the milliseconds that the caller will wait.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the class of the request.
pub const CLASS_HEADER: &str = "x-class";
/// Header that says, with `no`, that a request may not be repeated.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header that names a request across resends.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header of each answer that names the request in the logs.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Longest accepted deadline.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3600);

/// Class of an online request, for metrics and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// Somebody waits for it.
    Interactive,
    /// Nobody waits for it right now.
    Background,
}

impl RequestClass {
    /// The class as it stands in headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Background => "background",
        }
    }
}

/// The terms of a request as its headers say them.
#[derive(Debug, Clone)]
pub struct CallerTerms {
    /// Name of the request in the logs.
    pub request_id: String,
    /// When it arrived.
    pub arrived: time::Instant,
    /// Whose it is.
    pub workspace: bundle::WorkspaceSpec,
    /// Its class.
    pub class: RequestClass,
    /// How long the caller will wait.
    pub timeout: time::Duration,
    /// Whether the caller forbids to repeat it.
    pub forbids_repeat: bool,
    /// Its idempotency key.
    pub key: Option<String>,
}

/// Reads the API key; a wrong one learns nothing but that it is wrong.
///
/// # Errors
/// The key is missing or unknown.
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

/// The key in `Authorization: Bearer KEY`.
pub fn bearer(head: &actix_http::RequestHead) -> Option<&str> {
    http_server::header(head, "authorization")?.strip_prefix("Bearer ")
}

/// Reads the terms of a request.
///
/// # Errors
/// The key is unknown, or a header holds something else than allowed.
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

/// Deepest nesting of JSON that is read; the parser's own bound is the same.
pub const MAX_JSON_DEPTH: usize = 128;

/// Parses a JSON body.
///
/// # Errors
/// The body is not JSON of the expected form, or is nested too deeply.
pub fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> error::ApiResult<T> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let path = e.path().to_string();
        invalid(format!("the body at '{path}': {}", e.into_inner()))
    })
}

/// Reads a caller's body within the limits.
///
/// # Errors
/// The body is too large, too slow or broken.
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
                http_server::BodyError::Broken(_) => error::ErrorCode::InvalidRequest,
            };
            error::ApiError::not_run(code, e.to_string())
        })
}
