//! Items of batch jobs and their results, as lines of JSON.

use crate::{ids, wire};

/// Longest `custom_id`, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 512;

/// One item, a line of an input file.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchItem {
    /// The caller's name for it.
    pub custom_id: String,
    /// Method of HTTP.
    #[serde(default = "post")]
    pub method: String,
    /// Path, like `/v1/chat/completions` or `/services/{service}/{path}`.
    pub url: String,
    /// Body of the request.
    pub body: serde_json::Value,
    /// Whether it may run more than once.
    #[serde(default)]
    pub repeatable: Option<bool>,
}

fn post() -> String {
    "POST".into()
}

impl BatchItem {
    /// Reads an item from its line.
    ///
    /// # Errors
    /// What is wrong with it, for a person to read.
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

    /// Whether a model engine runs it.
    pub fn is_generation(&self) -> bool {
        wire::is_generation(&self.url)
    }

    /// The model or plain service that it is for.
    ///
    /// # Errors
    /// The path or the model is not one that is served.
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

    /// The path at the endpoint.
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

/// Why an item has no answer; stable codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemErrorCode {
    /// All attempts failed.
    EndpointFailed,
    /// It may have run; it is not run again.
    OutcomeUnknown,
    /// The request itself was refused.
    InvalidRequest,
    /// No such model or plain service.
    NotFound,
    /// The answer is too large to be stored.
    AnswerTooLarge,
}

/// The result of an item, a line of an output or error file.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// Name of the result.
    pub id: String,
    /// The caller's name for the item.
    pub custom_id: String,
    /// The answer, if there is one.
    pub response: Option<ItemResponse>,
    /// The error, if there is no answer.
    pub error: Option<ItemError>,
}

/// The answer to an item.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemResponse {
    /// Status of HTTP.
    pub status_code: u16,
    /// Name of the attempt that was answered.
    pub request_id: String,
    /// The answer's body.
    pub body: serde_json::Value,
}

/// Why an item has no answer.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ItemError {
    /// Stable code.
    pub code: ItemErrorCode,
    /// For a person to read.
    pub message: String,
}

impl ItemResult {
    /// The result of an answered item.
    pub fn answered(custom_id: &str, response: ItemResponse) -> Self {
        Self {
            id: format!("res-{}", response.request_id),
            custom_id: custom_id.to_owned(),
            response: Some(response),
            error: None,
        }
    }

    /// The result of an item without an answer.
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

    /// The result as a line with its end.
    pub fn line(&self) -> Vec<u8> {
        // Names, numbers and JSON values can always be written.
        let mut line = serde_json::to_vec(self).expect("a result is JSON");
        line.push(b'\n');
        line
    }
}
