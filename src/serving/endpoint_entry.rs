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
    /// Version of the software that the endpoint runs, if its entry has a valid one.
    pub software: Option<ids::SoftwareVersion>,
}

impl EndpointEntry {
    /// Returns the software that the endpoint runs, if its version is known.
    pub fn service_software(&self) -> Option<ServiceSoftware> {
        Some(ServiceSoftware {
            service: self.service.clone(),
            version: self.software.clone()?,
        })
    }

    /// Returns the run of the endpoint that the entry describes.
    pub fn run(&self) -> ids::EndpointRun {
        ids::EndpointRun {
            endpoint: self.id.clone(),
            started: self.started,
        }
    }

    /// Returns whether the endpoint may go on with a text that was begun at `version`; `None`
    /// for a text that is not begun.
    pub fn continues(&self, version: Option<&ids::SoftwareVersion>) -> bool {
        version.is_none() || self.software.as_ref() == version
    }

    /// Returns the version of its software for a log line.
    pub fn software_label(&self) -> &str {
        software_label(self.software.as_ref())
    }

    /// Returns whether this entry is of an earlier start than another; false if either
    /// start time is unknown.
    pub(super) fn started_before(&self, other: &Self) -> bool {
        match (self.started, other.started) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }
}

/// Returns a software version for a log line.
pub fn software_label(version: Option<&ids::SoftwareVersion>) -> &str {
    version.map_or("-", ids::SoftwareVersion::as_str)
}

/// Software of a service's endpoints. Texts that two versions of it write do not fit
/// together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ServiceSoftware {
    /// The service; versions of two services are not comparable.
    pub service: ids::ServiceName,
    /// The version.
    pub version: ids::SoftwareVersion,
}

impl fmt::Display for ServiceSoftware {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.version)
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
                "change=listed endpoint={} service={} address={} domain={} slots={} leaving={} started={} cold_ms={} software={}",
                entry.id,
                entry.service,
                entry.address,
                entry.domain,
                entry.slots,
                entry.leaving,
                entry.started.map_or("-".to_owned(), |at| at.to_string()),
                entry.cold_ms,
                entry.software_label()
            ),
            Self::Removed(id) => write!(f, "change=removed endpoint={id}"),
        }
    }
}
