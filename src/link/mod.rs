//! Links between the system's own processes: permits, releases, bundles.
//!
//! A peer proves that it knows the shared secret before its first message.

mod client;
mod secret;
mod server;

use std::time;

pub use client::{LinkClient, LinkError};
pub use secret::LinkSecret;
pub use server::{serve, LinkGuard};

use crate::{bundle, decisions::admission, ids};

/// Longest wait for a connection or a proof.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A gateway's request to send an online request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PermitRequest {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of the permit, made by the gateway at random.
    pub number: admission::PermitNumber,
}

/// The owner's word.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PermitResponse {
    /// Go ahead; so many online requests and batch streams are there.
    Granted {
        /// Online requests at the endpoint.
        online: u32,
        /// Batch streams at the endpoint.
        batch: u32,
        /// Online requests that wait there for a place, this one included.
        waiting: u32,
    },
    /// The endpoint holds as many online requests as it may.
    Full,
    /// The endpoint is leaving.
    Leaving,
    /// This instance does not own the endpoint.
    NotOwner,
}

/// Permits that ended.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PermitRelease {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of the permit.
    pub number: admission::PermitNumber,
}

/// An accepted bundle, told by a peer.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct BundleOffer {
    /// Its generation.
    pub generation: bundle::BundleGeneration,
    /// The document as JSON.
    pub document: String,
}

/// What one process asks of another.
#[tarpc::service]
pub trait PeerLink {
    /// Asks the owner of an endpoint for a permit.
    async fn permit(request: PermitRequest) -> PermitResponse;
    /// Ends a permit.
    async fn release(release: PermitRelease);
    /// Tells an accepted bundle.
    async fn offer_bundle(offer: BundleOffer);
    /// Asks for the accepted bundle, if its generation is above `known`.
    async fn newer_bundle(known: bundle::BundleGeneration) -> Option<BundleOffer>;
}

/// What answers the peers of a process.
pub trait LinkHandler: Send + Sync {
    /// See [`PeerLink::permit`].
    fn permit(&self, request: PermitRequest) -> PermitResponse;
    /// See [`PeerLink::release`].
    fn release(&self, release: PermitRelease);
    /// See [`PeerLink::offer_bundle`].
    fn offer_bundle(&self, offer: BundleOffer);
    /// See [`PeerLink::newer_bundle`].
    fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<BundleOffer>;
}
