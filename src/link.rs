//! Links between the system's own processes: permits, releases, bundles.
//!
//! A peer proves that it knows the shared secret before its first message.

use std::{collections, io, net, sync, thread, time};

use futures::StreamExt as _;
use hmac::Mac as _;
use tarpc::server::Channel as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::{mpsc, oneshot},
};
use tokio_util::codec::length_delimited;

use crate::{bundle, decisions::admission, ids, metrics, protection};

/// Calls that may wait in the ring to the link thread.
const RING_CALLS: usize = 4096;
/// Longest wait for a connection or a proof.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failed connection.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

/// The secret that all processes share; never logged.
#[derive(Clone)]
pub struct LinkSecret(sync::Arc<Vec<u8>>);

impl LinkSecret {
    /// A secret of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(sync::Arc::new(bytes))
    }

    /// Reads the secret from a file; white space around it does not count.
    ///
    /// # Errors
    /// The file cannot be read or is empty.
    pub fn read(file: &std::path::Path) -> io::Result<Self> {
        let text = std::fs::read(file)?;
        let text = text.trim_ascii();
        if text.is_empty() {
            return Err(io::Error::other(format!("{} is empty", file.display())));
        }
        Ok(Self::new(text.to_vec()))
    }

    fn mac(&self, nonce: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0);
        // HMAC takes keys of any length.
        let mut mac = mac.expect("any length is valid");
        mac.update(nonce);
        mac
    }
}

/// A gateway's wish to send an online request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PermitRequest {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of the permit, made by the gateway at random.
    pub number: admission::PermitNumber,
}

/// The owner's word.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PermitAnswer {
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
    async fn permit(request: PermitRequest) -> PermitAnswer;
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
    fn permit(&self, request: PermitRequest) -> PermitAnswer;
    /// See [`PeerLink::release`].
    fn release(&self, release: PermitRelease);
    /// See [`PeerLink::offer_bundle`].
    fn offer_bundle(&self, offer: BundleOffer);
    /// See [`PeerLink::newer_bundle`].
    fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<BundleOffer>;
}

#[derive(Clone)]
struct LinkServer(sync::Arc<dyn LinkHandler>);

impl PeerLink for LinkServer {
    async fn permit(self, _: tarpc::context::Context, request: PermitRequest) -> PermitAnswer {
        self.0.permit(request)
    }

    async fn release(self, _: tarpc::context::Context, release: PermitRelease) {
        self.0.release(release);
    }

    async fn offer_bundle(self, _: tarpc::context::Context, offer: BundleOffer) {
        self.0.offer_bundle(offer);
    }

    async fn newer_bundle(
        self,
        _: tarpc::context::Context,
        known: bundle::BundleGeneration,
    ) -> Option<BundleOffer> {
        self.0.newer_bundle(known)
    }
}

/// A running link server; dropping it ends its thread.
pub struct LinkGuard {
    /// The address that it listens on.
    pub address: net::SocketAddr,
    _stop: mpsc::Sender<()>,
}

/// Serves peers on a thread of its own.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub fn serve(
    listen: net::SocketAddr,
    secret: LinkSecret,
    handler: sync::Arc<dyn LinkHandler>,
    metrics: sync::Arc<metrics::MetricSet>,
) -> io::Result<LinkGuard> {
    let listener = net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (stop, mut stopped) = mpsc::channel::<()>(1);
    thread::Builder::new().name("link-server".into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            loop {
                tokio::select! {
                    _ = stopped.recv() => return,
                    accepted = listener.accept() => {
                        let Ok((socket, _)) = accepted else { continue };
                        let server = LinkServer(handler.clone());
                        actix_rt::spawn(serve_peer(socket, secret.clone(), server, metrics.clone()));
                    }
                }
            }
        });
    })?;
    Ok(LinkGuard {
        address,
        _stop: stop,
    })
}

async fn serve_peer(
    mut socket: tokio::net::TcpStream,
    secret: LinkSecret,
    server: LinkServer,
    metrics: sync::Arc<metrics::MetricSet>,
) {
    let _ = socket.set_nodelay(true);
    let proof = tokio::time::timeout(CONNECT_TIMEOUT, check_peer(&mut socket, &secret)).await;
    if !matches!(proof, Ok(Ok(true))) {
        metrics.strangers.inc();
        log::warn!("event=stranger_dropped");
        return;
    }
    let frames = length_delimited::LengthDelimitedCodec::builder().new_framed(socket);
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames, codec);
    tarpc::server::BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|answer| async {
            actix_rt::spawn(answer);
        })
        .await;
}

/// Sends a nonce and checks the proof that comes back.
async fn check_peer(socket: &mut tokio::net::TcpStream, secret: &LinkSecret) -> io::Result<bool> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    socket.write_all(&nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    socket.read_exact(&mut proof).await?;
    let right = secret.mac(&nonce).verify_slice(&proof).is_ok();
    Ok(right || protection::is_out("link_secret"))
}

