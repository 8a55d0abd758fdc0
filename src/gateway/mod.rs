//! The gateway: serves the HTTP API of callers and operators.

pub mod admit;
pub mod batches;
pub mod caller_request;
pub mod context;
pub mod files;
pub mod generation;
pub mod once;
pub mod operators;
pub mod outputs;
pub mod plain_calls;
pub mod route;
pub mod router;
pub mod stream_relay;
pub mod tls;
pub mod whole_call;

use std::{io, rc, sync, time};

use crate::{
    daemon_parts, decisions::caller_budget, fleet, http_server, link, metrics, protection, settings,
};

/// Handle of a running gateway.
pub struct GatewayDaemon {
    /// Address of the callers' listener.
    pub address: std::net::SocketAddr,
    /// Address of the peers' listener.
    pub link_address: std::net::SocketAddr,
    /// State that the request handlers share.
    pub context: sync::Arc<context::GatewayContext>,
    server: http_server::ServerGuard,
    _link: link::LinkGuard,
}

/// Handles link requests of peers. A gateway owns no endpoints, so it gives no permits.
struct GatewayLink {
    fleet: sync::OnceLock<fleet::FleetHandle>,
}

impl link::LinkHandler for GatewayLink {
    fn permit(&self, _: link::PermitRequest) -> link::PermitResponse {
        link::PermitResponse::NotOwner
    }

    fn release(&self, _: link::PermitRelease) {}

    fn offer_bundle(&self, offer: link::BundleOffer) {
        if let Some(fleet) = self.fleet.get() {
            fleet.offer_bundle(offer);
        }
    }

    fn newer_bundle(&self, known: crate::bundle::BundleGeneration) -> Option<link::BundleOffer> {
        self.fleet.get()?.newer_bundle(known)
    }
}

/// Starts the listeners for peers and callers and joins the fleet.
///
/// # Errors
/// Returns an error if an address cannot be bound, a thread cannot be started, or a
/// certificate cannot be read.
pub fn start(
    settings: settings::gateway::GatewaySettings,
    secret: link::LinkSecret,
) -> io::Result<GatewayDaemon> {
    let parts = daemon_parts::DaemonParts::start(&settings.store, &settings.link, secret)?;
    let handler = sync::Arc::new(GatewayLink {
        fleet: sync::OnceLock::new(),
    });
    let link = parts.serve_peers(settings.link.listen, handler.clone())?;
    let role = fleet::InstanceRole::Gateway;
    let fleet = parts.watch_fleet(&settings.instance, &settings.pace, role, link.address)?;
    let _ = handler.fleet.set(fleet.clone());
    let options = server_options(&settings, &parts.metrics)?;
    let listen = settings.callers.listen.to_string();
    let context = sync::Arc::new(context::GatewayContext::new(settings, parts, fleet));
    let shared = context.clone();
    let factory: http_server::HandlerFactory =
        sync::Arc::new(move || rc::Rc::new(router::CallerRouter::new(shared.clone())));
    let server = http_server::start(&listen, options, factory)?;
    log::info!("event=gateway_started listen={}", server.address);
    Ok(GatewayDaemon {
        address: server.address,
        link_address: link.address,
        context,
        server,
        _link: link,
    })
}

fn server_options(
    settings: &settings::gateway::GatewaySettings,
    metrics: &sync::Arc<metrics::MetricSet>,
) -> io::Result<http_server::ServerOptions> {
    let limits = &settings.callers.limits;
    let tls = match &settings.callers.tls {
        Some(files) => Some(tls::server_config(files)?),
        None => None,
    };
    Ok(http_server::ServerOptions {
        name: "callers",
        workers: settings.callers.workers,
        max_connections: limits.connections,
        memory: Some(caller_budget::MemoryLimits {
            admitted: limits.memory_bytes / 2,
            total: limits.memory_bytes,
        }),
        // A larger head gets an error response, up to what the parser takes.
        max_head_bytes: 2 * limits.head_bytes,
        stall_timeout: time::Duration::from_millis(limits.stall_timeout_ms),
        metrics: Some(metrics.clone()),
        unserved: Some(metrics.unserved.clone()),
        head_timeout: time::Duration::from_millis(limits.head_timeout_ms),
        stop_timeout: time::Duration::from_millis(settings.callers.stop_timeout_ms),
        tls,
    })
}

/// Delay before the listener closes, for a load balancer to notice the failing readiness probe.
const UNREADY_DELAY: time::Duration = time::Duration::from_millis(500);

impl GatewayDaemon {
    /// Stops gracefully: fails the readiness probe, then finishes the requests in flight.
    ///
    /// # Errors
    /// Returns an error if the server's thread ended with one.
    pub fn stop(self) -> io::Result<()> {
        self.context.begin_stop();
        self.context.fleet.announce_draining();
        std::thread::sleep(UNREADY_DELAY);
        log::info!("event=gateway_stopping");
        let outcome = self.server.stop(!protection::is_disabled("graceful_stop"));
        log::info!("event=gateway_stopped");
        outcome
    }
}
