//! Records of online requests that may not be repeated and have an idempotency key.
//!
//! The record is created before the request is sent to an endpoint. A resend, also through
//! another gateway, finds the record and gets its response from it.

use std::time;

use base64::Engine as _;
use sha2::Digest as _;

use super::{caller_request, context};
use crate::{
    decisions::call_budget, endpoint_client, error, ids, log_error::LogError as _, settle, store,
};

/// Maximum size of a response body that is stored for resends, in bytes.
const MAX_STORED_BYTES: usize = 256 << 10;
/// Timeout for writing or removing a record.
const RECORD_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// State of a recorded request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum OnceState {
    /// The request is in flight, or its gateway failed.
    Started,
    /// The request ended with this response.
    #[serde(rename = "answered")]
    Completed(StoredResponse),
    /// The request ended with a response that was too large to store.
    #[serde(rename = "answered_unkept")]
    CompletedUnstored,
    /// The result is unknown for the given reason; the request may have run and is not run again.
    Unknown(String),
}

#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
struct StoredResponse {
    status: u16,
    content_type: String,
    /// Body, encoded in base64.
    body: String,
}

/// Content of the object `once/{workspace}/{digest of the key}`.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
struct OnceRecord {
    digest: String,
    request_id: String,
    /// Time after which a started request counts as lost, in seconds since the epoch.
    lost_after: u64,
    state: OnceState,
}

/// Permission to send a recorded request once, with the revision of its record.
pub struct OnceTicket {
    key: String,
    revision: store::ObjectRevision,
    record: OnceRecord,
}

/// Result of looking up a request's idempotency key.
pub enum OnceEntry {
    /// The key is new: the request may be sent.
    Send(Box<OnceTicket>),
    /// The request ended before with this response.
    Replay(endpoint_client::EndpointResponse),
}

fn record_key(workspace: &ids::WorkspaceId, key: &str) -> String {
    format!("once/{workspace}/{}", hex_digest(&[key.as_bytes()]))
}

/// Returns the SHA-256 in hexadecimal of the parts, each preceded by its length.
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

/// Records a request before it is sent, or looks up the result of the same request.
///
/// # Errors
/// Returns `IdempotencyConflict` if the key was used with other content, `InProgress` if the
/// request is in flight, and `OutcomeUnknown` if its outcome is unknown. Returns
/// `StoreUnavailable` if the object service cannot be reached; nothing was sent then.
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
            let found: OnceRecord = found.decode().map_err(|e| store_unavailable(&e))?;
            resolve_existing(&record, found, now)
        }
        Ok(settle::SettledWrite::Lost(None)) => {
            let message = "a call with this idempotency key just ended; send it again";
            Err(error::ApiError::not_run(
                error::ErrorCode::InProgress,
                message,
            ))
        }
        Err(e) => Err(store_unavailable(&e)),
    }
}

fn store_unavailable(reason: &store::StoreError) -> error::ApiError {
    let message = format!("the call cannot be recorded, so it was not sent: {reason}");
    error::ApiError::not_run(error::ErrorCode::StoreUnavailable, message)
}

fn resolve_existing(own: &OnceRecord, found: OnceRecord, now: u64) -> error::ApiResult<OnceEntry> {
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
        OnceState::Completed(stored) => match stored.into_response() {
            Some(response) => Ok(OnceEntry::Replay(response)),
            None => {
                let message = "the call ran and was answered; the kept answer cannot be read";
                let code = error::ErrorCode::EndpointFailed;
                Err(error::ApiError::ran(code, error::RanReport::Yes, message))
            }
        },
        OnceState::CompletedUnstored => {
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

impl StoredResponse {
    fn new(response: &endpoint_client::EndpointResponse) -> Self {
        Self {
            status: response.status.as_u16(),
            content_type: response.content_type.clone(),
            body: base64::engine::general_purpose::STANDARD.encode(&response.body),
        }
    }

    /// Returns the original response, or `None` if the record is damaged.
    fn into_response(self) -> Option<endpoint_client::EndpointResponse> {
        let body = base64::engine::general_purpose::STANDARD.decode(&self.body);
        let status = actix_http::StatusCode::from_u16(self.status);
        Some(endpoint_client::EndpointResponse {
            status: status.ok_or_log("kept_status_unreadable")?,
            content_type: self.content_type,
            body: body.ok_or_log("kept_body_unreadable")?.into(),
        })
    }
}

/// Stores the outcome of a recorded request.
///
/// Removes the record of a request that did not run, so that a resend may run.
pub async fn end(
    context: &context::GatewayContext,
    ticket: OnceTicket,
    outcome: &error::ApiResult<endpoint_client::EndpointResponse>,
) {
    let state = match outcome {
        Ok(response) if response.body.len() <= MAX_STORED_BYTES => {
            OnceState::Completed(StoredResponse::new(response))
        }
        Ok(_) => OnceState::CompletedUnstored,
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
