//! Dispatcher: owns endpoints, issues permits for online slots and runs batch work.

pub mod batch_planner;
pub mod batch_runner;
pub mod chunk_work;
pub mod claims;
pub mod commits;
pub mod context;
pub mod item_run;
pub mod job_close;
pub mod ledger_table;
pub mod status_page;

use std::{collections, io, net, sync, thread, time};

use tokio::sync::{mpsc, oneshot};

use crate::{daemon_parts, fleet, http_server, link, log_error::LogError as _, settings};

/// Timeout for the release of chunks at a planned stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A running dispatcher.
pub struct DispatcherDaemon {
    /// Address for links from peers.
    pub link_address: net::SocketAddr,
    /// Address of the metrics page, if one is configured.
    pub metrics_address: Option<net::SocketAddr>,
    /// Shared context of its parts.
    pub context: sync::Arc<context::DispatcherContext>,
    stop_requests: mpsc::Sender<batch_runner::StopRequest>,
    _link: link::LinkGuard,
    status_page: Option<http_server::ServerGuard>,
}

/// Starts a dispatcher with its links, its status page and its batch thread.
///
/// # Errors
/// An address cannot be bound, or a thread cannot be started.
pub fn start(
    settings: settings::dispatcher::DispatcherSettings,
    secret: link::LinkSecret,
    policy: ledger_table::PolicyOverride,
) -> io::Result<DispatcherDaemon> {
    let parts = daemon_parts::DaemonParts::start(&settings.store, &settings.link, secret)?;
    let ledgers =
        ledger_table::LedgerTable::new(parts.clock.clone(), parts.metrics.clone(), policy);
    let ledgers = sync::Arc::new(ledgers);
    let link = parts.serve_peers(settings.link.listen, ledgers.clone())?;
    let role = fleet::InstanceRole::Dispatcher;
    let fleet = parts.watch_fleet(&settings.instance, &settings.pace, role, link.address)?;
    ledgers.set_fleet(fleet.clone());
    let status_page = match settings.metrics_listen {
        None => None,
        Some(listen) => Some(status_page::start(
            listen,
            fleet.clone(),
            parts.metrics.clone(),
        )?),
    };
    let context = sync::Arc::new(context::DispatcherContext {
        settings,
        clock: parts.clock,
        store: parts.store,
        fleet,
        metrics: parts.metrics,
        ledgers,
        held: sync::Mutex::new(collections::HashSet::new()),
    });
    let stop_requests = start_batch_thread(context.clone())?;
    log::info!("event=dispatcher_started link={}", link.address);
    Ok(DispatcherDaemon {
        link_address: link.address,
        metrics_address: status_page.as_ref().map(|p| p.address),
        context,
        stop_requests,
        _link: link,
        status_page,
    })
}

fn start_batch_thread(
    context: sync::Arc<context::DispatcherContext>,
) -> io::Result<mpsc::Sender<batch_runner::StopRequest>> {
    let (stop_requests, requests) = mpsc::channel(1);
    thread::Builder::new().name("batch".into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            batch_runner::BatchRunner::new(context).run(requests).await;
        });
    })?;
    Ok(stop_requests)
}

impl DispatcherDaemon {
    /// Stops as planned: announces that this instance is draining, then releases its chunks.
    ///
    /// # Errors
    /// The status page's thread ended with an error.
    pub fn stop(self) -> io::Result<()> {
        log::info!("event=dispatcher_stopping");
        self.context.fleet.announce_draining();
        let (done, released) = oneshot::channel();
        let release = async {
            if self.stop_requests.send(done).await.is_ok() {
                let waited = actix_rt::time::timeout(STOP_TIMEOUT, released).await;
                waited.ok_or_log("work_not_handed_back");
            }
        };
        actix_rt::System::new().block_on(release);
        log::info!("event=dispatcher_stopped");
        match self.status_page {
            Some(page) => page.stop(false),
            None => Ok(()),
        }
    }
}
