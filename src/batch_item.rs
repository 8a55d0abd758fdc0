//! Batch job items and their results, encoded as JSON lines.

use crate::{ids, wire};

/// Maximum length of `custom_id`, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 512;

/// A batch item: one line of an input file.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchItem {
    /// Item identifier chosen by the caller.
    pub custom_id: String,
    /// HTTP method; only `POST` is accepted.
    #[serde(default = "post")]
    pub method: String,
    /// Request path, for example `/v1/chat/completions` or `/services/{service}/{path}`.
    pub url: String,
    /// Request body; must be a JSON object.
    pub body: serde_json::Value,
    /// Whether the item may run more than once.
    #[serde(default)]
    pub repeatable: Option<bool>,
}

fn post() -> String {
    "POST".into()
}

impl BatchItem {
    /// Parses and validates an item from one line of an input file.
    ///
    /// # Errors
    /// Returns a human-readable description of the first problem found.
    pub fn parse(line: &[u8]) -> Result<Self, String> {
        let item: Self = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        if item.custom_id.is_empty() || item.custom_id.len() > MAX_CUSTOM_ID_BYTES {
            return Err(format!(
                "custom_id: 1 to {MAX_CUSTOM_ID_BYTES} bytes are allowed"
            ));
        }
        if item.method != "POST" {
            return Err(format!("method: found '{}', POST is allowed", item.method));
        }
        if !item.body.is_object() {
            return Err("body: an object is needed".into());
        }
        item.service()?;
        Ok(item)
    }

    /// Returns whether the item is run by a model engine.
    pub fn is_generation(&self) -> bool {
        wire::is_generation(&self.url)
    }

    /// Returns the model or plain service that the item targets.
    ///
    /// # Errors
    /// Returns a description of the problem if the path is not supported, or if the
    /// model or service name is missing or invalid.
    pub fn service(&self) -> Result<ids::ServiceName, String> {
        if self.is_generation() {
            let model = self.body.get("model").and_then(|m| m.as_str());
            let model = model.ok_or("body.model: a name is needed")?;
            return model.parse().map_err(|e: ids::IdError| e.to_string());
        }
        let rest = self.url.strip_prefix("/services/");
        let rest = rest.ok_or_else(|| {
            format!(
                "url: found '{}', allowed are /v1/chat/completions, /v1/completions, /services/...",
                self.url
            )
        })?;
        let name = rest.split('/').next().unwrap_or("");
        name.parse().map_err(|e: ids::IdError| e.to_string())
    }

    /// Returns the request path at the endpoint, without the `/services/{service}` prefix.
    pub fn endpoint_path(&self) -> String {
        match self.url.strip_prefix("/services/") {
            None => self.url.clone(),
            Some(rest) => {
                let path = rest.split_once('/').map_or("", |(_, path)| path);
                format!("/{path}")
            }
        }
    }
}

/// Stable error code of an item without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemErrorCode {
    /// All attempts failed.
    EndpointFailed,
    /// The item may have run and is not retried.
    OutcomeUnknown,
    /// The request itself was rejected.
    InvalidRequest,
    /// The model or plain service does not exist.
    NotFound,
    /// The response is too large to store.
    AnswerTooLarge,
}

/// Result of an item: one line of an output or error file.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// Result identifier.
    pub id: String,
    /// Item identifier chosen by the caller.
    pub custom_id: String,
    /// Response, if the item was answered.
    pub response: Option<ItemResponse>,
    /// Error, if there is no response.
    pub error: Option<ItemError>,
}

/// Response to an item.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemResponse {
    /// HTTP status code.
    pub status_code: u16,
    /// Identifier of the attempt that produced the response.
    pub request_id: String,
    /// Response body.
    pub body: serde_json::Value,
}

/// Error of an item without a response.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemError {
    /// Stable error code.
    pub code: ItemErrorCode,
    /// Human-readable message.
    pub message: String,
}

impl ItemResult {
    /// Creates the result of an item with a response.
    pub fn answered(custom_id: &str, response: ItemResponse) -> Self {
        Self {
            id: format!("res-{}", response.request_id),
            custom_id: custom_id.to_owned(),
            response: Some(response),
            error: None,
        }
    }

    /// Creates the result of an item without a response.
    pub fn failed(custom_id: &str, code: ItemErrorCode, message: impl Into<String>) -> Self {
        Self {
            id: ids::unique("res"),
            custom_id: custom_id.to_owned(),
            response: None,
            error: Some(ItemError {
                code,
                message: message.into(),
            }),
        }
    }

    /// Encodes the result as a JSON line, including the newline.
    pub fn line(&self) -> Vec<u8> {
        // Strings, numbers and JSON values always serialize.
        let mut line = serde_json::to_vec(self).expect("a result is JSON");
        line.push(b'\n');
        line
    }
}
