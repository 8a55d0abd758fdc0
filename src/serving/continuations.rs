//! Endpoints at which a begun text may not go on.

use super::{context, directory, stream_origins};
use crate::ids;

/// Returns whether no begun text may go on at an endpoint: it has reported another start than
/// the listed one, or the list may be behind for it while the service has several software
/// versions.
pub(super) fn is_excluded(
    context: &context::ProcessContext,
    entry: &directory::EndpointEntry,
) -> bool {
    let directory = context.fleet.directory.borrow();
    let is_mixed = directory.versions().sole(&entry.service).is_none();
    let starts = context.unlisted_starts.borrow();
    let has_restarted = starts.reported_start(&entry.id, entry.started).is_some();
    has_restarted || (is_mixed && starts.is_uncertain(entry, context.clock.now()))
}

/// Returns whether an endpoint has reported another start than the listed one, and may thus have
/// other software.
pub(super) fn is_unlisted(
    context: &context::ProcessContext,
    entry: &directory::EndpointEntry,
) -> bool {
    let starts = context.unlisted_starts.borrow();
    starts.reported_start(&entry.id, entry.started).is_some()
}

/// Returns the software of an endpoint, unless it may have other software than the listed one.
pub(super) fn certain_software(
    context: &context::ProcessContext,
    entry: &directory::EndpointEntry,
) -> Option<directory::ServiceSoftware> {
    let software = entry.service_software();
    software.filter(|_| !is_unlisted(context, entry))
}

/// Returns whether an endpoint of a service has reported another start than the listed one, so
/// that the service may have a version that the list does not show.
pub(super) fn has_unlisted_start(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
) -> bool {
    let directory = context.fleet.directory.borrow();
    let starts = context.unlisted_starts.borrow();
    let mut entries = starts.restarted().filter_map(|id| directory.entry(id));
    entries.any(|entry| {
        entry.service == *service && starts.reported_start(&entry.id, entry.started).is_some()
    })
}

/// Returns whether a stream is sure to have begun at the software of its origin: its endpoint
/// has not started again with other software before the first event, unnoticed by the list.
pub(super) fn is_origin_certain(
    context: &context::ProcessContext,
    origin: &stream_origins::StreamOrigin,
) -> bool {
    let starts = context.unlisted_starts.borrow();
    let reported = origin
        .run
        .as_ref()
        .and_then(|run| starts.reported_start(&run.endpoint, run.started));
    let began_before = reported.is_none_or(|started| origin.began_before(started));
    !origin.is_unlisted && began_before && origin.is_certain(&context.fleet.directory.borrow())
}

/// Returns whether a begun text may go on at some listed endpoint of a software version.
pub(super) fn has_endpoint(
    context: &context::ProcessContext,
    software: &directory::ServiceSoftware,
) -> bool {
    let directory = context.fleet.directory.borrow();
    let starts = context.unlisted_starts.borrow();
    let listed = directory.of_version(&software.service, Some(&software.version));
    let mut listed = listed.iter();
    listed.any(|entry| starts.reported_start(&entry.id, entry.started).is_none())
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
