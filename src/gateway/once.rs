//! Records of online calls that may not be repeated and carry a key.
//!
//! The record is created before the call is sent. A resend, also through
//! another gateway, finds it and is answered from it.

use std::time;

use base64::Engine as _;
use sha2::Digest as _;

use super::{caller_request, context};
use crate::{
    decisions::call_budget, endpoint_client, error, ids, log_error::LogError as _, settle, store,
};

/// Largest answer that is kept for resends, in bytes.
const MAX_KEPT_BYTES: usize = 256 << 10;
/// Longest wait for the record to be written.
const RECORD_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// What became of a recorded call.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum OnceState {
    /// It is being sent, or its gateway was lost.
    Started,
    /// It ended with this answer.
    Answered(KeptAnswer),
    /// It ended, and its answer was too large to keep.
    AnsweredUnkept,
    /// It may have run; it is not run again.
    Unknown(String),
}

#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
struct KeptAnswer {
    status: u16,
    content_type: String,
    /// The body in base64.
    body: String,
}

/// The object `once/{workspace}/{key}`.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
struct OnceRecord {
    digest: String,
    request_id: String,
    /// Seconds since the epoch after which a started call is taken as lost.
    lost_after: u64,
    state: OnceState,
}

/// A call that this gateway may send, once.
pub struct OnceTicket {
    key: String,
    revision: store::ObjectRevision,
    record: OnceRecord,
}

/// What a recorded key says about a call.
pub enum OnceEntry {
    /// Go ahead.
    Send(Box<OnceTicket>),
    /// It was answered before.
    Replay(endpoint_client::EndpointResponse),
}

fn record_key(workspace: &ids::WorkspaceId, key: &str) -> String {
    format!("once/{workspace}/{}", hex_digest(&[key.as_bytes()]))
}

