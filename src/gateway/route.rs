//! Choice of an endpoint for one attempt, and the permit of its owner.

use std::{collections, net, sync};

use super::context;
use crate::{
    decisions::{admission, routing},
    error, ids, link, platform, protection,
};

/// Owners asked for one attempt before the request is refused.
const MAX_ASKED: usize = 3;

/// What an attempt is for.
pub struct RouteQuery<'a> {
    /// The model or plain service.
    pub service: &'a ids::ServiceName,
    /// Engine or plain service.
    pub kind: platform::EndpointKind,
    /// Affinity of the prompt.
    pub key: u64,
    /// Endpoints that failed this request before; used only if there are no others.
    pub failed: &'a collections::HashSet<ids::EndpointId>,
}

/// An endpoint chosen for one attempt; its permit ends when this is dropped.
pub struct RouteHold {
    /// The endpoint.
    pub endpoint: platform::EndpointRecord,
    context: sync::Arc<context::GatewayContext>,
    permit: Option<(net::SocketAddr, admission::PermitNumber)>,
}

impl Drop for RouteHold {
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

/// Chooses an endpoint and asks its owner for a permit.
///
/// # Errors
/// No endpoint serves this, or all that were asked are full.
pub async fn choose(
    context: &sync::Arc<context::GatewayContext>,
    query: &RouteQuery<'_>,
) -> error::ApiResult<RouteHold> {
    let snapshot = context.fleet.snapshot();
    let ranked = ranked_endpoints(context, &snapshot.endpoints, query);
    if ranked.is_empty() {
        let message = format!("no endpoint serves '{}' now", query.service);
        return Err(error::ApiError::not_run(
            error::ErrorCode::Overloaded,
            message,
        ));
    }
    // The least crowded of those asked; the permits of the others end here.
    let mut best: Option<(u32, RouteHold)> = None;
    for endpoint in ranked.into_iter().take(MAX_ASKED) {
        let owner = snapshot.owner_of(&endpoint).map(|(_, address)| address);
        let hold = hold(context, endpoint);
        let Some((waiting, hold)) = send_request(context, hold, owner).await else {
            continue;
        };
        if waiting == 0 {
            return Ok(hold);
        }
        if best.as_ref().is_none_or(|(least, _)| waiting < *least) {
            best = Some((waiting, hold));
        }
    }
    let message = "all endpoints hold as many requests as they may";
    let full = || error::ApiError::not_run(error::ErrorCode::Overloaded, message);
    best.map(|(_, hold)| hold).ok_or_else(full)
}

fn hold(
    context: &sync::Arc<context::GatewayContext>,
    endpoint: platform::EndpointRecord,
) -> RouteHold {
    *context
        .outstanding()
        .entry(endpoint.id.clone())
        .or_default() += 1;
    RouteHold {
        endpoint,
        context: context.clone(),
        permit: None,
    }
}

/// Asks the owner; without one the gateway goes ahead on its own estimate.
///
/// Gives how many requests wait there for a place, or nothing if it takes no more.
async fn send_request(
    context: &context::GatewayContext,
    mut hold: RouteHold,
    owner: Option<net::SocketAddr>,
) -> Option<(u32, RouteHold)> {
    let Some(owner) = owner.filter(|_| context.settings.online.permits) else {
        count(context, "none");
        return Some((0, hold));
    };
    let number = rand::random();
    let endpoint = hold.endpoint.id.clone();
    // Held from here on: a permit whose answer is lost is released as well.
    hold.permit = Some((owner, number));
    let request = link::PermitRequest { endpoint, number };
    match context.link.permit(owner, request).await {
        Ok(link::PermitResponse::Granted { waiting, .. }) => {
            count(context, "granted");
            Some((waiting, hold))
        }
        Ok(link::PermitResponse::Full) => {
            count(context, "full");
            None
        }
        Ok(link::PermitResponse::Leaving) => {
            count(context, "leaving");
            None
        }
        Ok(link::PermitResponse::NotOwner) => {
            count(context, "not_owner");
            Some((0, hold))
        }
        Err(_) => {
            count(context, "unreachable");
            if protection::is_disabled("go_ahead") {
                return None;
            }
            Some((0, hold))
        }
    }
}

fn count(context: &context::GatewayContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// Live endpoints of the service, best first; the ones that failed before go last.
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
        // Plain services keep no prompts: only their load counts.
        platform::EndpointKind::Plain => routing::RoutePolicy::LeastOutstanding,
    };
    let order = routing::rank(policy, query.key, &candidates, &mut rand::rng());
    drop(outstanding);
    let mut ranked: Vec<_> = order.into_iter().map(|i| usable[i].clone()).collect();
    ranked.sort_by_key(|e| query.failed.contains(&e.id));
    ranked
}
