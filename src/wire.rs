//! Supported parts of the OpenAI protocol.

use crate::ids;

/// Token limit of a response if the request specifies none.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// Request header with the attempt identifier, echoed by the endpoint.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Response header with the value `no` if the endpoint rejected a request before running it.
pub const RAN_HEADER: &str = "x-ran";
/// Request header with the index of the event after which to resume a stream.
pub const RESUME_HEADER: &str = "last-event-id";
/// Path prefix for cancelling an engine's stream by attempt identifier.
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Request header with the time for which an engine keeps a sequence after its reader
/// disconnects, in milliseconds.
pub const KEEP_HEADER: &str = "x-keep-ms";

/// Chat message.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Content of the message; content other than text is passed through unchanged.
    pub content: serde_json::Value,
}

/// Generation request, limited to the fields that are processed here.
///
/// The original body is forwarded with all its fields.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct GenerationRequest {
    /// Requested model.
    pub model: ids::ServiceName,
    /// Chat messages.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Whether to stream the response as events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens in the response.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`; takes precedence.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the last message is a prefix of the response.
    #[serde(default)]
    pub continue_final_message: bool,
}

impl GenerationRequest {
    /// Returns the maximum number of tokens in the response.
    pub fn token_limit(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns the prompt as text, without a given prefix of the response.
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let given = usize::from(self.continue_final_message);
        let count = self.messages.len().saturating_sub(given);
        let mut text = String::new();
        for message in &self.messages[..count] {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&content_text(&message.content));
            text.push('\n');
        }
        text
    }

    /// Returns the response prefix given in the request, or an empty string.
    pub fn given_text(&self) -> String {
        match self.messages.last() {
            Some(last) if self.continue_final_message => content_text(&last.content),
            _ => String::new(),
        }
    }
}

fn content_text(content: &serde_json::Value) -> String {
    match content {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns whether responses for a path use the chat format.
pub fn is_chat(path: &str) -> bool {
    path.ends_with("/chat/completions")
}

/// Returns whether a path is served by model engines.
pub fn is_generation(path: &str) -> bool {
    path == "/v1/chat/completions" || path == "/v1/completions"
}

/// Returns a copy of a request body with `text` as the response prefix that an engine
/// continues.
pub fn with_given_text(body: &serde_json::Value, text: &str) -> serde_json::Value {
    let mut body = body.clone();
    let Some(fields) = body.as_object_mut() else {
        return body;
    };
    if let Some(messages) = fields.get_mut("messages").and_then(|m| m.as_array_mut()) {
        messages.push(serde_json::json!({"role": "assistant", "content": text}));
        fields.insert("continue_final_message".into(), true.into());
    }
    fields.insert("given_text".into(), text.into());
    body
}

/// Encodes the data of a stream event in the OpenAI format.
pub fn stream_chunk(chat: bool, id: &str, model: &str, text: &str, last: bool) -> String {
    let finish = if last { Some("length") } else { None };
    let choice = if chat {
        serde_json::json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": finish})
    };
    let object = if chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    serde_json::json!({
        "id": id, "object": object, "created": created(), "model": model, "choices": [choice],
    })
    .to_string()
}

/// Creates a complete response in the OpenAI format.
pub fn full_response(
    chat: bool,
    id: &str,
    model: &str,
    text: &str,
    prompt_tokens: usize,
) -> serde_json::Value {
    let choice = if chat {
        let message = serde_json::json!({"role": "assistant", "content": text});
        serde_json::json!({"index": 0, "message": message, "finish_reason": "length"})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    let completion = text.split_ascii_whitespace().count();
    serde_json::json!({
        "id": id,
        "object": if chat { "chat.completion" } else { "text_completion" },
        "created": created(),
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": prompt_tokens + completion,
        },
    })
}

/// Returns the current time in seconds since the Unix epoch, as used by the protocol.
pub fn created() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
