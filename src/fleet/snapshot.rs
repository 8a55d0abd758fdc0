//! Immutable snapshot of the fleet, as one process sees it.

use std::{collections, net, sync};

use crate::{
    bundle, clock,
    decisions::{job, ownership},
    ids, platform,
};

/// Role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Handles the requests of callers.
    Gateway,
    /// Owns endpoints and runs batch work.
    Dispatcher,
}

/// Object `instance/{id}`, which is also the lease that its instance renews.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InstanceRecord {
    /// Identifier of the instance.
    pub id: ids::InstanceId,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Address on which the instance serves its peers.
    pub link: net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: ids::DomainName,
    /// Heartbeat number, which differs at each renewal.
    pub beat: u64,
    /// Generation of the bundle that is active at the instance.
    pub generation: bundle::BundleGeneration,
    /// Whether the instance is draining: it takes no new work.
    pub leaving: bool,
}

/// State of the fleet at one moment, as this process has read it.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Active bundle of this process.
    pub bundle: sync::Arc<bundle::IndexedBundle>,
    /// Endpoints of the platform's list, including draining ones.
    pub endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    /// Live dispatchers that are not draining, as candidates for ownership.
    pub dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    /// Records of the instances whose leases are valid.
    pub instances: sync::Arc<collections::BTreeMap<ids::InstanceId, InstanceRecord>>,
    /// Manifests of the accepted jobs that have not ended.
    pub jobs: sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    /// Whether there is a stop request for this instance.
    pub stop_requested: bool,
    /// Whether this process has caught up with the object service once, or activated a bundle from
    /// a peer.
    pub synced: bool,
    /// Whether the latest watch call to the object service succeeded.
    pub store_reachable: bool,
    /// Time of the latest successful watch response.
    pub read_at: clock::MonotonicTime,
}

impl FleetSnapshot {
    /// Returns the live dispatcher that owns an endpoint, and the address for its peers.
    pub fn owner_of(
        &self,
        endpoint: &platform::EndpointRecord,
    ) -> Option<(&ids::InstanceId, net::SocketAddr)> {
        let owner = ownership::owner_of(&endpoint.id, &endpoint.domain, &self.dispatchers)?;
        let record = self.instances.get(&owner.id)?;
        Some((&record.id, record.link))
    }

    /// Returns the number of live gateways. It is at least 1, since the calling process is a gateway
    /// even if its own record has not been read yet.
    pub fn gateway_count(&self) -> usize {
        let is_gateway = |r: &&InstanceRecord| r.role == InstanceRole::Gateway;
        self.instances.values().filter(is_gateway).count().max(1)
    }

    /// Returns whether the lease of an instance is valid.
    pub fn is_live(&self, id: &ids::InstanceId) -> bool {
        self.instances.contains_key(id)
    }
}
