//! Runs the items of owned jobs in slots that online requests leave free.

use std::{collections, rc, time};

use super::{
    borrowed_slots, context, directory, item_run, job_checkpoints, job_records, job_table,
    job_upkeep, open_job, ready_items,
};
use crate::{clock, decisions::admission, ids};

/// Maximum interval between checks for work when no notification arrives.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Minimum interval between two passes over the waiting items. Each pass visits all of
/// them, and under load a slot becomes free every few milliseconds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Starts the background tasks that run and maintain jobs.
pub fn start(context: &rc::Rc<context::ProcessContext>) {
    actix_rt::spawn(run_items(context.clone()));
    actix_rt::spawn(job_upkeep::adopt_jobs(context.clone()));
    actix_rt::spawn(job_upkeep::watch_ends(context.clone()));
    actix_rt::spawn(job_upkeep::remove_old_jobs(context.clone()));
}

/// Adopts a job and returns whether it is already finished, or `None` if there is no memory for
/// it; it is searched for in the store later.
pub fn adopt_job(
    context: &rc::Rc<context::ProcessContext>,
    record: job_records::JobRecord,
    origin: job_records::JobOrigin,
) -> Option<bool> {
    if let Some(job) = context.jobs.get(&record.id) {
        return Some(job.borrow().is_finished());
    }
    if context.jobs.is_full() {
        context.jobs.record_left(&record.id);
        return None;
    }
    let id = record.id.clone();
    let due_ms = job_table::due_time_ms(context, &record);
    log::info!(
        "event=job_taken job={id} items={} due_ms={}",
        record.items.len(),
        due_ms.map_or("-".to_owned(), |ms| ms.to_string())
    );
    let age_ms = clock::epoch_ms().saturating_sub(record.submitted_ms);
    // An earlier run of this process, or another owner, may have found the job in the store.
    let max_age_ms = NEW_JOB_MAX_AGE.min(context.age()).as_millis() as u64;
    let is_new = origin == job_records::JobOrigin::New && age_ms < max_age_ms;
    let job = context.jobs.get_or_insert(record, due_ms);
    // Without the end marks, the job may have been ended in the meantime.
    if is_new && context.jobs.is_ended(&id) == Some(false) {
        let mut job = job.borrow_mut();
        job.is_loaded = true;
        job.read_at = Some(clock::BootInstant::now());
        job.knowledge = open_job::OwnerKnowledge::Current;
    }
    context.jobs.work.notify_one();
    Some(false)
}

/// Adopts a job from the store in the background. Returns whether it is already finished.
///
/// The requester may have appended results to a job that is known here, so the copy is
/// uncertain until it is read again.
pub fn adopt_stored_job(context: &rc::Rc<context::ProcessContext>, id: ids::JobId) -> bool {
    if let Some(job) = context.jobs.get(&id) {
        let mut job = job.borrow_mut();
        job.read_at = None;
        return job.is_finished();
    }
    if context.jobs.is_full() {
        context.jobs.record_left(&id);
        return false;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        match job_records::read_job(context.store.as_ref(), &id).await {
            Ok(Some(record)) => drop(adopt_job(&context, record, job_records::JobOrigin::Stored)),
            Ok(None) => log::warn!("event=job_unfound job={id} why=\"not in the store\""),
            // The requester sends the request again.
            Err(e) => log::info!("event=job_unfound job={id} why=\"{e}\""),
        }
    });
    false
}

/// Maximum age at which a job that arrives as new is assumed to have no results: a hand-off
/// takes a few milliseconds, and an owner that finds the job in the store has to list it
/// and to run an item first.
const NEW_JOB_MAX_AGE: time::Duration = time::Duration::from_millis(300);

/// Loads what earlier owners have committed, and retries until the store responds; no
/// item runs before.
pub(super) async fn load_results(
    context: rc::Rc<context::ProcessContext>,
    job: open_job::SharedJob,
) {
    while let Err(e) = job_table::refresh_job(&context, &job).await {
        let id = job.borrow().record.id.clone();
        log::warn!("event=job_unlearned job={id} why=\"{e}\"");
        actix_rt::time::sleep(job_upkeep::STORE_RETRY_DELAY).await;
    }
    job.borrow_mut().knowledge = open_job::OwnerKnowledge::Current;
    job_checkpoints::apply_progress(&context, &job);
    context.jobs.work.notify_one();
}

/// How a process learns of the end of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndSource {
    /// From the caller.
    Caller,
    /// From another process.
    Peer,
    /// From the watch of the end marks.
    Watch,
    /// From a periodic read of the end marks.
    Read,
}

impl EndSource {
    fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
            Self::Watch => "watch",
            Self::Read => "read",
        }
    }
}

