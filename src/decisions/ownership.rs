//! Assignment of endpoints to dispatchers by rendezvous hashing, preferring the same failure
//! domain.

use std::collections;

use xxhash_rust::xxh3;

use crate::ids;

/// Live dispatcher that may own endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Instance of the dispatcher.
    pub id: ids::InstanceId,
    /// Failure domain of the dispatcher.
    pub domain: ids::DomainName,
}

/// Returns the weight of a pair in rendezvous hashing.
pub fn weight(left: &str, right: &str) -> u64 {
    let seed = xxh3::xxh3_64(right.as_bytes());
    xxh3::xxh3_64_with_seed(left.as_bytes(), seed)
}

/// Returns the owner of an endpoint among the live dispatchers.
///
/// Dispatchers in the endpoint's failure domain are preferred, so that an isolated domain can
/// still own its endpoints.
pub fn owner_of<'a>(
    endpoint: &ids::EndpointId,
    domain: &ids::DomainName,
    candidates: &'a [OwnerCandidate],
) -> Option<&'a OwnerCandidate> {
    candidates.iter().max_by_key(|c| {
        let is_same_domain = c.domain == *domain;
        (is_same_domain, weight(c.id.as_str(), endpoint.as_str()))
    })
}

/// Dispatchers by failure domain, to compute the owners of many endpoints.
#[derive(Debug, Default)]
pub struct OwnerIndex<'a> {
    all: Vec<&'a OwnerCandidate>,
    by_domain: collections::HashMap<&'a ids::DomainName, Vec<&'a OwnerCandidate>>,
}

impl<'a> OwnerIndex<'a> {
    /// Indexes the live dispatchers.
    pub fn new(candidates: &'a [OwnerCandidate]) -> Self {
        let mut index = Self::default();
        for candidate in candidates {
            index.all.push(candidate);
            let of_domain = index.by_domain.entry(&candidate.domain).or_default();
            of_domain.push(candidate);
        }
        index
    }

    /// Returns whether an instance is one of the dispatchers.
    pub fn contains(&self, instance: &ids::InstanceId) -> bool {
        self.all.iter().any(|c| c.id == *instance)
    }

    /// Returns whether an instance owns an endpoint, see [`owner_of`].
    ///
    /// The cost depends on the number of dispatchers in the domain of the endpoint, or on
    /// the number of all dispatchers if there is none.
    pub fn is_owner(
        &self,
        instance: &ids::InstanceId,
        endpoint: &ids::EndpointId,
        domain: &ids::DomainName,
    ) -> bool {
        let owner = self.owner_of(endpoint, domain);
        owner.is_some_and(|owner| owner.id == *instance)
    }

    /// Returns the owner of an endpoint, see [`owner_of`].
    pub fn owner_of(
        &self,
        endpoint: &ids::EndpointId,
        domain: &ids::DomainName,
    ) -> Option<&'a OwnerCandidate> {
        let candidates = self.by_domain.get(domain).unwrap_or(&self.all);
        let seed = xxh3::xxh3_64(endpoint.as_str().as_bytes());
        let weight = |c: &&&OwnerCandidate| xxh3::xxh3_64_with_seed(c.id.as_str().as_bytes(), seed);
        candidates.iter().max_by_key(weight).copied()
    }
}

/// Returns the rank of `instance` among `candidates` for a chunk; 0 is the first choice.
pub fn chunk_rank(
    instance: &ids::InstanceId,
    job: &ids::JobId,
    chunk: ids::ChunkIndex,
    candidates: &[OwnerCandidate],
) -> usize {
    let key = format!("{job}/{chunk}");
    let own = weight(instance.as_str(), &key);
    let above = |c: &&OwnerCandidate| weight(c.id.as_str(), &key) > own;
    candidates.iter().filter(above).count()
}
