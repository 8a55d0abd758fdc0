//! Server side of the links: authenticates peers and handles their requests.

use std::{io, net, sync, thread};

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::sync::mpsc;
use tokio_util::codec::length_delimited;

use super::{
    secret, BundleOffer, LinkHandler, LinkSecret, PeerLink, PermitRelease, PermitRequest,
    PermitResponse, CONNECT_TIMEOUT,
};
use crate::{bundle, log_error::LogError as _, metrics};

/// Adapter from the RPC service to a [`LinkHandler`].
#[derive(Clone)]
struct LinkServer(sync::Arc<dyn LinkHandler>);

impl PeerLink for LinkServer {
    async fn permit(self, _: tarpc::context::Context, request: PermitRequest) -> PermitResponse {
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

/// Guard of a running link server: dropping it stops the server's thread.
pub struct LinkGuard {
    /// Address on which the server listens.
    pub address: net::SocketAddr,
    _stop: mpsc::Sender<()>,
}

/// Starts a server for peers on its own thread.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub fn serve(
    listen: net::SocketAddr,
    shared_secret: LinkSecret,
    handler: sync::Arc<dyn LinkHandler>,
    metrics: sync::Arc<metrics::MetricSet>,
) -> io::Result<LinkGuard> {
    let listener = net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (stop, mut stop_signal) = mpsc::channel::<()>(1);
    thread::Builder::new().name("link-server".into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            loop {
                tokio::select! {
                    _ = stop_signal.recv() => return,
                    accepted = listener.accept() => {
                        let Ok((socket, _)) = accepted else { continue };
                        let server = LinkServer(handler.clone());
                        actix_rt::spawn(serve_peer(socket, shared_secret.clone(), server, metrics.clone()));
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

/// Authenticates one peer, then handles its requests until the connection ends.
async fn serve_peer(
    mut socket: tokio::net::TcpStream,
    shared_secret: LinkSecret,
    server: LinkServer,
    metrics: sync::Arc<metrics::MetricSet>,
) {
    socket.set_nodelay(true).ok_or_log("nodelay_unset");
    let verified = tokio::time::timeout(
        CONNECT_TIMEOUT,
        secret::verify_peer(&mut socket, &shared_secret),
    )
    .await;
    if !matches!(verified, Ok(Ok(true))) {
        metrics.strangers.inc();
        log::warn!("event=stranger_dropped");
        return;
    }
    let frames = length_delimited::LengthDelimitedCodec::builder().new_framed(socket);
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames, codec);
    tarpc::server::BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|response| async {
            actix_rt::spawn(response);
        })
        .await;
}
