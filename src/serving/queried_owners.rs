//! Owners that are queried for a slot, by the free slots that they reported.

use std::{collections, rc, time};

use rand::seq::IndexedRandom as _;

use super::context;
use crate::{
    decisions::{owner_order, ownership},
    ids,
};

/// Timeout of a request to an owner.
///
/// A round trip takes 1 to 4 ms, so an owner that takes longer is lost or overloaded.
pub(super) const OWNER_TIMEOUT: time::Duration = time::Duration::from_millis(40);

/// Maximum number of owners queried before a request is sent without a permit or refused.
pub(super) const MAX_QUERIED_OWNERS: usize = 3;

/// Number of endpoints whose owners are queried if no known owner has a free slot.
const SAMPLED_ENDPOINTS: usize = 16;

/// Returns the owners in the order in which they are queried: those that have reported free
/// slots of the service or whose first report is awaited, then other owners of some of its
/// endpoints that have not reported any, then the full ones.
///
/// For a stream that goes on at a software version, only owners of some endpoints of that
/// version are queried: a report of free slots does not tell versions apart.
pub(super) fn owner_order(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    software: Option<&ids::SoftwareVersion>,
) -> Vec<ids::InstanceId> {
    let owners = match software {
        None => context.owners(),
        Some(_) => {
            let all = context.owners();
            let owners = sampled_owners(context, service, software, &all);
            rc::Rc::new(owners.into_iter().cloned().collect())
        }
    };
    let is_reachable = |id: &ids::InstanceId| id == context.id() || context.receives_from(id);
    let is_same_domain = |domain: &ids::DomainName| domain == context.domain();
    let free_slots = context.free_slots.borrow();
    let reported = |id: &ids::InstanceId| free_slots.get(id)?.get(service).copied();
    let reachable = owners.iter().filter(|owner| is_reachable(&owner.id));
    let known = reachable.filter_map(|owner| {
        let slots = match owner.id == *context.id() {
            true => own_slots(context, service),
            false => reported(&owner.id)?,
        };
        Some(owner_order::OwnerCapacity {
            id: owner.id.clone(),
            free_slots: slots.free_slots,
            slots: slots.slots,
            hold_time: slots.hold_time,
            is_same_domain: is_same_domain(&owner.domain),
        })
    });
    let known: Vec<_> = known.collect();
    let subset = context.subset();
    // A report names all services of which its sender owns endpoints.
    let awaits_report = |id: &ids::InstanceId| {
        id != context.id() && !free_slots.contains_key(id) && subset.contains(id)
    };
    let are_full = known.iter().all(|owner| owner.free_slots == 0);
    let mut reachable = owners.iter().filter(|owner| is_reachable(&owner.id));
    let unreported = match are_full || reachable.any(|owner| awaits_report(&owner.id)) {
        true => sampled_owners(context, service, software, &owners),
        false => Vec::new(),
    };
    let unreported = unreported
        .into_iter()
        .filter(|owner| is_reachable(&owner.id) && reported(&owner.id).is_none())
        .map(|owner| owner_order::UnreportedOwner {
            id: owner.id.clone(),
            is_same_domain: is_same_domain(&owner.domain),
            awaits_report: awaits_report(&owner.id),
        });
    let capacities = owner_order::with_unreported(known, unreported.collect());
    owner_order::random_order(capacities, &mut rand::rng())
}

/// Returns the free slots of this process as an owner.
fn own_slots(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
) -> context::ReportedSlots {
    let permits = context.permits.borrow();
    context::ReportedSlots {
        free_slots: permits.free_online_slots(service, context.clock.now()),
        slots: permits.slots(service),
        hold_time: permits.hold_time(service),
    }
}

/// Returns the owners of some endpoints of a service, drawn at random among those that may go
/// on with a text begun at `software`.
fn sampled_owners<'a>(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    software: Option<&ids::SoftwareVersion>,
    owners: &'a [ownership::OwnerCandidate],
) -> Vec<&'a ownership::OwnerCandidate> {
    let directory = context.fleet.directory.borrow();
    let endpoints = directory.of_version(service, software);
    let index = ownership::OwnerIndex::new(owners);
    let drawn = endpoints.choose_multiple(&mut rand::rng(), SAMPLED_ENDPOINTS);
    let owners = drawn.filter_map(|e| index.owner_of(&e.id, &e.domain));
    let mut owners: Vec<_> = owners.collect();
    owners.sort_by(|a, b| a.id.cmp(&b.id));
    owners.dedup();
    owners
}

/// Records the number of free slots that an owner has for a service.
pub(super) fn set_free_slots(
    context: &context::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    free_slots: u32,
) {
    let mut all = context.free_slots.borrow_mut();
    let of_owner = all.entry(owner.clone()).or_default();
    of_owner.entry(service.clone()).or_default().free_slots = free_slots;
}

/// Records that an owner responded that it owns no endpoint of a service.
pub(super) fn record_not_owner(
    context: &context::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
) {
    let is_probed = context.subset().contains(owner);
    let mut all = context.free_slots.borrow_mut();
    match all.get_mut(owner) {
        Some(of_owner) => {
            of_owner.remove(service);
        }
        // An owner that has just started may not have read the list of endpoints: it counts
        // as full until its next heartbeat.
        None if is_probed => {
            let none =
                collections::HashMap::from([(service.clone(), context::ReportedSlots::default())]);
            all.insert(owner.clone(), none);
        }
        None => {}
    }
}
