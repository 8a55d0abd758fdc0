//! The gateway: what callers and operators talk to.

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

use crate::{clock, fleet, http_server, link, metrics, protection, settings, store, store_client};

/// A running gateway.
pub struct GatewayDaemon {
    /// Where callers reach it.
    pub address: std::net::SocketAddr,
    /// Where peers reach it.
    pub link_address: std::net::SocketAddr,
    /// What its parts share.
    pub context: sync::Arc<context::GatewayContext>,
    server: http_server::ServerGuard,
    _link: link::LinkGuard,
}

/// Answers peers on behalf of a gateway.
struct GatewayLink {
    fleet: sync::OnceLock<fleet::FleetView>,
}

impl link::LinkHandler for GatewayLink {
    fn permit(&self, _: link::PermitRequest) -> link::PermitAnswer {
        link::PermitAnswer::NotOwner
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

/// Starts a gateway.
///
/// # Errors
/// An address cannot be bound, a thread cannot be started, or a certificate cannot be read.
pub fn start(
    settings: settings::gateway::GatewaySettings,
    secret: link::LinkSecret,
) -> io::Result<GatewayDaemon> {
    let clock: sync::Arc<dyn clock::MonotonicClock> = sync::Arc::new(clock::SystemClock::default());
    let metrics = sync::Arc::new(metrics::MetricSet::default());
    let store_options = store_client::StoreOptions {
        url: settings.store.url.clone(),
        rate: settings.store.calls_per_second,
    };
    let client = store_client::StoreClient::start(store_options, clock.clone(), metrics.clone())?;
    let store: sync::Arc<dyn store::ObjectStore> = sync::Arc::new(client);
    let permit_timeout = time::Duration::from_millis(settings.link.permit_timeout_ms);
    let link_client = link::LinkClient::start(secret.clone(), permit_timeout)?;
    let handler = sync::Arc::new(GatewayLink {
        fleet: sync::OnceLock::new(),
    });
    let link = link::serve(
        settings.link.listen,
        secret,
        handler.clone(),
        metrics.clone(),
    )?;
    let fleet_options = fleet::FleetOptions {
        id: settings.instance.id.clone(),
        domain: settings.instance.domain.clone(),
        role: fleet::InstanceRole::Gateway,
        link: link.address,
        pace: settings.pace.clone(),
    };
    let fleet = fleet::start(
        fleet_options,
        store.clone(),
        clock.clone(),
        metrics.clone(),
        link_client.clone(),
    )?;
    let _ = handler.fleet.set(fleet.clone());
    let options = server_options(&settings)?;
    let listen = settings.callers.listen.to_string();
    let context = sync::Arc::new(context::GatewayContext::new(
        settings,
        clock,
        store,
        fleet,
        link_client,
        metrics,
    ));
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
        head_timeout: time::Duration::from_millis(limits.head_timeout_ms),
        stop_timeout: time::Duration::from_millis(settings.callers.stop_timeout_ms),
        tls,
    })
}

/// Time in which a balancer sees that the gateway is no longer ready.
const UNREADY_SPAN: time::Duration = time::Duration::from_millis(500);

impl GatewayDaemon {
    /// Stops as planned: turns unready, then finishes every request in flight.
    ///
    /// # Errors
    /// The server's thread ended with an error.
    pub fn stop(self) -> io::Result<()> {
        self.context.begin_stop();
        self.context.fleet.leave();
        std::thread::sleep(UNREADY_SPAN);
        log::info!("event=gateway_stopping");
        let outcome = self.server.stop(!protection::is_out("graceful_stop"));
        log::info!("event=gateway_stopped");
        outcome
    }
}
