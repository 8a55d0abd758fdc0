//! HTTP client of the command line.

use std::time;

use actix_http::{Method, StatusCode};

use super::{CommandError, CommandResult, ExitReason, GatewayProfile};
use crate::{error, gateway::operators, http_client};

/// Maximum wait for a response.
const TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 30;

/// Client of a gateway's HTTP API.
pub struct ApiClient {
    client: awc::Client,
    url: String,
    key: String,
    operator: String,
}

/// Request to a gateway's HTTP API.
pub struct ApiCall<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: &'a str,
    /// Content type of the body.
    pub content_type: &'a str,
    /// Value of the `idempotency-key` header, if any.
    pub idempotency_key: Option<&'a str>,
    /// Request body.
    pub body: Vec<u8>,
}

impl ApiClient {
    /// Creates a client; it can be used only on the thread that creates it.
    pub fn new(profile: &GatewayProfile) -> Self {
        Self {
            client: http_client::new_client(0),
            url: profile.url.trim_end_matches('/').to_owned(),
            key: profile.key.clone(),
            operator: profile.operator.clone(),
        }
    }

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    /// The gateway cannot be reached or refuses the request.
    pub async fn get(&self, path: &str) -> CommandResult<serde_json::Value> {
        parse(&self.fetch(path).await?)
    }

    /// Sends a GET request and returns the response body.
    ///
    /// # Errors
    /// The gateway cannot be reached or refuses the request.
    pub async fn fetch(&self, path: &str) -> CommandResult<bytes::Bytes> {
        self.send(ApiCall {
            method: Method::GET,
            path,
            content_type: "application/json",
            idempotency_key: None,
            body: Vec::new(),
        })
        .await
    }

    /// Sends a POST request with a JSON body and parses the response as JSON.
    ///
    /// # Errors
    /// The gateway cannot be reached or refuses the request.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> CommandResult<serde_json::Value> {
        let call = ApiCall {
            method: Method::POST,
            path,
            content_type: "application/json",
            idempotency_key: None,
            body,
        };
        parse(&self.send(call).await?)
    }

    /// Sends a request and returns the whole response body.
    ///
    /// # Errors
    /// The gateway cannot be reached or refuses the request.
    pub async fn send(&self, call: ApiCall<'_>) -> CommandResult<bytes::Bytes> {
        let url = format!("{}{}", self.url, call.path);
        let mut request = self
            .client
            .request(call.method, &url)
            .timeout(TIMEOUT)
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header((operators::OPERATOR_HEADER, self.operator.as_str()))
            .insert_header(("content-type", call.content_type));
        if let Some(key) = call.idempotency_key {
            request = request.insert_header(("idempotency-key", key));
        }
        let unreachable = |reason: String| CommandError {
            reason: ExitReason::Unreachable,
            message: format!("{url} cannot be reached: {reason}"),
        };
        let mut response = request
            .send_body(call.body)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        if response.status().is_success() {
            return Ok(body);
        }
        Err(refusal_error(response.status(), &body))
    }
}

/// Parses a response body.
///
/// # Errors
/// The body is not JSON.
pub fn parse(body: &[u8]) -> CommandResult<serde_json::Value> {
    serde_json::from_slice(body).map_err(CommandError::failed)
}

fn refusal_error(status: StatusCode, body: &[u8]) -> CommandError {
    let reason = match status {
        StatusCode::CONFLICT => ExitReason::Conflict,
        _ => ExitReason::Refused,
    };
    let message = match serde_json::from_slice::<error::ErrorBody>(body) {
        Ok(parsed) => format!("{}: {}", parsed.error.code.as_str(), parsed.error.message),
        Err(_) => format!("the gateway responded with {status}"),
    };
    CommandError { reason, message }
}
