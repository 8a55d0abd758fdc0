//! Entries of the list of endpoints, and their changes.

use std::{fmt, net};

use crate::ids;

/// Entry of an endpoint in the list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint, which it keeps over restarts.
    pub id: ids::EndpointId,
    /// Service that the endpoint runs.
    pub service: ids::ServiceName,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: ids::DomainName,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and gets no new work.
    pub leaving: bool,
    /// Start time, if the entry has one.
    pub started: Option<ids::StartTime>,
    /// How long the endpoint stays cold, in milliseconds from the time of the entry. A cold
    /// endpoint accepts only a limited rate of requests.
    pub cold_ms: u32,
}

impl EndpointEntry {
    /// Returns whether this entry is of an earlier start than another; false if either
    /// start time is unknown.
    pub(super) fn started_before(&self, other: &Self) -> bool {
        match (self.started, other.started) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }
}

/// Change of one endpoint in the list.
#[derive(Debug, Clone)]
pub enum EndpointChange {
    /// The endpoint was added or its entry has changed.
    Listed(EndpointEntry),
    /// The entry of the endpoint was removed.
    Removed(ids::EndpointId),
}

impl EndpointChange {
    /// Returns the name of the endpoint.
    pub fn id(&self) -> &ids::EndpointId {
        match self {
            Self::Listed(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

impl fmt::Display for EndpointChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listed(entry) => write!(
                f,
                "change=listed endpoint={} service={} address={} domain={} slots={} leaving={} started={} cold_ms={}",
                entry.id,
                entry.service,
                entry.address,
                entry.domain,
                entry.slots,
                entry.leaving,
                entry.started.map_or("-".to_owned(), |at| at.to_string()),
                entry.cold_ms
            ),
            Self::Removed(id) => write!(f, "change=removed endpoint={id}"),
        }
    }
}
