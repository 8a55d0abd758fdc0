//! The dispatcher: owns endpoints, grants permits, runs batch work.

pub mod batch_planner;
pub mod batch_runner;
pub mod chunk_work;
pub mod claims;
pub mod commits;
pub mod context;
pub mod item_run;
pub mod job_close;
pub mod ledger_board;
pub mod status_page;

use std::{collections, io, net, sync, thread, time};

use tokio::sync::{mpsc, oneshot};

use crate::{daemon_parts, fleet, http_server, link, log_error::LogError as _, settings};

/// Longest wait for chunks to be handed back at a planned stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A running dispatcher.
pub struct DispatcherDaemon {
    /// Where peers reach it.
    pub link_address: net::SocketAddr,
    /// Where its metrics are, if anywhere.
    pub metrics_address: Option<net::SocketAddr>,
    /// What its parts share.
    pub context: sync::Arc<context::DispatcherContext>,
    stops: mpsc::Sender<batch_runner::StopRequest>,
    _link: link::LinkGuard,
    status_page: Option<http_server::ServerGuard>,
}

/// Starts a dispatcher.
///
/// # Errors
/// An address cannot be bound, or a thread cannot be started.
pub fn start(
    settings: settings::dispatcher::DispatcherSettings,
    secret: link::LinkSecret,
    policy: ledger_board::PolicyOverride,
) -> io::Result<DispatcherDaemon> {
    let parts = daemon_parts::DaemonParts::start(&settings.store, &settings.link, secret)?;
    let board = ledger_board::LedgerBoard::new(parts.clock.clone(), parts.metrics.clone(), policy);
    let board = sync::Arc::new(board);
    let link = parts.serve_peers(settings.link.listen, board.clone())?;
    let role = fleet::InstanceRole::Dispatcher;
    let fleet = parts.watch_fleet(&settings.instance, &settings.pace, role, link.address)?;
    board.set_fleet(fleet.clone());
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
        board,
        held: sync::Mutex::new(collections::HashSet::new()),
    });
    let stops = start_batch_thread(context.clone())?;
    log::info!("event=dispatcher_started link={}", link.address);
    Ok(DispatcherDaemon {
        link_address: link.address,
        metrics_address: status_page.as_ref().map(|p| p.address),
        context,
        stops,
        _link: link,
        status_page,
    })
}

fn start_batch_thread(
    context: sync::Arc<context::DispatcherContext>,
) -> io::Result<mpsc::Sender<batch_runner::StopRequest>> {
    let (stops, asked) = mpsc::channel(1);
    thread::Builder::new().name("batch".into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            batch_runner::BatchRunner::new(context).run(asked).await;
        });
    })?;
    Ok(stops)
}

impl DispatcherDaemon {
    /// Stops as planned: hands back chunks, then leaves.
    ///
    /// # Errors
    /// The status page's thread ended with an error.
    pub fn stop(self) -> io::Result<()> {
        log::info!("event=dispatcher_stopping");
        self.context.fleet.announce_draining();
        let (done, handed_back) = oneshot::channel();
        let waiting = async {
            if self.stops.send(done).await.is_ok() {
                let waited = actix_rt::time::timeout(STOP_TIMEOUT, handed_back).await;
                waited.ok_or_log("work_not_handed_back");
            }
        };
        actix_rt::System::new().block_on(waiting);
        log::info!("event=dispatcher_stopped");
        match self.status_page {
            Some(page) => page.stop(false),
            None => Ok(()),
        }
    }
}
