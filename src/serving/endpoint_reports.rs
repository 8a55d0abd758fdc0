//! Observations of endpoints that correct their recorded state.
//!
//! The process that makes an observation applies it at once and reports it to the owner
//! that granted the slot, so that the owner does not send the next request there.

use std::net;

use super::{context, directory, peer_calls, peers};
use crate::{
    decisions::{endpoint_doubt, health},
    outcome,
};

/// Grantor of the slot in which an observation was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotGrantor {
    /// No owner was involved: the slot was taken on the counts of this process.
    NoOwner,
    /// This process, as the owner of the endpoint.
    Local,
    /// A peer that owns the endpoint, or relays for the owner.
    Peer(net::SocketAddr),
}

/// Returns the report of a failure by this process.
pub(super) fn report(context: &context::ProcessContext, is_silent: bool) -> health::FailureReport {
    health::FailureReport {
        reporter: context.id().clone(),
        is_silent,
    }
}

/// Returns the observation of a failure by this process.
pub(super) fn failure(
    context: &context::ProcessContext,
    is_silent: bool,
) -> peers::EndpointObservation {
    peers::EndpointObservation::Failed(report(context, is_silent))
}

/// Returns the observation by this process that the endpoint failed a request and said so.
pub(super) fn fault(context: &context::ProcessContext) -> peers::EndpointObservation {
    peers::EndpointObservation::Faulty(report(context, false))
}

/// What an observation says about whether the endpoint is alive.
pub(super) enum LifeEvidence {
    /// It gave a response.
    Alive,
    /// It failed.
    Failed(endpoint_doubt::FailureEvidence),
    /// Nothing.
    None,
}

/// Returns what an observation says about whether the endpoint is alive.
pub(super) fn life_evidence(observation: &peers::EndpointObservation) -> LifeEvidence {
    use endpoint_doubt::FailureEvidence as E;
    use peers::EndpointObservation as O;

    match observation {
        O::Failed(failure) if failure.is_silent => LifeEvidence::Failed(E::Unreachable),
        O::Failed(_) => LifeEvidence::Failed(E::Broken),
        O::Overdue(_) | O::Slow(_) => LifeEvidence::Failed(E::Silent),
        O::Full | O::QueueFull | O::Faulty(_) | O::Alive => LifeEvidence::Alive,
        O::Misnamed | O::Slowdown(_) => LifeEvidence::None,
    }
}

/// Returns the observation that follows from an attempt that did not run.
pub(super) fn from_refusal(
    context: &context::ProcessContext,
    reason: outcome::NotRunReason,
) -> Option<peers::EndpointObservation> {
    use outcome::NotRunReason as R;

    match reason {
        R::NeverConnected => Some(failure(context, true)),
        R::RefusedByEndpoint => Some(peers::EndpointObservation::Full),
        R::OtherEndpoint => Some(peers::EndpointObservation::Misnamed),
        R::ClosedBeforeSend => Some(failure(context, false)),
        R::NeverSent | R::StartedAgain | R::StartUnconfirmed => None,
    }
}

/// Applies an observation and reports it to the grantor of the slot.
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
        // The observation is of a run that has ended.
        return;
    }
    if let peers::EndpointObservation::Failed(_) = &observation {
        let now = context.clock.now();
        let mut starts = context.unlisted_starts.borrow_mut();
        starts.record_failure(&endpoint.id, endpoint.started, now);
    }
    apply(context, endpoint, &observation);
    let report = peers::EndpointReport {
        endpoint: endpoint.id.clone(),
        started: endpoint.started,
        observation,
    };
    match grantor {
        SlotGrantor::NoOwner => {}
        SlotGrantor::Local => peer_calls::apply_report(context, &report),
        SlotGrantor::Peer(owner) => context.links.report(owner, report),
    }
}

fn apply(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    observation: &peers::EndpointObservation,
) {
    let now = context.clock.now();
    let mut loads = context.loads.borrow_mut();
    match life_evidence(observation) {
        LifeEvidence::Alive => {
            loads.doubts.record_life(&endpoint.id, now);
        }
        LifeEvidence::Failed(evidence) => {
            loads.doubts.record_failure(&endpoint.id, evidence, now);
        }
        LifeEvidence::None => {}
    }
    match observation {
        peers::EndpointObservation::Failed(failure) | peers::EndpointObservation::Slow(failure)
            if failure.is_silent =>
        {
            loads.health.record_silence(&endpoint.id, now);
        }
        peers::EndpointObservation::Failed(_)
        | peers::EndpointObservation::Slow(_)
        | peers::EndpointObservation::Faulty(_) => {
            loads.health.record_failure(&endpoint.id, now);
        }
        peers::EndpointObservation::Overdue(_) | peers::EndpointObservation::Alive => {}
        peers::EndpointObservation::Full => loads.record_full(endpoint, now),
        // Says nothing about slots: all were known to be held.
        peers::EndpointObservation::QueueFull => {}
        peers::EndpointObservation::Misnamed => {
            context
                .fleet
                .record_misidentified(&endpoint.id, endpoint.started);
        }
        // Recorded with the load of the same response.
        peers::EndpointObservation::Slowdown(_) => {}
    }
}

/// Counts an attempt that an endpoint refused or that reached none, by reason.
pub(super) fn count_refusal(context: &context::ProcessContext, reason: outcome::NotRunReason) {
    let label = reason.to_string();
    let refusals = &context.metrics.refusals;
    refusals.with_label_values(&[label.as_str()]).inc();
}
