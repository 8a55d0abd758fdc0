//! Client side of the links: sends requests and messages to peers from one thread.

use std::{collections, io, net, thread, time};

use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::length_delimited;

use super::{
    secret, BundleOffer, LinkSecret, PeerLinkClient, PermitRelease, PermitRequest, PermitResponse,
    CONNECT_TIMEOUT,
};
use crate::{bundle, log_error::LogError as _};

/// Capacity of the queue of calls to the client thread; calls beyond it fail at once.
const CALL_QUEUE_CAPACITY: usize = 4096;
/// Shortest time between the failure of a connection and the next attempt to connect to that peer.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(500);

/// Reason why a peer sent no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// There is no open connection to the peer, or the call queue is full.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer did not respond before the timeout.
    #[error("the peer did not respond in time")]
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
    NewerBundle {
        peer: net::SocketAddr,
        known: bundle::BundleGeneration,
        reply: oneshot::Sender<Option<BundleOffer>>,
    },
}

/// Handle to the client thread, which ends when the last handle is dropped.
#[derive(Clone)]
pub struct LinkClient {
    call_sender: mpsc::Sender<LinkCall>,
}

impl LinkClient {
    /// Starts the client thread.
    ///
    /// Permit requests that take longer than `permit_timeout` fail.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(shared_secret: LinkSecret, permit_timeout: time::Duration) -> io::Result<Self> {
        let (call_sender, calls) = mpsc::channel(CALL_QUEUE_CAPACITY);
        thread::Builder::new()
            .name("link-client".into())
            .spawn(move || {
                actix_rt::System::new().block_on(run_client(shared_secret, permit_timeout, calls));
            })?;
        Ok(Self { call_sender })
    }

    /// Requests a permit from the owner of an endpoint.
    ///
    /// # Errors
    /// The owner cannot be reached or does not respond in time.
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
        self.call_sender
            .try_send(call)
            .map_err(|_| LinkError::Unreachable)?;
        response.await.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Releases a permit. If the message is lost, the owner frees the slot when the permit expires.
    pub fn release(&self, peer: net::SocketAddr, release: PermitRelease) {
        let sent = self
            .call_sender
            .try_send(LinkCall::Release { peer, release });
        sent.ok_or_log("release_dropped");
    }

    /// Sends an accepted bundle to a peer, without a response.
    pub fn offer_bundle(&self, peer: net::SocketAddr, offer: BundleOffer) {
        let sent = self.call_sender.try_send(LinkCall::Offer { peer, offer });
        sent.ok_or_log("bundle_offer_dropped");
    }

    /// Queries a peer for its active bundle, if its generation is above `known`.
    ///
    /// Returns `None` also when the peer has no newer bundle or cannot be reached.
    pub async fn newer_bundle(
        &self,
        peer: net::SocketAddr,
        known: bundle::BundleGeneration,
    ) -> Option<BundleOffer> {
        let (reply, response) = oneshot::channel();
        let call = LinkCall::NewerBundle { peer, known, reply };
        self.call_sender
            .try_send(call)
            .ok_or_log("bundle_unasked")?;
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
    shared_secret: LinkSecret,
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
                let client = client_or_connect(&peers, peer, &shared_secret);
                actix_rt::spawn(async move {
                    let response = request_permit(client, request, permit_timeout).await;
                    // Sending fails if the requester no longer waits.
                    drop(reply.send(response));
                });
            }
            LinkCall::Release { peer, release } => {
                if let Some(client) = client_or_connect(&peers, peer, &shared_secret) {
                    actix_rt::spawn(async move {
                        let sent = client.release(tarpc::context::current(), release).await;
                        sent.ok_or_log("release_lost");
                    });
                }
            }
            LinkCall::Offer { peer, offer } => {
                let client = wait_for_client(&peers, peer, &shared_secret);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let sent = client.offer_bundle(tarpc::context::current(), offer).await;
                        sent.ok_or_log("bundle_offer_lost");
                    }
                });
            }
            LinkCall::NewerBundle { peer, known, reply } => {
                let client = wait_for_client(&peers, peer, &shared_secret);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let response = client.newer_bundle(tarpc::context::current(), known).await;
                        let response = response.ok_or_log("bundle_unanswered").flatten();
                        // Sending fails if the requester no longer waits.
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

/// Returns the client of a connected peer; otherwise starts to connect and returns `None`.
fn client_or_connect(
    peers: &PeerTable,
    peer: net::SocketAddr,
    shared_secret: &LinkSecret,
) -> Option<PeerLinkClient> {
    let mut table = peers.borrow_mut();
    match table.get(&peer) {
        Some(PeerState::Connected(client)) => return Some(client.clone()),
        Some(PeerState::Connecting) => return None,
        Some(PeerState::Failed(at)) if at.elapsed() < RECONNECT_DELAY => return None,
        _ => {}
    }
    table.insert(peer, PeerState::Connecting);
    drop(table);
    actix_rt::spawn(connect(peers.clone(), peer, shared_secret.clone()));
    None
}

/// Returns the client of a peer, and waits up to `CONNECT_TIMEOUT` for its connection.
fn wait_for_client(
    peers: &PeerTable,
    peer: net::SocketAddr,
    shared_secret: &LinkSecret,
) -> impl std::future::Future<Output = Option<PeerLinkClient>> {
    let peers = peers.clone();
    let shared_secret = shared_secret.clone();
    async move {
        for _ in 0..CONNECT_POLLS {
            if let Some(client) = client_or_connect(&peers, peer, &shared_secret) {
                return Some(client);
            }
            actix_rt::time::sleep(CONNECT_TIMEOUT / CONNECT_POLLS).await;
        }
        None
    }
}

/// Number of checks for an open connection within `CONNECT_TIMEOUT`.
const CONNECT_POLLS: u32 = 50;

/// Connects to a peer, authenticates, and serves the connection until it ends.
async fn connect(peers: PeerTable, peer: net::SocketAddr, shared_secret: LinkSecret) {
    let handshake = async {
        let mut socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        secret::prove(&mut socket, &shared_secret).await?;
        io::Result::Ok(socket)
    };
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, handshake).await {
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
    let created = PeerLinkClient::new(tarpc::client::Config::default(), transport);
    peers
        .borrow_mut()
        .insert(peer, PeerState::Connected(created.client));
    // This future ends when the connection does.
    created.dispatch.await.ok_or_log("link_lost");
    let failed = PeerState::Failed(time::Instant::now());
    peers.borrow_mut().insert(peer, failed);
}
