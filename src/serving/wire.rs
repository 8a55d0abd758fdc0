//! The interface to a wire format: how requests, attempts and jobs are encoded.

use std::{fmt, time};

use actix_http::header;

use super::workspaces::api_key;
use crate::{decisions::endpoint_speed, ids};

/// Terms from the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallerTerms {
    /// Request id; each try of a caller has its own.
    pub id: Option<String>,
    /// Time for which the caller waits.
    pub timeout: Option<time::Duration>,
    /// Index of the event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
    /// Stream that the caller resumes.
    pub resumes: ResumedStream,
    /// API key that the caller presents.
    pub key: api_key::PresentedKey,
    /// Parts of its prompt that other requests may share.
    pub prompt: PromptPrefix,
}

/// Parts of a prompt that other requests may share: all but the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptPrefix {
    /// The parts, from the start of the prompt, as many as are tracked.
    Parts(Vec<ids::PartDigest>),
    /// The request describes its prompt in a way that cannot be read.
    Malformed,
}

impl Default for PromptPrefix {
    fn default() -> Self {
        Self::Parts(Vec::new())
    }
}

impl PromptPrefix {
    /// Maximum number of parts of a prompt that are tracked.
    pub const MAX_PARTS: usize = 32;

    /// Returns the parts; none if they cannot be read.
    pub fn parts(&self) -> &[ids::PartDigest] {
        match self {
            Self::Parts(parts) => parts,
            Self::Malformed => &[],
        }
    }
}

/// How a caller names the stream that it resumes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ResumedStream {
    /// It names none.
    #[default]
    Unnamed,
    /// By the try that brought the first event of the stream.
    Named(ids::RequestName),
    /// By something that is no name of a try.
    Malformed,
}

impl fmt::Display for ResumedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => f.write_str("-"),
            Self::Named(name) => name.fmt(f),
            Self::Malformed => f.write_str("malformed"),
        }
    }
}

/// Terms of an attempt that are sent to the endpoint in addition to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTerms<'a> {
    /// The only endpoint that may run it.
    pub endpoint: &'a ids::EndpointId,
    /// Time for which the response is awaited, if it is limited.
    pub timeout: Option<time::Duration>,
    /// Index of the event after which a stream is resumed.
    pub resume_after: Option<u64>,
}

/// The load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// How long work takes there at present, if the endpoint reports it.
    pub slowdown: Option<endpoint_speed::SlowdownPercent>,
}

/// Metadata from the head of a response.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Whether the endpoint states that the request did not run.
    pub not_run: bool,
    /// Whether the request was meant for another endpoint than the responding one.
    pub other_endpoint: bool,
    /// The responding endpoint, if it names itself.
    pub answered_by: Option<String>,
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the endpoint confirms that the response is its own.
    pub is_confirmed: bool,
    /// Whether the body was encoded by an intermediary, so that it is not the endpoint's own.
    pub is_encoded: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// Idle timeout of the endpoint for connections.
    pub idle_limit: Option<time::Duration>,
}

/// A request about a job other than its submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Read {
        /// The job.
        job: ids::JobId,
        /// Position of the first result wanted.
        after: usize,
        /// Longest wait for a result.
        wait: time::Duration,
    },
    /// Reads the body of an item.
    ItemBody {
        /// The job.
        job: ids::JobId,
        /// The item.
        item: String,
    },
    /// Ends the job.
    End {
        /// The job.
        job: ids::JobId,
    },
}

impl JobCall {
    /// Returns the id of the job, as the caller names it.
    pub fn job(&self) -> &ids::JobId {
        match self {
            Self::Read { job, .. } | Self::ItemBody { job, .. } | Self::End { job } => job,
        }
    }
}

/// One submitted item of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobItem {
    /// Item id, unique in the job.
    pub id: String,
    /// Path of the item's request.
    pub path: String,
    /// Headers of the item's request.
    pub headers: Vec<(String, String)>,
    /// Body of the item's request.
    #[serde(with = "base64_bytes")]
    pub body: bytes::Bytes,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ItemState {
    /// The output is complete.
    Completed,
    /// The item was abandoned.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// Item id.
    pub id: String,
    /// Final state.
    pub state: ItemState,
    /// Data of all events, joined by line feeds.
    pub output: String,
}

/// A page of a job's results.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ResultPage {
    /// Number of items in the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// Results of the page.
    pub results: Vec<ItemResult>,
}

/// The header type of the HTTP library.
pub type HeaderMap = header::HeaderMap;

/// Encodes and decodes one wire format for callers, endpoints and jobs.
pub trait WireAdapter {
    /// Reads the terms from the head of a caller's request.
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms;

    /// Reads the parts of a prompt from the headers of a request or of an item.
    fn prompt_prefix(&self, headers: &HeaderMap) -> PromptPrefix;

    /// Sets the headers of an attempt in addition to the caller's own.
    fn write_attempt(&self, headers: &mut HeaderMap, terms: &AttemptTerms<'_>);

    /// Sets the request id of an item of a job.
    fn write_item_id(&self, headers: &mut HeaderMap, id: &str);

    /// Removes credentials, and replaces any workspace that the caller named by the one that
    /// the request is served for.
    fn write_workspace(&self, headers: &mut HeaderMap, workspace: Option<&ids::WorkspaceId>);

    /// Reads the metadata from the head of an endpoint's response.
    fn response_metadata(&self, head: &actix_http::ResponseHead) -> ResponseMetadata;

    /// Returns the path at which an endpoint reports its state.
    fn start_path(&self) -> &'static str;

    /// Reads the start of an endpoint from the state that it reports, if it names one.
    fn reported_start(&self, body: &[u8]) -> Option<ids::StartTime>;

    /// Returns whether a header of an endpoint's response is forwarded to the caller.
    fn is_forwarded(&self, name: &header::HeaderName) -> bool;

    /// Reads a request about a job; returns `None` for any other request.
    fn job_call(
        &self,
        method: &actix_http::Method,
        path: &str,
        query: &str,
        headers: &HeaderMap,
    ) -> Option<JobCall>;

    /// Reads the items of a submitted job.
    ///
    /// # Errors
    /// A description of the error for the caller.
    fn job_items(&self, body: &[u8]) -> Result<Vec<JobItem>, String>;

    /// Encodes a page of results.
    fn result_page(&self, page: &ResultPage) -> bytes::Bytes;
}

/// Serializes bytes as Base64 text in JSON.
mod base64_bytes {
    use base64::Engine as _;
    use serde::Deserialize as _;

    pub(super) fn serialize<S: serde::Serializer>(
        body: &bytes::Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let text = base64::engine::general_purpose::STANDARD.encode(body);
        serializer.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<bytes::Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        let body = base64::engine::general_purpose::STANDARD.decode(text);
        body.map(bytes::Bytes::from)
            .map_err(serde::de::Error::custom)
    }
}
