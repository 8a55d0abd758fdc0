//! One process of the system: its start and its stop.

use std::{io, rc, time};

use tokio::sync::mpsc;

use super::{
    checkpoint_file, context, crash_guard, fleet_sync, job_checkpoints, job_runner, listener,
    members, metrics_page, owners, peer_calls, peer_server, suspension,
};
use crate::{clock, decisions::call_budget::CallClass, protection, store};

/// Part of the grace after which a stopping process ends in any case.
const END_SHARE: f64 = 0.97;

/// How often a stopping process looks whether its last request has ended.
const STOP_POLL: time::Duration = time::Duration::from_millis(20);

/// Runs a process on this thread until `stop` says so and its last request ended.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(
    options: context::ProcessOptions,
    borders: context::ProcessBorders,
    mut stop: mpsc::Receiver<()>,
) -> io::Result<()> {
    let calls = peer_server::serve(options.internal)?;
    let progress = open_checkpoints(&options);
    let context = rc::Rc::new(context::ProcessContext::new(options, borders, progress));
    log::info!(
        "event=started instance={} role={:?} domain={}",
        context.id(),
        context.options.member.role,
        context.domain()
    );
    listener::start(&context)?;
    metrics_page::start(&context)?;
    actix_rt::spawn(context.source.run(context.fleet.clone()));
    actix_rt::spawn(peer_calls::serve_peers(context.clone(), calls));
    actix_rt::spawn(fleet_sync::watch_members(context.clone()));
    actix_rt::spawn(fleet_sync::probe_peers(context.clone()));
    actix_rt::spawn(fleet_sync::refresh_periodically(context.clone()));
    actix_rt::spawn(crash_guard::read_held(context.clone()));
    actix_rt::spawn(owners::tick(context.clone()));
    actix_rt::spawn(owners::follow_orders(context.clone()));
    actix_rt::spawn(suspension::watch(context.clone()));
    job_runner::start(&context);
    actix_rt::spawn(job_checkpoints::tell_progress(context.clone()));
    if stop.recv().await.is_none() {
        log::warn!("event=stop_channel_closed");
    }
    stop_gracefully(&context).await;
    Ok(())
}

/// Reads the progress of the process before this one, and starts to keep its own.
fn open_checkpoints(options: &context::ProcessOptions) -> context::KeptProgress {
    let board = job_checkpoints::CheckpointBoard::default();
    let folder = options.data_folder.clone();
    let opened = folder.map(checkpoint_file::CheckpointFile::start);
    let file = match opened {
        Some(Ok((file, jobs))) => {
            for job in jobs {
                board.take(job);
            }
            Some(file)
        }
        Some(Err(e)) => {
            log::warn!("event=progress_unwritten why=\"{e}\"");
            None
        }
        None => None,
    };
    context::KeptProgress { board, file }
}

/// Ends once the last answer has gone and all jobs are handed back, or the grace is over.
async fn stop_gracefully(context: &rc::Rc<context::ProcessContext>) {
    log::info!("event=stopping active={}", context.active.get());
    context.stopping.send_replace(true);
    owners::refresh_owners(context);
    let begun = clock::BootInstant::now();
    context.stop_begun.set(Some(begun));
    // The last moments are kept for the end itself.
    let timeout = context.options.grace.mul_f64(END_SHARE);
    // Peers and the readiness check learn of it before the process is gone.
    let least = members::PROBE_INTERVAL * 2;
    let record_gone = remove_member(context);
    tokio::pin!(record_gone);
    let mut removed = false;
    while begun.elapsed() < timeout && !protection::is_disabled("drain") {
        let idle = context.is_idle() && context.jobs.is_handed_back();
        if removed && idle && begun.elapsed() > least {
            break;
        }
        tokio::select! {
            () = &mut record_gone, if !removed => removed = true,
            () = actix_rt::time::sleep(STOP_POLL) => {}
        }
    }
    log::info!(
        "event=stopped active={} unsent={} after_ms={}",
        context.active.get(),
        context.waiting_answers.get(),
        begun.elapsed().as_millis()
    );
}

async fn remove_member(context: &rc::Rc<context::ProcessContext>) {
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
