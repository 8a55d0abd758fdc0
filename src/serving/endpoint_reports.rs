//! What an endpoint says of itself, or does, corrects what is believed of it.
//!
//! Who sees it uses it at once, and tells the owner that gave the place, so that
//! the next one who asks is not sent there.

use std::net;

use super::{context, directory, peer_calls, peers};
use crate::{decisions::health, outcome};

/// Who gave the place at which something was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotGrantor {
    /// Nobody: it was taken on this process's own counts.
    Nobody,
    /// This process owns the endpoint.
    Here,
    /// Another process does, or has it from the owner.
    Peer(net::SocketAddr),
}

/// A failure of an endpoint, as this process saw it.
pub(super) fn failure(
    context: &context::ProcessContext,
    is_silent: bool,
) -> peers::EndpointObservation {
    peers::EndpointObservation::Failed(health::FailureReport {
        reporter: context.id().clone(),
        is_silent,
    })
}

/// What an attempt that did not run says of its endpoint.
pub(super) fn of_refusal(
    context: &context::ProcessContext,
    reason: outcome::NotRunReason,
) -> Option<peers::EndpointObservation> {
    use outcome::NotRunReason as R;

    match reason {
        R::NeverConnected => Some(failure(context, true)),
        R::RefusedByEndpoint => Some(peers::EndpointObservation::Full),
        R::OtherEndpoint => Some(peers::EndpointObservation::Misnamed),
        R::NeverSent => None,
    }
}

/// Takes what was seen at an endpoint, and tells it to who gave the place there.
pub(super) fn record(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    grantor: SlotGrantor,
    observation: peers::EndpointObservation,
) {
    let directory = context.fleet.directory.borrow();
    let is_outdated = directory.has_other_start(&endpoint.id, endpoint.started);
    drop(directory);
    if is_outdated {
        // It was seen at a run that has ended.
        return;
    }
    take(context, endpoint, &observation);
    let report = peers::EndpointReport {
        endpoint: endpoint.id.clone(),
        started: endpoint.started,
        observation,
    };
    match grantor {
        SlotGrantor::Nobody => {}
        SlotGrantor::Here => peer_calls::take_report(context, &report),
        SlotGrantor::Peer(owner) => context.links.report(owner, report),
    }
}

fn take(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    observation: &peers::EndpointObservation,
) {
    let now = context.clock.now();
    let mut loads = context.loads.borrow_mut();
    match observation {
        peers::EndpointObservation::Failed(failure) if failure.is_silent => {
            loads.health.record_silence(&endpoint.id, now);
        }
        peers::EndpointObservation::Failed(_) => loads.health.record_failure(&endpoint.id, now),
        peers::EndpointObservation::Full => loads.record_full(endpoint, now),
        peers::EndpointObservation::Misnamed => {
            context
                .fleet
                .record_misnamed(&endpoint.id, endpoint.started);
        }
    }
}

/// Counts an attempt that an endpoint refused, or that found none, by its reason.
pub(super) fn count_refusal(context: &context::ProcessContext, reason: outcome::NotRunReason) {
    let label = reason.to_string();
    let refusals = &context.metrics.refusals;
    refusals.with_label_values(&[label.as_str()]).inc();
}
