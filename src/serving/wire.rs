//! The border to the wire: how requests, attempts and jobs are spelled.

use std::time;

use actix_http::header;

use super::workspaces::api_key;
use crate::ids;

/// What a caller's head says beyond method and path.
#[derive(Debug, Clone, Default)]
pub struct CallerTerms {
    /// Name of the request; each try of a caller has its own.
    pub id: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<time::Duration>,
    /// Event after which the caller wants a stream to go on.
    pub resume_after: Option<u64>,
    /// Its credentials.
    pub key: api_key::PresentedKey,
}

/// What an attempt tells an endpoint beyond the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTerms<'a> {
    /// The endpoint that is to run it, and no other.
    pub endpoint: &'a ids::EndpointId,
    /// How long the answer is waited for, if that is bounded.
    pub timeout: Option<time::Duration>,
    /// Event after which a stream is to go on.
    pub resume_after: Option<u64>,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// The endpoint says that the request did not run.
    pub not_run: bool,
    /// The request expects another endpoint than the one that answers.
    pub other_endpoint: bool,
    /// The endpoint that answers, if it says so.
    pub answered_by: Option<String>,
    /// Name of the request that is answered.
    pub id: Option<String>,
    /// Whether the endpoint vouches for the answer.
    pub is_confirmed: bool,
    /// The body is encoded on the way, so it is not the endpoint's own.
    pub is_encoded: bool,
    /// The endpoint's load.
    pub load: Option<ReportedLoad>,
    /// How long the endpoint keeps an idle connection.
    pub idle_limit: Option<time::Duration>,
}

/// A call about a job other than its submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Read {
        /// The job.
        job: ids::JobId,
        /// First position wanted.
        after: usize,
        /// How long to wait for a result.
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
    /// The job, as its caller names it.
    pub fn job(&self) -> &ids::JobId {
        match self {
            Self::Read { job, .. } | Self::ItemBody { job, .. } | Self::End { job } => job,
        }
    }
}

/// One item of a job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobItem {
    /// Its name, unique in the job.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request.
    #[serde(with = "base64_bytes")]
    pub body: bytes::Bytes,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ItemState {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    GivenUp,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of all its events, joined by line feeds.
    pub output: String,
}

/// A stretch of a job's results.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ResultPage {
    /// Items of the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// Headers that are forwarded or added.
pub type HeaderMap = header::HeaderMap;

/// The words of one wire, for callers, endpoints and jobs.
pub trait WireAdapter {
    /// Reads a caller's head.
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms;

    /// Sets the headers of an attempt on top of the caller's own.
    fn write_attempt(&self, headers: &mut HeaderMap, terms: &AttemptTerms<'_>);

    /// Names a request that no caller's head names: an item of a job.
    fn write_item_id(&self, headers: &mut HeaderMap, id: &str);

    /// Removes credentials, and names the workspace that a request is served for in place
    /// of whatever the caller named.
    fn write_workspace(&self, headers: &mut HeaderMap, workspace: Option<&ids::WorkspaceId>);

    /// Reads the head of an endpoint's answer.
    fn response_metadata(&self, head: &actix_http::ResponseHead) -> ResponseMetadata;

    /// Whether a header of an endpoint's answer goes on to the caller.
    fn is_forwarded(&self, name: &header::HeaderName) -> bool;

    /// A call about a job, if it is one.
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
    /// What is wrong, for the caller to read.
    fn job_items(&self, body: &[u8]) -> Result<Vec<JobItem>, String>;

    /// Writes a page of results.
    fn result_page(&self, page: &ResultPage) -> bytes::Bytes;
}

/// Bytes as Base64 text in JSON.
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
