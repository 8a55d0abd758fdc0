//! RPC links between gateways and dispatchers: permits, their releases, and bundles.
//!
//! A client proves that it knows the shared secret before its first message.

mod client;
mod secret;
mod server;

use std::time;

pub use client::{LinkClient, LinkError};
pub use secret::LinkSecret;
pub use server::{serve, LinkGuard};

use crate::{bundle, decisions::admission, ids};

/// Timeout for a connection with its authentication; on the server, for the authentication.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Request of a gateway for a permit to send one online request to an endpoint.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PermitRequest {
    /// Endpoint that would take the online request.
    pub endpoint: ids::EndpointId,
    /// Random number of the permit, chosen by the gateway.
    pub number: admission::PermitNumber,
}

/// Response of an endpoint's owner to a permit request.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PermitResponse {
    /// The permit is given; the counts describe the load of the endpoint.
    Granted {
        /// Number of online requests at the endpoint.
        online: u32,
        /// Number of batch streams at the endpoint.
        batch: u32,
        /// Number of online requests that wait for a slot at the endpoint, including this one.
        waiting: u32,
    },
    /// The endpoint holds its maximum number of online requests.
    Full,
    /// The endpoint is draining.
    Leaving,
    /// This instance does not own the endpoint.
    NotOwner,
}

/// Release of a permit that its holder no longer needs.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PermitRelease {
    /// Endpoint of the permit.
    pub endpoint: ids::EndpointId,
    /// Number of the permit.
    pub number: admission::PermitNumber,
}

/// An accepted bundle, as sent between peers.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct BundleOffer {
    /// Generation of the bundle.
    pub generation: bundle::BundleGeneration,
    /// Document of the bundle, as JSON.
    pub document: String,
}

/// RPC interface between processes.
#[tarpc::service]
pub trait PeerLink {
    /// Requests a permit from the owner of an endpoint.
    async fn permit(request: PermitRequest) -> PermitResponse;
    /// Releases a permit.
    async fn release(release: PermitRelease);
    /// Offers an accepted bundle; the receiver ignores it unless it is newer than its own.
    async fn offer_bundle(offer: BundleOffer);
    /// Returns the active bundle of the receiver, if its generation is above `known`.
    async fn newer_bundle(known: bundle::BundleGeneration) -> Option<BundleOffer>;
}

/// Handler of the requests that a process receives from its peers.
pub trait LinkHandler: Send + Sync {
    /// Handles [`PeerLink::permit`].
    fn permit(&self, request: PermitRequest) -> PermitResponse;
    /// Handles [`PeerLink::release`].
    fn release(&self, release: PermitRelease);
    /// Handles [`PeerLink::offer_bundle`].
    fn offer_bundle(&self, offer: BundleOffer);
    /// Handles [`PeerLink::newer_bundle`].
    fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<BundleOffer>;
}
