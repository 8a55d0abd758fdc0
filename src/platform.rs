//! Messages of the platform's protocol: objects, watches, the list of endpoints.

use crate::ids;

/// One object as a list or a watch tells it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub key: String,
    /// Revision of the store at which it last changed.
    pub revision: u64,
    /// The value, or nothing if the object was removed.
    pub value: Option<String>,
}

/// Answer of a watch: all that changed up to `revision`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct WatchResponse {
    /// Revision to go on from.
    pub revision: u64,
    /// Changes in the order of their revisions.
    pub changes: Vec<ObjectChange>,
}

/// One page of a list.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ListResponse {
    /// Objects in the order of their keys.
    pub items: Vec<ObjectChange>,
    /// Whether there are more after the last key.
    pub more: bool,
}

/// Whether an endpoint is to get work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint serves.
    Live,
    /// The endpoint is about to leave and gets no new work.
    Leaving,
}

/// What an endpoint is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Plain,
}

/// One line of the platform's list of endpoints.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Name of the endpoint.
    pub id: ids::EndpointId,
    /// Model or plain service that it serves.
    pub service: ids::ServiceName,
    /// What it is.
    pub kind: EndpointKind,
    /// IP number and port.
    pub address: std::net::SocketAddr,
    /// Failure domain that it is in.
    pub domain: ids::DomainName,
    /// Whether it is to get work.
    pub state: EndpointState,
}