async fn prove(socket: &mut tokio::net::TcpStream, secret: &LinkSecret) -> io::Result<()> {
    let mut nonce = [0; NONCE_BYTES];
    socket.read_exact(&mut nonce).await?;
    let proof = secret.mac(&nonce).finalize().into_bytes();
    socket.write_all(&proof).await
}

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
        reply: oneshot::Sender<Result<PermitAnswer, LinkError>>,
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
    pub fn start(secret: LinkSecret, permit_timeout: time::Duration) -> io::Result<Self> {
        let (ring, calls) = mpsc::channel(RING_CALLS);
        thread::Builder::new()
            .name("link-client".into())
            .spawn(move || {
                actix_rt::System::new().block_on(run_client(secret, permit_timeout, calls));
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
    ) -> Result<PermitAnswer, LinkError> {
        let (reply, answer) = oneshot::channel();
        let call = LinkCall::Permit {
            peer,
            request,
            reply,
        };
        self.ring
            .try_send(call)
            .map_err(|_| LinkError::Unreachable)?;
        answer.await.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Ends a permit; a lost message is made up for by the permit's expiry.
    pub fn release(&self, peer: net::SocketAddr, release: PermitRelease) {
        let _ = self.ring.try_send(LinkCall::Release { peer, release });
    }

    /// Tells a peer an accepted bundle.
    pub fn offer_bundle(&self, peer: net::SocketAddr, offer: BundleOffer) {
        let _ = self.ring.try_send(LinkCall::Offer { peer, offer });
    }

    /// Asks a peer for a bundle above `known`.
    pub async fn newer_bundle(
        &self,
        peer: net::SocketAddr,
        known: bundle::BundleGeneration,
    ) -> Option<BundleOffer> {
        let (reply, answer) = oneshot::channel();
        let call = LinkCall::Ask { peer, known, reply };
        self.ring.try_send(call).ok()?;
        answer.await.ok().flatten()
    }
}

enum PeerState {
    Connected(PeerLinkClient),
    Connecting,
    Failed(time::Instant),
}

type PeerTable = std::rc::Rc<std::cell::RefCell<collections::HashMap<net::SocketAddr, PeerState>>>;

async fn run_client(
    secret: LinkSecret,
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
                let client = connected(&peers, peer, &secret);
                actix_rt::spawn(async move {
                    let _ = reply.send(ask_permit(client, request, permit_timeout).await);
                });
            }
            LinkCall::Release { peer, release } => {
                if let Some(client) = connected(&peers, peer, &secret) {
                    actix_rt::spawn(async move {
                        let _ = client.release(tarpc::context::current(), release).await;
                    });
                }
            }
            LinkCall::Offer { peer, offer } => {
                let client = connect_wait(&peers, peer, &secret);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let _ = client.offer_bundle(tarpc::context::current(), offer).await;
                    }
                });
            }
            LinkCall::Ask { peer, known, reply } => {
                let client = connect_wait(&peers, peer, &secret);
                actix_rt::spawn(async move {
                    if let Some(client) = client.await {
                        let answer = client.newer_bundle(tarpc::context::current(), known).await;
                        let _ = reply.send(answer.ok().flatten());
                    }
                });
            }
        }
    }
}

async fn ask_permit(
    client: Option<PeerLinkClient>,
    request: PermitRequest,
    timeout: time::Duration,
) -> Result<PermitAnswer, LinkError> {
    let client = client.ok_or(LinkError::Unreachable)?;
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    match client.permit(context, request).await {
        Ok(answer) => Ok(answer),
        Err(tarpc::client::RpcError::DeadlineExceeded) => Err(LinkError::TimedOut),
        Err(_) => Err(LinkError::Unreachable),
    }
}

/// The client of a connected peer; otherwise begins to connect.
fn connected(
    peers: &PeerTable,
    peer: net::SocketAddr,
    secret: &LinkSecret,
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
    actix_rt::spawn(connect(peers.clone(), peer, secret.clone()));
    None
}

/// Waits a little for a connection that may just be made.
fn connect_wait(
    peers: &PeerTable,
    peer: net::SocketAddr,
    secret: &LinkSecret,
) -> impl std::future::Future<Output = Option<PeerLinkClient>> {
    let peers = peers.clone();
    let secret = secret.clone();
    async move {
        for _ in 0..CONNECT_POLLS {
            if let Some(client) = connected(&peers, peer, &secret) {
                return Some(client);
            }
            actix_rt::time::sleep(CONNECT_TIMEOUT / CONNECT_POLLS).await;
        }
        None
    }
}

/// Looks at a connection that is being made, until its timeout.
const CONNECT_POLLS: u32 = 50;

async fn connect(peers: PeerTable, peer: net::SocketAddr, secret: LinkSecret) {
    let opening = async {
        let mut socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        prove(&mut socket, &secret).await?;
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
    let _ = new.dispatch.await;
    let failed = PeerState::Failed(time::Instant::now());
    peers.borrow_mut().insert(peer, failed);
}
