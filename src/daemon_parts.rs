//! Components common to all daemons: clock, metrics, object service, links and fleet state.

use std::{io, net, sync, time};

use crate::{clock, fleet, link, metrics, settings, store, store_client};

/// Daemon components that are created before the fleet state is available.
pub struct DaemonParts {
    /// Monotonic clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Metrics of the process.
    pub metrics: sync::Arc<metrics::MetricSet>,
    /// Client of the platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Client for links to peers.
    pub link_client: link::LinkClient,
    secret: link::LinkSecret,
}

impl DaemonParts {
    /// Starts the threads of the object service client and the link client.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be started.
    pub fn start(
        store: &settings::common::StoreSettings,
        link: &settings::common::LinkSettings,
        secret: link::LinkSecret,
    ) -> io::Result<Self> {
        let clock: sync::Arc<dyn clock::MonotonicClock> =
            sync::Arc::new(clock::SystemClock::default());
        let metrics = sync::Arc::new(metrics::MetricSet::default());
        let options = store_client::StoreOptions {
            url: store.url.clone(),
            rate: store.calls_per_second,
        };
        let client = store_client::StoreClient::start(options, clock.clone(), metrics.clone())?;
        let permit_timeout = time::Duration::from_millis(link.permit_timeout_ms);
        Ok(Self {
            clock,
            metrics,
            store: sync::Arc::new(client),
            link_client: link::LinkClient::start(secret.clone(), permit_timeout)?,
            secret,
        })
    }

    /// Starts serving requests from peers.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn serve_peers(
        &self,
        listen: net::SocketAddr,
        handler: sync::Arc<dyn link::LinkHandler>,
    ) -> io::Result<link::LinkGuard> {
        link::serve(listen, self.secret.clone(), handler, self.metrics.clone())
    }

    /// Starts watching the fleet and registers this daemon as a member.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn watch_fleet(
        &self,
        instance: &settings::common::InstanceSettings,
        pace: &settings::common::PaceSettings,
        role: fleet::InstanceRole,
        link: net::SocketAddr,
    ) -> io::Result<fleet::FleetHandle> {
        let options = fleet::FleetOptions {
            id: instance.id.clone(),
            domain: instance.domain.clone(),
            role,
            link,
            pace: pace.clone(),
        };
        fleet::start(
            options,
            self.store.clone(),
            self.clock.clone(),
            self.metrics.clone(),
            self.link_client.clone(),
        )
    }
}
