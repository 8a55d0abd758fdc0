//! Choice of the processes that keep the origin of a stream.
//!
//! They follow from the key of the stream by rendezvous hashing, so that whoever is asked to
//! resume it finds them without a search.

use super::ownership;
use crate::ids;

/// Returns the two processes that keep the origin of a stream, in two failure domains if there
/// are two.
pub fn choose(
    key: ids::StreamKey,
    candidates: &[ownership::OwnerCandidate],
) -> impl Iterator<Item = &ownership::OwnerCandidate> {
    let key = key.to_string();
    let weight = |c: &&ownership::OwnerCandidate| ownership::weight(c.id.as_str(), &key);
    let first = candidates.iter().max_by_key(weight);
    let others = candidates
        .iter()
        .filter(|c| first.is_some_and(|first| c.id != first.id));
    let second = others.max_by_key(|c| {
        let is_apart = first.is_some_and(|first| c.domain != first.domain);
        (is_apart, weight(c))
    });
    first.into_iter().chain(second)
}
