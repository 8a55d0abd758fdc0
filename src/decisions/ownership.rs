//! Which dispatcher owns an endpoint: rendezvous hashing, own failure domain first.

use xxhash_rust::xxh3;

use crate::ids;

/// A live dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// The instance.
    pub id: ids::InstanceId,
    /// Its failure domain.
    pub domain: ids::DomainName,
}

/// Weight of a pair in rendezvous hashing.
pub fn weight(left: &str, right: &str) -> u64 {
    let seed = xxh3::xxh3_64(right.as_bytes());
    xxh3::xxh3_64_with_seed(left.as_bytes(), seed)
}

/// The owner of an endpoint among the live dispatchers.
///
/// A dispatcher in the endpoint's failure domain goes before the others, so
/// that a domain cut off keeps its endpoints owned.
pub fn owner_of<'a>(
    endpoint: &ids::EndpointId,
    domain: &ids::DomainName,
    candidates: &'a [OwnerCandidate],
) -> Option<&'a OwnerCandidate> {
    candidates.iter().max_by_key(|c| {
        let near = c.domain == *domain;
        (near, weight(c.id.as_str(), endpoint.as_str()))
    })
}

/// Place of `instance` among `candidates` for a chunk: 0 is the first choice.
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