/// SHA-256 over parts, each with its length, in hexadecimal.
pub fn hex_digest(parts: &[&[u8]]) -> String {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
        .finalize()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Records a call before it is sent, or finds what became of it.
///
/// # Errors
/// The key came with other content, the call is under way or its outcome is
/// unknown, or the object service cannot be reached: then nothing was sent.
pub async fn begin(
    context: &context::GatewayContext,
    terms: &caller_request::CallerTerms,
    key: &str,
    path: &str,
    body: &[u8],
) -> error::ApiResult<OnceEntry> {
    let now = crate::wire::created();
    let record = OnceRecord {
        digest: hex_digest(&[path.as_bytes(), body]),
        request_id: terms.request_id.clone(),
        lost_after: now + terms.timeout.as_secs() + 1,
        state: OnceState::Started,
    };
    let key = record_key(&terms.workspace.id, key);
    let timeout = RECORD_TIMEOUT.min(terms.timeout);
    let written = settle::put(
        context.store.as_ref(),
        call_budget::CallClass::Commit,
        &key,
        store::encode(&record),
        store::WriteCondition::Absent,
        time::Instant::now() + timeout,
    )
    .await;
    match written {
        Ok(settle::SettledWrite::Done(revision)) => Ok(OnceEntry::Send(Box::new(OnceTicket {
            key,
            revision,
            record,
        }))),
        Ok(settle::SettledWrite::Lost(Some(found))) => {
            let found: OnceRecord = found.decode().map_err(|e| unavailable(&e))?;
            answer_from(&record, found, now)
        }
        Ok(settle::SettledWrite::Lost(None)) => {
            let message = "a call with this idempotency key just ended; send it again";
            Err(error::ApiError::not_run(
                error::ErrorCode::InProgress,
                message,
            ))
        }
        Err(e) => Err(unavailable(&e)),
    }
}

fn unavailable(reason: &store::StoreError) -> error::ApiError {
    let message = format!("the call cannot be recorded, so it was not sent: {reason}");
    error::ApiError::not_run(error::ErrorCode::StoreUnavailable, message)
}

fn answer_from(own: &OnceRecord, found: OnceRecord, now: u64) -> error::ApiResult<OnceEntry> {
    if found.digest != own.digest {
        let message = "this idempotency key came with other content before";
        return Err(error::ApiError::not_run(
            error::ErrorCode::IdempotencyConflict,
            message,
        ));
    }
    let unknown = |reason: &str| {
        let code = error::ErrorCode::OutcomeUnknown;
        Err(error::ApiError::ran(
            code,
            error::RanReport::Unknown,
            reason,
        ))
    };
    match found.state {
        OnceState::Answered(kept) => match kept.into_answer() {
            Some(response) => Ok(OnceEntry::Replay(response)),
            None => {
                let message = "the call ran and was answered; the kept answer cannot be read";
                let code = error::ErrorCode::EndpointFailed;
                Err(error::ApiError::ran(code, error::RanReport::Yes, message))
            }
        },
        OnceState::AnsweredUnkept => {
            let message = "the call ran and was answered; the answer was too large to keep";
            let code = error::ErrorCode::EndpointFailed;
            Err(error::ApiError::ran(code, error::RanReport::Yes, message))
        }
        OnceState::Unknown(reason) => unknown(&reason),
        OnceState::Started if now < found.lost_after => {
            let message = "a call with this idempotency key is under way";
            let code = error::ErrorCode::InProgress;
            let mut error = error::ApiError::ran(code, error::RanReport::Unknown, message);
            error.retry_after = Some(time::Duration::from_secs(1));
            Err(error)
        }
        OnceState::Started => unknown("the call was sent and its outcome was lost"),
    }
}

impl KeptAnswer {
    fn new(response: &endpoint_client::EndpointResponse) -> Self {
        Self {
            status: response.status.as_u16(),
            content_type: response.content_type.clone(),
            body: base64::engine::general_purpose::STANDARD.encode(&response.body),
        }
    }

    /// The answer as it was given; nothing if the record is damaged.
    fn into_answer(self) -> Option<endpoint_client::EndpointResponse> {
        let body = base64::engine::general_purpose::STANDARD.decode(&self.body);
        let status = actix_http::StatusCode::from_u16(self.status);
        Some(endpoint_client::EndpointResponse {
            status: status.ok_or_log("kept_status_unreadable")?,
            content_type: self.content_type,
            body: body.ok_or_log("kept_body_unreadable")?.into(),
        })
    }
}

/// Writes down how a recorded call ended.
///
/// A call that did not run loses its record, so that a resend may run.
pub async fn end(
    context: &context::GatewayContext,
    ticket: OnceTicket,
    outcome: &error::ApiResult<endpoint_client::EndpointResponse>,
) {
    let state = match outcome {
        Ok(response) if response.body.len() <= MAX_KEPT_BYTES => {
            OnceState::Answered(KeptAnswer::new(response))
        }
        Ok(_) => OnceState::AnsweredUnkept,
        Err(e) if e.ran == error::RanReport::No => {
            let deadline = time::Instant::now() + RECORD_TIMEOUT;
            let class = call_budget::CallClass::Commit;
            let store = context.store.as_ref();
            if let Err(e) = settle::remove(store, class, &ticket.key, deadline).await {
                log::warn!(
                    "event=once_record_kept request={} why=\"{e}\"",
                    ticket.record.request_id
                );
            }
            return;
        }
        Err(e) => OnceState::Unknown(e.message.clone()),
    };
    let record = OnceRecord {
        state,
        ..ticket.record
    };
    let written = settle::put(
        context.store.as_ref(),
        call_budget::CallClass::Commit,
        &ticket.key,
        store::encode(&record),
        store::WriteCondition::Match(ticket.revision),
        time::Instant::now() + RECORD_TIMEOUT,
    )
    .await;
    if let Err(e) = written {
        log::warn!(
            "event=once_end_unwritten request={} why=\"{e}\"",
            record.request_id
        );
    }
}
