//! Order in which a gateway requests a slot from the owners.
//!
//! The known number of free slots is up to one probe interval old and the same at all
//! gateways. If each gateway tried the owner with the most free slots first, all would try
//! the same one, which would fill up while others have free slots. Owners are therefore
//! ordered at random, weighted by their free slots.
//!
//! A request at an owner of slow endpoints takes longer, so its free slots count less: as
//! much less as its learned hold time is longer than the mean of all owners. Where few slots
//! are free the count alone decides, because the fast owners would be full first.

use std::time;

use rand::Rng;

use crate::ids;

/// Factor on the weight of an owner in the gateway's failure domain.
///
/// Such an owner prefers endpoints in the same domain, which saves a crossing between domains
/// for each event. Other owners are still tried first often enough to share a burst.
const SAME_DOMAIN_FACTOR: f64 = 3.0;

/// Difference from the mean hold time up to which owners count as alike. A learned hold time
/// covers about fifty runs; if these vary by half, its standard error is 4 to 7 %.
const ALIKE_RANGE: f64 = 0.1;
/// Largest ratio of a hold time to the mean that counts, in either direction.
const MAX_RATIO: f64 = 4.0;

/// Share of free slots up to which hold times do not count, and the one from which on they
/// count in full.
///
/// In the played load of `tests/owner_order.rs` at 0.9 of the capacity, hold times that always
/// count in full raise the share of requests that find their first owner full from 0.20 to
/// 0.28.
const SCARCE_SHARE: f64 = 0.2;
const AMPLE_SHARE: f64 = 0.5;

/// Free slots of an owner, as known to a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCapacity {
    /// Instance of the owner.
    pub id: ids::InstanceId,
    /// Free slots that the owner last reported.
    pub free_slots: u32,
    /// Slots of the owner, with those that are held; 0 if it has reported none.
    pub slots: u32,
    /// Mean time for which a request holds a slot there, if it has reported one.
    pub hold_time: Option<time::Duration>,
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
            slots: 0,
            hold_time: None,
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
    let scale = HoldScale::of(&owners);
    let mut keyed: Vec<_> = owners
        .into_iter()
        .map(|owner| (random_key(&owner, scale, rng), owner.id))
        .collect();
    keyed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    keyed.into_iter().map(|(_, id)| id).collect()
}

/// What the owners of a service have in common.
#[derive(Debug, Clone, Copy)]
struct HoldScale {
    /// Mean of the hold times that owners have reported, in seconds.
    mean: Option<f64>,
    /// Weight of the hold times, from 0 to 1.
    weight: f64,
}

impl HoldScale {
    fn of(owners: &[OwnerCapacity]) -> Self {
        let (mut sum, mut count) = (0.0, 0.0);
        for hold_time in owners.iter().filter_map(|owner| owner.hold_time) {
            sum += hold_time.as_secs_f64();
            count += 1.0;
        }
        let (mut free_slots, mut slots) = (0.0, 0.0);
        for owner in owners.iter().filter(|owner| owner.slots > 0) {
            free_slots += f64::from(owner.free_slots);
            slots += f64::from(owner.slots);
        }
        let share = free_slots / f64::max(slots, 1.0);
        let weight = (share - SCARCE_SHARE) / (AMPLE_SHARE - SCARCE_SHARE);
        Self {
            mean: (sum > 0.0).then(|| sum / count),
            weight: weight.clamp(0.0, 1.0),
        }
    }

    /// Returns by how much the free slots of an owner count less; 1 if its hold time is
    /// unknown or like that of the others.
    fn divisor(&self, owner: &OwnerCapacity) -> f64 {
        let (Some(hold_time), Some(mean)) = (owner.hold_time, self.mean) else {
            return 1.0;
        };
        let ratio = hold_time.as_secs_f64() / mean;
        match (ratio - 1.0).abs() <= ALIKE_RANGE {
            true => 1.0,
            false => ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).powf(self.weight),
        }
    }
}

/// Returns a sort key for weighted random sampling without replacement (Efraimidis and
/// Spirakis, "Weighted random sampling with a reservoir", 2006).
fn random_key(owner: &OwnerCapacity, scale: HoldScale, rng: &mut impl Rng) -> f64 {
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
    let weight = f64::from(owner.free_slots) * factor / scale.divisor(owner);
    random.powf(1.0 / weight)
}
