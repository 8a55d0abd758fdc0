//! Endpoints at which a begun text may not go on.

use super::{context, directory};
use crate::ids;

/// Returns whether no begun text may go on at an endpoint: while the service has several
/// software versions, the list may be behind for this one.
pub(super) fn is_excluded(
    context: &context::ProcessContext,
    entry: &directory::EndpointEntry,
) -> bool {
    let directory = context.fleet.directory.borrow();
    let is_mixed = directory.versions().sole(&entry.service).is_none();
    let starts = context.unlisted_starts.borrow();
    is_mixed && starts.is_uncertain(entry, context.clock.now())
}

/// Returns the endpoints at which a text that goes on at `software` may not.
pub(super) fn excluded(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    software: Option<&ids::SoftwareVersion>,
) -> Vec<ids::EndpointId> {
    let starts = context.unlisted_starts.borrow();
    if software.is_none() {
        return Vec::new();
    }
    let directory = context.fleet.directory.borrow();
    let entries = starts.candidates().filter_map(|id| directory.usable(id));
    let entries = entries.filter(|entry| entry.service == *service);
    let excluded = entries.filter(|entry| is_excluded(context, entry));
    excluded.map(|entry| entry.id.clone()).collect()
}

/// Returns whether an endpoint at which a text goes on at `software` may start again under its
/// name with another version, so that the list is behind for a while.
pub(super) fn may_start_unlisted(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    software: Option<&ids::SoftwareVersion>,
) -> bool {
    let directory = context.fleet.directory.borrow();
    let is_mixed = directory.versions().sole(service).is_none();
    let mut listed = directory.of_version(service, software).iter();
    software.is_some() && is_mixed && listed.any(|entry| entry.started.is_some())
}
