//! Subset of the dispatchers that a process probes and requests slots from.
//!
//! In a large fleet, links between all processes would cost each of them memory and
//! processor time in proportion to the fleet. Rendezvous hashing gives each process a few
//! dispatchers, and each dispatcher about the same number of processes, without
//! coordination and with few moves when members change.

use std::time;

use super::ownership;
use crate::ids;

/// Number of dispatchers up to which every process probes all of them.
pub const MAX_FULL_MESH: usize = 16;

/// Size of a subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSize {
    /// Number of dispatchers in the failure domain of the process.
    pub same_domain: usize,
    /// Number of dispatchers in other failure domains.
    pub other_domains: usize,
}

/// Subset of a dispatcher. The links of all dispatchers together form a random graph in
/// which any two are few links apart.
pub const DISPATCHER_SUBSET: SubsetSize = SubsetSize {
    same_domain: 6,
    other_domains: 3,
};

/// Subset of a gateway, which requests slots from it. Most are in its own domain, as each
/// event of a response from another domain crosses the boundary.
pub const GATEWAY_SUBSET: SubsetSize = SubsetSize {
    same_domain: 6,
    other_domains: 2,
};

/// Returns the subset of the process `own` among the dispatchers: all of them in a small
/// fleet. A domain that has too few is made up for by the others, and the other way round.
pub fn choose(
    own: &ownership::OwnerCandidate,
    dispatchers: &[ownership::OwnerCandidate],
    size: SubsetSize,
) -> Vec<ids::InstanceId> {
    let others = dispatchers.iter().filter(|d| d.id != own.id);
    if others.clone().count() <= MAX_FULL_MESH {
        return others.map(|d| d.id.clone()).collect();
    }
    let ranked = |is_same_domain: bool| {
        let of_domain = others
            .clone()
            .filter(|d| (d.domain == own.domain) == is_same_domain);
        let weighted = of_domain.map(|d| (ownership::weight(d.id.as_str(), own.id.as_str()), d));
        let mut weighted: Vec<_> = weighted.collect();
        weighted.sort_by(|(a, _), (b, _)| b.cmp(a));
        weighted.into_iter().map(|(_, d)| &d.id)
    };
    let (same_domain, other_domains) = (ranked(true), ranked(false));
    let missing = size.same_domain.saturating_sub(same_domain.len());
    let take_others = (size.other_domains + missing).min(other_domains.len());
    let total = size.same_domain + size.other_domains;
    let same_domain = same_domain.take(total - take_others);
    let chosen = same_domain.chain(other_domains.take(take_others));
    chosen.cloned().collect()
}

/// Interval between the processes of a large fleet that read the store because no peer has
/// sent them the list of endpoints.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How long peers have to send the list of endpoints to a process that starts.
const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Number of processes among which a process that does not know its fleet finds its place.
const MAX_FLEET: usize = 2_000;

/// Returns how long a starting process waits for the members before it acts without them, by
/// its place in a fleet of unknown size. All at once would take themselves for alone, and
/// read all endpoints and jobs.
pub fn member_timeout(own: &ids::InstanceId) -> time::Duration {
    list_timeout(own, MAX_FLEET)
}

/// Returns how long a starting process waits for the list of a peer before it reads the
/// store, by its place among `members` processes. All at once would take the store so long
/// that none of them got the whole list.
pub fn list_timeout(own: &ids::InstanceId, members: usize) -> time::Duration {
    let place = ownership::weight(own.as_str(), "readers") % members.max(1) as u64;
    PEER_TIMEOUT + READ_INTERVAL * place as u32
}
