//! What every daemon is made of: clock, metrics, object service, links, view of the fleet.

use std::{io, net, sync, time};

use crate::{clock, fleet, link, metrics, settings, store, store_client};

/// The parts of a daemon before it has a view of the fleet.
pub struct DaemonParts {
    /// Its clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Its metrics.
    pub metrics: sync::Arc<metrics::MetricSet>,
    /// The platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Links to its peers.
    pub link_client: link::LinkClient,
    secret: link::LinkSecret,
}

impl DaemonParts {
    /// Starts the threads of the object service's client and of the link client.
    ///
    /// # Errors
    /// A thread cannot be started.
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

    /// Begins to answer peers.
    ///
    /// # Errors
    /// The address cannot be bound, or the thread cannot be started.
    pub fn serve_peers(
        &self,
        listen: net::SocketAddr,
        handler: sync::Arc<dyn link::LinkHandler>,
    ) -> io::Result<link::LinkGuard> {
        link::serve(listen, self.secret.clone(), handler, self.metrics.clone())
    }

    /// Begins to watch the fleet, and to show this daemon in it.
    ///
    /// # Errors
    /// The thread cannot be started.
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
