//! What a process knows of the fleet at one time.

use std::{collections, net, sync};

use crate::{
    bundle, clock,
    decisions::{job, ownership},
    ids, platform,
};

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// It answers callers.
    Gateway,
    /// It owns endpoints and runs batch work.
    Dispatcher,
}

/// The object `instance/{id}`: a lease that its instance renews.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub id: ids::InstanceId,
    /// What it does.
    pub role: InstanceRole,
    /// Where peers reach it.
    pub link: net::SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Differs at each renewal.
    pub beat: u64,
    /// Bundle that it has in force.
    pub generation: bundle::BundleGeneration,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What the process knows at one time.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// The bundle in force here.
    pub bundle: sync::Arc<bundle::IndexedBundle>,
    /// Endpoints, live and leaving.
    pub endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    /// Dispatchers that take work.
    pub dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    /// Records of the live instances.
    pub instances: sync::Arc<collections::BTreeMap<ids::InstanceId, InstanceRecord>>,
    /// Jobs that run.
    pub jobs: sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    /// Whether this instance was asked to stop.
    pub stop_asked: bool,
    /// Whether the object service was read once, or a peer told the bundle.
    pub synced: bool,
    /// Whether the object service answered the latest call.
    pub store_answers: bool,
    /// When the object service was read last.
    pub read_at: clock::MonotonicTime,
}

impl FleetSnapshot {
    /// The live dispatcher that owns an endpoint, and where it is reached.
    pub fn owner_of(
        &self,
        endpoint: &platform::EndpointRecord,
    ) -> Option<(&ids::InstanceId, net::SocketAddr)> {
        let owner = ownership::owner_of(&endpoint.id, &endpoint.domain, &self.dispatchers)?;
        let record = self.instances.get(&owner.id)?;
        Some((&record.id, record.link))
    }

    /// Live gateways, at least one: the asker.
    pub fn gateways(&self) -> usize {
        let gateway = |r: &&InstanceRecord| r.role == InstanceRole::Gateway;
        self.instances.values().filter(gateway).count().max(1)
    }

    /// Whether the instance renews its lease.
    pub fn is_live(&self, id: &ids::InstanceId) -> bool {
        self.instances.contains_key(id)
    }
}
