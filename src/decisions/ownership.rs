//! Assignment of endpoints to dispatchers by rendezvous hashing, preferring the same failure
//! domain.

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
