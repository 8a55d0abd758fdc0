//! Order in which a gateway requests a slot from the owners.
//!
//! The known number of free slots is up to one probe interval old and the same at all
//! gateways. If each gateway tried the owner with the most free slots first, all would try
//! the same one, which would fill up while others have free slots. Owners are therefore
//! ordered at random, weighted by their free slots.

use rand::Rng;

use crate::ids;

/// Factor on the weight of an owner in the gateway's failure domain.
///
/// Such an owner prefers endpoints in the same domain, which saves a crossing between domains
/// for each event. Other owners are still tried first often enough to share a burst.
const SAME_DOMAIN_FACTOR: f64 = 3.0;

/// Free slots of an owner, as known to a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCapacity {
    /// Instance of the owner.
    pub id: ids::InstanceId,
    /// Free slots that the owner last reported.
    pub free_slots: u32,
    /// Whether the owner is in the gateway's failure domain.
    pub is_same_domain: bool,
}

/// Number of free slots assumed of an owner that has not reported any.
const ASSUMED_FREE_SLOTS: u32 = 8;

/// Owner of listed endpoints of a service that has not reported free slots of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedOwner {
    /// Instance of the owner.
    pub id: ids::InstanceId,
    /// Whether the owner is in the gateway's failure domain.
    pub is_same_domain: bool,
    /// Whether the gateway exchanges heartbeats with the owner, of which none contained a
    /// report yet: one of the next will.
    pub awaits_report: bool,
}

/// Returns the owners to choose from: those that have reported, and with assumed free slots
/// those that have not.
///
/// An owner whose first report is awaited has just started. Without it, all gateways send
/// all requests to the owners that reported first. Owners with which the gateway exchanges
/// no heartbeats are considered only if the known ones are full: requests are to stay
/// within the subset of owners that the gateway is linked to.
pub fn with_unreported(
    mut reported: Vec<OwnerCapacity>,
    unreported: Vec<UnreportedOwner>,
) -> Vec<OwnerCapacity> {
    let are_full = reported.iter().all(|owner| owner.free_slots == 0);
    let usable = unreported
        .into_iter()
        .filter(|owner| owner.awaits_report || are_full);
    let usable: Vec<_> = usable
        .map(|owner| OwnerCapacity {
            id: owner.id,
            free_slots: ASSUMED_FREE_SLOTS,
            is_same_domain: owner.is_same_domain,
        })
        .collect();
    reported.retain(|known| usable.iter().all(|owner| owner.id != known.id));
    reported.extend(usable);
    reported
}

/// Returns the owners in the order in which they are to be tried; those without free slots go
/// last.
pub fn random_order(owners: Vec<OwnerCapacity>, rng: &mut impl Rng) -> Vec<ids::InstanceId> {
    let mut keyed: Vec<_> = owners
        .into_iter()
        .map(|owner| (random_key(&owner, rng), owner.id))
        .collect();
    keyed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    keyed.into_iter().map(|(_, id)| id).collect()
}

/// Returns a sort key for weighted random sampling without replacement (Efraimidis and
/// Spirakis, "Weighted random sampling with a reservoir", 2006).
fn random_key(owner: &OwnerCapacity, rng: &mut impl Rng) -> f64 {
    let random: f64 = rng.random();
    if owner.free_slots == 0 {
        // Sorts after all owners with free slots, whose keys are not negative.
        return random - 1.0;
    }
    let factor = if owner.is_same_domain {
        SAME_DOMAIN_FACTOR
    } else {
        1.0
    };
    random.powf(1.0 / (f64::from(owner.free_slots) * factor))
}
