//! The parts of the OpenAI protocol that are read or written here.

use crate::ids;

/// Tokens of an answer if the caller names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// Header that names an attempt towards an endpoint; the endpoint echoes it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header in which an endpoint says that it refused before running: `no`.
pub const RAN_HEADER: &str = "x-ran";
/// Header that resumes a stream after an event.
pub const RESUME_HEADER: &str = "last-event-id";
/// Path below which an engine's streams can be cancelled by the attempt's name.
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Header that says how long an engine keeps a sequence whose reader left, in milliseconds.
pub const KEEP_HEADER: &str = "x-keep-ms";

/// One message of a chat.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ChatMessage {
    /// Who said it.
    pub role: String,
    /// What was said; other forms than text are passed through untouched.
    pub content: serde_json::Value,
}

/// The fields of a generation request that decisions need.
///
/// The body itself is passed on as it came, with every other field.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct GenerationRequest {
    /// The model wanted.
    pub model: ids::ServiceName,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Whether the answer is wanted as events.
    #[serde(default)]
    pub stream: bool,
    /// Limit of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the last message is the start of the answer.
    #[serde(default)]
    pub continue_final_message: bool,
}

impl GenerationRequest {
    /// Most tokens of the answer.
    pub fn token_limit(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// The prompt as one text, without a start of the answer.
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

    /// The start of the answer that was given with the request.
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

/// Whether a path is answered in the form of a chat.
pub fn is_chat(path: &str) -> bool {
    path.ends_with("/chat/completions")
}

/// Whether a path is one that model engines serve.
pub fn is_generation(path: &str) -> bool {
    path == "/v1/chat/completions" || path == "/v1/completions"
}

/// Adds `text` to a request as the start of the answer, for an engine to go on from.
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

/// One event of a stream in the form callers know.
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

/// A whole answer in the form callers know.
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

/// Seconds since the epoch, as the protocol dates things.
pub fn created() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
