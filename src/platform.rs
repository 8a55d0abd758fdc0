//! Messages of the platform protocol: objects, watches and the list of endpoints.

use crate::ids;

/// Object state in a list or watch response.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub key: String,
    /// Store revision at which the object last changed.
    pub revision: u64,
    /// Value, or `None` if the object was removed.
    pub value: Option<String>,
}

/// Response to a watch, with all changes up to `revision`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct WatchResponse {
    /// Revision from which to continue the watch.
    pub revision: u64,
    /// Changes in revision order.
    pub changes: Vec<ObjectChange>,
}

/// Page of a list.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ListResponse {
    /// Objects in key order.
    pub items: Vec<ObjectChange>,
    /// Whether more objects follow the last key.
    pub more: bool,
}

/// Availability of an endpoint for new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts work.
    Live,
    /// The endpoint is draining and receives no new work.
    Leaving,
}

/// Kind of an endpoint.
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

/// Entry in the platform's list of endpoints.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Endpoint identifier.
    pub id: ids::EndpointId,
    /// Model or plain service that the endpoint serves.
    pub service: ids::ServiceName,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: ids::DomainName,
    /// Availability for new work.
    pub state: EndpointState,
}
