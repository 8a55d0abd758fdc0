//! In which order owners are asked for a place.
//!
//! What is known of their room is up to a probe old and the same at all
//! gateways: if each asked the owner with the most, all would ask the same
//! one, and it would be full while others have room. So owners are drawn at
//! random, in proportion to their room.

use rand::Rng;

use crate::ids;

/// How much likelier an owner in the own failure domain is asked first.
///
/// It prefers endpoints there, which saves a crossing between domains for each
/// event; the others still are asked often enough to share a burst.
const NEAR_FACTOR: f64 = 3.0;

/// An owner as a gateway knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCapacity {
    /// The instance.
    pub id: ids::InstanceId,
    /// Places that it said it can give.
    pub free_slots: u32,
    /// Whether it is in the gateway's failure domain.
    pub is_same_domain: bool,
}

/// The owners in the order in which they are asked; those without room last.
pub fn draw_order(owners: Vec<OwnerCapacity>, rng: &mut impl Rng) -> Vec<ids::InstanceId> {
    let mut drawn: Vec<_> = owners
        .into_iter()
        .map(|owner| (draw_key(&owner, rng), owner.id))
        .collect();
    drawn.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    drawn.into_iter().map(|(_, id)| id).collect()
}

/// A key whose order is a draw without replacement by weight (Efraimidis and
/// Spirakis, "Weighted random sampling with a reservoir", 2006).
fn draw_key(owner: &OwnerCapacity, rng: &mut impl Rng) -> f64 {
    let chance: f64 = rng.random();
    if owner.free_slots == 0 {
        // Behind all with room, whose keys are above 0.
        return chance - 1.0;
    }
    let factor = if owner.is_same_domain {
        NEAR_FACTOR
    } else {
        1.0
    };
    chance.powf(1.0 / (f64::from(owner.free_slots) * factor))
}
