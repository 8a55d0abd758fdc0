//! The side of a link that asks.

use std::{collections, io, net, thread, time};

use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::length_delimited;

use super::{
    secret, BundleOffer, LinkSecret, PeerLinkClient, PermitRelease, PermitRequest, PermitResponse,
    CONNECT_TIMEOUT,
};
use crate::{bundle, log_error::LogError as _};

/// Calls that may wait in the ring to the link thread.
const RING_CALLS: usize = 4096;
/// Pause after a failed connection.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// There is no connection now.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    TimedOut,
}

enum LinkCall {
    Permit {
        peer: net::SocketAddr,
        request: PermitRequest,
        reply: oneshot::Sender<Result<PermitResponse, LinkError>>,
    },
    Release {
        peer: net::SocketAddr,
        release: PermitRelease,
    },
    Offer {
        peer: net::SocketAddr,
        offer: BundleOffer,
    },
    Ask {
        peer: net::SocketAddr,
        known: bundle::BundleGeneration,
        reply: oneshot::Sender<Option<BundleOffer>>,
    },
}

/// A handle to the thread that talks to peers; it ends with the last handle.
#[derive(Clone)]
pub struct LinkClient {
    ring: mpsc::Sender<LinkCall>,
}

impl LinkClient {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(shared: LinkSecret, permit_timeout: time::Duration) -> io::Result<Self> {
        let (ring, calls) = mpsc::channel(RING_CALLS);
        thread::Builder::new()
            .name("link-client".into())
            .spawn(move || {
                actix_rt::System::new().block_on(run_client(shared, permit_timeout, calls));
            })?;
        Ok(Self { ring })
    }

    /// Asks the owner of an endpoint for a permit.
    ///
    /// # Errors
    /// The owner cannot be reached or does not answer in time.
    pub async fn permit(
        &self,
        peer: net::SocketAddr,
        request: PermitRequest,
    ) -> Result<PermitResponse, LinkError> {
        let (reply, response) = oneshot::channel();
        let call = LinkCall::Permit {
            peer,
            request,
            reply,
        };
        self.ring
            .try_send(call)
            .map_err(|_| LinkError::Unreachable)?;
        response.await.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Ends a permit; a lost message is made up for by the permit's expiry.
    pub fn release(&self, peer: net::SocketAddr, release: PermitRelease) {
        let sent = self.ring.try_send(LinkCall::Release { peer, release });
        sent.ok_or_log("release_dropped");
    }

    /// Tells a peer an accepted bundle.
    pub fn offer_bundle(&self, peer: net::SocketAddr, offer: BundleOffer) {
        let sent = self.ring.try_send(LinkCall::Offer { peer, offer });
        sent.ok_or_log("bundle_offer_dropped");
    }

    /// Asks a peer for a bundle above `known`.
    pub async fn newer_bundle(
        &self,
        peer: net::SocketAddr,
        known: bundle::BundleGeneration,
    ) -> Option<BundleOffer> {
        let (reply, response) = oneshot::channel();
        let call = LinkCall::Ask { peer, known, reply };
        self.ring.try_send(call).ok_or_log("bundle_unasked")?;
        response.await.ok_or_log("bundle_unanswered").flatten()
    }
}

enum PeerState {
    Connected(PeerLinkClient),
    Connecting,
    Failed(time::Instant),
}

type PeerTable = std::rc::Rc<std::cell::RefCell<collections::HashMap<net::SocketAddr, PeerState>>>;

async fn run_client(
    shared: LinkSecret,
    permit_timeout: time::Duration,
    mut calls: mpsc::Receiver<LinkCall>,
) {
    let peers = PeerTable::default();
    while let Some(call) = calls.recv().await {
        match call {
            LinkCall::Permit {
                peer,
                request,
                reply,
            } => {
                let client = connected(&peers, peer, &shared);
                actix_rt::spawn(async move {
                    let response = request_permit(client, request, permit_timeout).await;
                    // The asker may have stopped waiting.
                    drop(reply.send(response));
                });
            }
            LinkCall::Release { peer, release } => {
                if let Some(client) = connected(&peers, peer, &shared) {
                    actix_rt::spawn(async move {
                        let sent = client.release(tarpc::context::current(), release).await;
                        sent.ok_or_log("release_lost");
                    });
                }
            }
            LinkCall::Offer { peer, offer } => {
                let client = connect_wait(&peers, peer, &shared);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let sent = client.offer_bundle(tarpc::context::current(), offer).await;
                        sent.ok_or_log("bundle_offer_lost");
                    }
                });
            }
            LinkCall::Ask { peer, known, reply } => {
                let client = connect_wait(&peers, peer, &shared);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let response = client.newer_bundle(tarpc::context::current(), known).await;
                        let response = response.ok_or_log("bundle_unanswered").flatten();
                        // The asker may have stopped waiting.
                        drop(reply.send(response));
                    }
                });
            }
        }
    }
}

async fn request_permit(
    client: Option<PeerLinkClient>,
    request: PermitRequest,
    timeout: time::Duration,
) -> Result<PermitResponse, LinkError> {
    let client = client.ok_or(LinkError::Unreachable)?;
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    match client.permit(context, request).await {
        Ok(response) => Ok(response),
        Err(tarpc::client::RpcError::DeadlineExceeded) => Err(LinkError::TimedOut),
        Err(_) => Err(LinkError::Unreachable),
    }
}

/// The client of a connected peer; otherwise begins to connect.
fn connected(
    peers: &PeerTable,
    peer: net::SocketAddr,
    shared: &LinkSecret,
) -> Option<PeerLinkClient> {
    let mut table = peers.borrow_mut();
    match table.get(&peer) {
        Some(PeerState::Connected(client)) => return Some(client.clone()),
        Some(PeerState::Connecting) => return None,
        Some(PeerState::Failed(at)) if at.elapsed() < RECONNECT_PAUSE => return None,
        _ => {}
    }
    table.insert(peer, PeerState::Connecting);
    drop(table);
    actix_rt::spawn(connect(peers.clone(), peer, shared.clone()));
    None
}

/// Waits a little for a connection that may just be made.
fn connect_wait(
    peers: &PeerTable,
    peer: net::SocketAddr,
    shared: &LinkSecret,
) -> impl std::future::Future<Output = Option<PeerLinkClient>> {
    let peers = peers.clone();
    let shared = shared.clone();
    async move {
        for _ in 0..CONNECT_POLLS {
            if let Some(client) = connected(&peers, peer, &shared) {
                return Some(client);
            }
            actix_rt::time::sleep(CONNECT_TIMEOUT / CONNECT_POLLS).await;
        }
        None
    }
}

/// Looks at a connection that is being made, until its timeout.
const CONNECT_POLLS: u32 = 50;

async fn connect(peers: PeerTable, peer: net::SocketAddr, shared: LinkSecret) {
    let opening = async {
        let mut socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        secret::prove(&mut socket, &shared).await?;
        io::Result::Ok(socket)
    };
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(socket)) => socket,
        _ => {
            let failed = PeerState::Failed(time::Instant::now());
            peers.borrow_mut().insert(peer, failed);
            return;
        }
    };
    let frames = length_delimited::LengthDelimitedCodec::builder().new_framed(socket);
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames, codec);
    let new = PeerLinkClient::new(tarpc::client::Config::default(), transport);
    peers
        .borrow_mut()
        .insert(peer, PeerState::Connected(new.client));
    // The dispatch ends when the connection does.
    new.dispatch.await.ok_or_log("link_lost");
    let failed = PeerState::Failed(time::Instant::now());
    peers.borrow_mut().insert(peer, failed);
}
