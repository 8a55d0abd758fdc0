//! Start and graceful stop of a process.

use std::{io, rc, time};

use tokio::sync::mpsc;

use super::{
    checkpoint_file, context, crash_guard, fleet_sync, job_checkpoints, job_runner, job_upkeep,
    listener, member_sync, members, metrics_page, origin_file, owners, peer_calls, peer_server,
    probes, start_record, suspension,
};
use crate::{callers::table, clock, decisions::call_budget::CallClass, protection, store};

/// Fraction of the grace period after which a stopping process ends in any case.
const DRAIN_FRACTION: f64 = 0.97;

/// Longest time for which a draining process waits for a caller that reads nothing, or sends
/// nothing of a request that it has begun, and the largest fraction of the grace period for it.
const MAX_DRAIN_STALL: time::Duration = time::Duration::from_secs(3);
const MAX_STALL_FRACTION: f64 = 0.5;

/// Interval at which a draining process checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Runs a process on the current thread until `stop` receives a message or is closed and
/// the process has drained.
///
/// # Errors
/// Returns an error if an address cannot be bound.
pub async fn run(
    options: context::ProcessOptions,
    adapters: context::ProcessAdapters,
    mut stop: mpsc::Receiver<()>,
) -> io::Result<()> {
    let calls = peer_server::serve(options.internal)?;
    let (origin_file, origins) = open_origins(&options);
    let restored = context::RestoredState {
        progress: open_checkpoints(&options),
        origins,
        origin_file,
    };
    let context = rc::Rc::new(context::ProcessContext::new(options, adapters, restored));
    log::info!(
        "event=started instance={} role={:?} domain={} first_start={}",
        context.id(),
        context.options.member.role,
        context.domain(),
        context.options.is_first_start,
    );
    listener::start(&context)?;
    metrics_page::start(&context)?;
    actix_rt::spawn(context.source.run(context.fleet.clone()));
    actix_rt::spawn(peer_calls::serve_peers(context.clone(), calls));
    actix_rt::spawn(member_sync::register(context.clone()));
    actix_rt::spawn(member_sync::watch_members(context.clone()));
    actix_rt::spawn(probes::probe_peers(context.clone()));
    actix_rt::spawn(fleet_sync::refresh_periodically(
        context.clone(),
        job_upkeep::read_ends,
    ));
    actix_rt::spawn(crash_guard::read_quarantined(context.clone()));
    actix_rt::spawn(owners::tick(context.clone()));
    actix_rt::spawn(owners::follow_orders(context.clone()));
    actix_rt::spawn(suspension::watch(context.clone()));
    start_record::start(&context);
    job_runner::start(&context);
    actix_rt::spawn(job_checkpoints::send_progress(context.clone()));
    if stop.recv().await.is_none() {
        log::warn!("event=stop_channel_closed");
    }
    stop_gracefully(&context).await;
    Ok(())
}

/// Restores the job progress of the previous process and opens the checkpoint file.
fn open_checkpoints(options: &context::ProcessOptions) -> context::RestoredProgress {
    let board = job_checkpoints::CheckpointTable::default();
    let folder = options.data_folder.clone();
    let start_result = folder.map(checkpoint_file::CheckpointFile::start);
    let file = match start_result {
        Some(Ok((file, jobs))) => {
            for job in jobs {
                board.merge(job);
            }
            Some(file)
        }
        Some(Err(e)) => {
            log::warn!("event=progress_unwritten why=\"{e}\"");
            None
        }
        None => None,
    };
    context::RestoredProgress { board, file }
}

/// Restores the origins of streams of the previous process and opens their file.
fn open_origins(
    options: &context::ProcessOptions,
) -> (
    Option<origin_file::OriginFile>,
    origin_file::RestoredOrigins,
) {
    let folder = options.data_folder.clone();
    match folder.map(origin_file::OriginFile::start) {
        Some(Ok((file, restored))) => (Some(file), restored),
        Some(Err(e)) => {
            log::warn!("event=origins_unwritten why=\"{e}\"");
            (None, origin_file::RestoredOrigins::default())
        }
        None => (None, origin_file::RestoredOrigins::default()),
    }
}

/// Drains the process: waits until all responses are sent and all jobs are handed back, or
/// the grace period is nearly over.
async fn stop_gracefully(context: &rc::Rc<context::ProcessContext>) {
    // A warning, so that it passes a flood of lines about requests.
    log::warn!("event=stopping active={}", context.active.get());
    context.stopping.send_replace(true);
    owners::refresh_owners(context);
    let started_at = clock::BootInstant::now();
    context.stop_started_at.set(Some(started_at));
    // The rest of the grace period is left for the exit itself.
    let timeout = context.options.grace.mul_f64(DRAIN_FRACTION);
    // Peers and the readiness check must see that the process is leaving before it exits.
    let min_duration = members::PROBE_INTERVAL * 2;
    let max_stall = MAX_DRAIN_STALL.min(context.options.grace.mul_f64(MAX_STALL_FRACTION));
    let removal = remove_member_record(context);
    tokio::pin!(removal);
    let mut removed = false;
    while started_at.elapsed() < timeout && !protection::is_disabled("drain") {
        let table = context.caller_memory.table();
        table.close_stalled(max_stall, table::CloseReason::Stopping);
        let idle = context.is_idle() && context.jobs.is_drained();
        if removed && idle && started_at.elapsed() > min_duration {
            break;
        }
        tokio::select! {
            () = &mut removal, if !removed => removed = true,
            () = actix_rt::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
    }
    log::warn!(
        "event=stopped active={} unsent={} after_ms={}",
        context.active.get(),
        context.caller_memory.table().unsent(),
        started_at.elapsed().as_millis()
    );
}

async fn remove_member_record(context: &rc::Rc<context::ProcessContext>) {
    let key = format!("{}/{}", context::MEMBER_KIND, context.id());
    let condition = store::WriteCondition::Always;
    if let Err(e) = context
        .store
        .remove(CallClass::Control, &key, condition)
        .await
    {
        log::info!("event=member_record_left why=\"{e}\"");
    }
}