/// Ends a job: cancels its streams and prevents further starts.
pub fn end_job(context: &rc::Rc<context::ProcessContext>, id: &ids::JobId, source: EndSource) {
    // Recorded even if the job is unknown here: an owner may hand it off later.
    context.jobs.record_end(id);
    let Some(job) = context.jobs.get(id) else {
        return;
    };
    if std::mem::replace(&mut job.borrow_mut().ended, true) {
        return;
    }
    let streams = std::mem::take(&mut job.borrow_mut().streams);
    log::info!(
        "event=job_ended job={id} told_by={} streams={}",
        source.label(),
        streams.len()
    );
    for (endpoint, number) in streams {
        context.jobs.preempt(&endpoint, number);
    }
    context.jobs.work.notify_one();
}

/// Starts items while slots are free, and cancels all streams once the process drains.
async fn run_items(context: rc::Rc<context::ProcessContext>) {
    loop {
        if !context.is_leaving() {
            start_items(&context);
        } else {
            context.jobs.preempt_all();
        }
        actix_rt::time::sleep(ROUND_INTERVAL).await;
        let notified = context.jobs.work.notified();
        if tokio::time::timeout(POLL_INTERVAL, notified).await.is_err() {
            log::trace!("event=idle_look");
        }
    }
}

fn start_items(context: &rc::Rc<context::ProcessContext>) {
    let mut services_without_slots = collections::HashMap::new();
    for item in ready_items::ready_items(context) {
        start_item(context, &item, &mut services_without_slots);
    }
    for (service, waiting) in services_without_slots {
        borrowed_slots::borrow_slots(context, service, waiting.count);
    }
}

/// Items of a service that wait for a slot.
#[derive(Debug, Default)]
struct WaitingItems {
    count: usize,
    /// Whether the service has no free slot at any endpoint.
    has_no_slot: bool,
}

/// Starts an item if a slot is free. Otherwise counts it in `services_without_slots`,
/// which maps each service to its waiting items.
fn start_item(
    context: &rc::Rc<context::ProcessContext>,
    item: &ready_items::ReadyItem,
    services_without_slots: &mut collections::HashMap<ids::ServiceName, WaitingItems>,
) {
    let Some(service) = item.route.draw_service() else {
        return;
    };
    let waiting = services_without_slots.get_mut(&service);
    if let Some(waiting) = waiting.filter(|waiting| waiting.has_no_slot) {
        waiting.count += 1;
        return;
    }
    let now = context.clock.now();
    let job = item.job.borrow();
    let progress = &job.items[item.index];
    let is_listed = ready_items::is_software_listed(context, progress);
    let slot = {
        let mut permits = context.permits.borrow_mut();
        let ejected = context.ejected_endpoints(&permits, now);
        let accepts = |entry: &directory::EndpointEntry| {
            ready_items::continues_at(context, progress, entry) || progress.starts_over(is_listed)
        };
        permits.begin_batch_at(&service, accepts, &ejected, now)
    };
    let has_progress = !progress.events.is_empty();
    drop(job);
    let Some((endpoint, number)) = slot else {
        let waiting = services_without_slots.entry(service);
        let waiting = waiting.or_default();
        waiting.count += 1;
        // An item with progress may wait for a software version while others have slots.
        waiting.has_no_slot |= !has_progress;
        return;
    };
    let slot = StreamSlot {
        endpoint,
        number,
        lender: None,
    };
    begin_run(context, item, slot);
}

/// Slot for a batch stream.
pub(super) struct StreamSlot {
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    pub(super) number: admission::StreamNumber,
    /// Address of the owner that lent the slot, if it is another process.
    pub(super) lender: Option<std::net::SocketAddr>,
}

/// Starts a run of an item in a slot.
pub(super) fn begin_run(
    context: &rc::Rc<context::ProcessContext>,
    item: &ready_items::ReadyItem,
    slot: StreamSlot,
) {
    let mut job = item.job.borrow_mut();
    let id = job.record.items[item.index].id.clone();
    let progress = &mut job.items[item.index];
    if !ready_items::continues_at(context, progress, &slot.endpoint) {
        log::info!(
            "event=item_started_over item={id} software={} endpoint={} new_software={} events={}",
            directory::software_label(progress.software.as_ref().map(|s| &s.version)),
            slot.endpoint.id,
            slot.endpoint.software_label(),
            progress.events.len(),
        );
        progress.start_over();
    }
    progress.phase = open_job::ItemPhase::Running;
    let chain = progress.chain();
    drop(job);
    let run = item_run::ItemRun {
        context: context.clone(),
        job: item.job.clone(),
        index: item.index,
        endpoint: slot.endpoint,
        number: slot.number,
        lender: slot.lender,
        max_attempts: item.route.max_attempts,
        chain,
        turn: item.turn,
        has_head: std::cell::Cell::new(false),
    };
    let starts = &context.metrics.item_starts;
    starts.with_label_values(&[item.turn.label()]).inc();
    actix_rt::spawn(run.run());
}
