//! Selection of an endpoint for an attempt, with a permit from the endpoint's owner.

use std::{collections, net, sync};

use super::context;
use crate::{
    decisions::{admission, routing},
    error, ids, link, platform, protection,
};

/// Maximum number of permit requests for one attempt.
const MAX_PERMIT_REQUESTS: usize = 3;

/// Requirements on the endpoint of an attempt.
pub struct RouteQuery<'a> {
    /// Model or plain service to reach.
    pub service: &'a ids::ServiceName,
    /// Kind of the endpoint.
    pub kind: platform::EndpointKind,
    /// Affinity key of the prompt.
    pub key: u64,
    /// Endpoints at which this request failed before; they are ranked last.
    pub failed: &'a collections::HashSet<ids::EndpointId>,
}

/// Endpoint reserved for an attempt; dropping it releases the permit.
pub struct EndpointReservation {
    /// Endpoint of the attempt.
    pub endpoint: platform::EndpointRecord,
    context: sync::Arc<context::GatewayContext>,
    permit: Option<(net::SocketAddr, admission::PermitNumber)>,
}

impl Drop for EndpointReservation {
    fn drop(&mut self) {
        let mut outstanding = self.context.outstanding();
        if let Some(count) = outstanding.get_mut(&self.endpoint.id) {
            *count = count.saturating_sub(1);
        }
        drop(outstanding);
        if let Some((owner, number)) = self.permit {
            let endpoint = self.endpoint.id.clone();
            let release = link::PermitRelease { endpoint, number };
            self.context.link.release(owner, release);
        }
    }
}

/// Selects an endpoint and requests a permit from its owner.
///
/// Takes the first endpoint at which no request waits; if there is none among the first
/// `MAX_PERMIT_REQUESTS`, the one with the fewest waiting requests.
///
/// # Errors
/// Returns `Overloaded` if no endpoint serves the query, or all owners denied a permit.
pub async fn choose(
    context: &sync::Arc<context::GatewayContext>,
    query: &RouteQuery<'_>,
) -> error::ApiResult<EndpointReservation> {
    let snapshot = context.fleet.snapshot();
    let ranked = ranked_endpoints(context, &snapshot.endpoints, query);
    if ranked.is_empty() {
        let message = format!("no endpoint serves '{}' now", query.service);
        return Err(error::ApiError::not_run(
            error::ErrorCode::Overloaded,
            message,
        ));
    }
    // Replacing the best reservation drops the previous one, which releases its permit.
    let mut best: Option<(u32, EndpointReservation)> = None;
    for endpoint in ranked.into_iter().take(MAX_PERMIT_REQUESTS) {
        let owner = snapshot.owner_of(&endpoint).map(|(_, address)| address);
        let reservation = reserve(context, endpoint);
        let Some((waiting, reservation)) = request_permit(context, reservation, owner).await else {
            continue;
        };
        if waiting == 0 {
            return Ok(reservation);
        }
        if best.as_ref().is_none_or(|(least, _)| waiting < *least) {
            best = Some((waiting, reservation));
        }
    }
    let message = "all endpoints hold as many requests as they may";
    let full = || error::ApiError::not_run(error::ErrorCode::Overloaded, message);
    best.map(|(_, reservation)| reservation).ok_or_else(full)
}

fn reserve(
    context: &sync::Arc<context::GatewayContext>,
    endpoint: platform::EndpointRecord,
) -> EndpointReservation {
    *context
        .outstanding()
        .entry(endpoint.id.clone())
        .or_default() += 1;
    EndpointReservation {
        endpoint,
        context: context.clone(),
        permit: None,
    }
}

/// Requests a permit from the endpoint's owner.
///
/// Returns the number of requests that wait there for a slot, or `None` if the owner denied.
/// If the owner cannot be reached, the attempt goes ahead without a permit, on the gateway's own
/// load estimate.
async fn request_permit(
    context: &context::GatewayContext,
    mut reservation: EndpointReservation,
    owner: Option<net::SocketAddr>,
) -> Option<(u32, EndpointReservation)> {
    let Some(owner) = owner.filter(|_| context.settings.online.permits) else {
        count_permit(context, "none");
        return Some((0, reservation));
    };
    let number = rand::random();
    let endpoint = reservation.endpoint.id.clone();
    // Set before the request is sent, so that a permit whose response is lost is released too.
    reservation.permit = Some((owner, number));
    let request = link::PermitRequest { endpoint, number };
    match context.link.permit(owner, request).await {
        Ok(link::PermitResponse::Granted { waiting, .. }) => {
            count_permit(context, "granted");
            Some((waiting, reservation))
        }
        Ok(link::PermitResponse::Full) => {
            count_permit(context, "full");
            None
        }
        Ok(link::PermitResponse::Leaving) => {
            count_permit(context, "leaving");
            None
        }
        Ok(link::PermitResponse::NotOwner) => {
            count_permit(context, "not_owner");
            Some((0, reservation))
        }
        Err(_) => {
            count_permit(context, "unreachable");
            if protection::is_disabled("go_ahead") {
                return None;
            }
            Some((0, reservation))
        }
    }
}

fn count_permit(context: &context::GatewayContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// Returns the usable live endpoints of the service, best first, with those that failed last.
fn ranked_endpoints(
    context: &context::GatewayContext,
    endpoints: &[platform::EndpointRecord],
    query: &RouteQuery<'_>,
) -> Vec<platform::EndpointRecord> {
    let serves = |e: &&platform::EndpointRecord| {
        e.service == *query.service
            && e.kind == query.kind
            && (e.state == platform::EndpointState::Live || protection::is_disabled("leaving"))
    };
    let live: Vec<&platform::EndpointRecord> = endpoints.iter().filter(serves).collect();
    let names: Vec<&ids::EndpointId> = live.iter().map(|e| &e.id).collect();
    let usable = context.health().usable(&names, context.clock.now());
    let usable: Vec<_> = live
        .into_iter()
        .filter(|e| usable.contains(&&e.id))
        .collect();
    let own_domain = &context.settings.instance.domain;
    let outstanding = context.outstanding();
    let candidates: Vec<routing::RouteCandidate<'_>> = usable
        .iter()
        .map(|e| routing::RouteCandidate {
            id: &e.id,
            is_same_domain: e.domain == *own_domain,
            load: outstanding.get(&e.id).copied().unwrap_or(0),
        })
        .collect();
    let policy = match query.kind {
        platform::EndpointKind::Engine => context.settings.online.routing,
        // Plain services have no prompt cache, so affinity brings nothing.
        platform::EndpointKind::Plain => routing::RoutePolicy::LeastOutstanding,
    };
    let order = routing::rank(policy, query.key, &candidates, &mut rand::rng());
    drop(outstanding);
    let mut ranked: Vec<_> = order.into_iter().map(|i| usable[i].clone()).collect();
    ranked.sort_by_key(|e| query.failed.contains(&e.id));
    ranked
}
