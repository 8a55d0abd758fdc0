//! Runs the items of owned jobs in the places that online requests leave.

use std::{collections, rc, time};

use super::{
    context, directory, item_run, job_board, job_checkpoints, job_records, job_upkeep, lent_slots,
    open_job, ready_items,
};
use crate::{clock, decisions::admission, ids};

/// How often it is looked for work without a word of it.
const IDLE_LOOK: time::Duration = time::Duration::from_millis(200);

/// Least time between two rounds over the waiting items: each looks at all of
/// them, and a place comes free every few milliseconds under load.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Starts the duties of a runner.
pub fn start(context: &rc::Rc<context::ProcessContext>) {
    actix_rt::spawn(run_items(context.clone()));
    actix_rt::spawn(job_upkeep::adopt_jobs(context.clone()));
    actix_rt::spawn(job_upkeep::watch_ends(context.clone()));
    actix_rt::spawn(job_upkeep::remove_old_jobs(context.clone()));
}

/// Takes a job over; says whether it is over already.
pub fn take_job(context: &rc::Rc<context::ProcessContext>, record: job_records::JobRecord) -> bool {
    if let Some(job) = context.jobs.get(&record.id) {
        return job.borrow().is_over();
    }
    let id = record.id.clone();
    let due_ms = job_board::due_of(context, &record);
    log::info!(
        "event=job_taken job={id} items={} due_ms={}",
        record.items.len(),
        due_ms.map_or("-".to_owned(), |ms| ms.to_string())
    );
    let age = clock::epoch_ms().saturating_sub(record.submitted_ms);
    let job = context.jobs.put(record, due_ms);
    // An older one may have been ended, or have results of an earlier owner.
    if age <= FRESH_JOB_MS && context.jobs.is_ended(&id) == Some(false) {
        let mut job = job.borrow_mut();
        job.is_known = true;
        job.knowledge = open_job::OwnerKnowledge::Current;
    }
    context.jobs.work.notify_one();
    false
}

/// Takes a job over that is in the store, unless it is known; says whether it is over.
pub fn find_job(context: &rc::Rc<context::ProcessContext>, id: ids::JobId) -> bool {
    if let Some(job) = context.jobs.get(&id) {
        return job.borrow().is_over();
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        match job_records::read_job(context.store.as_ref(), &id).await {
            Ok(Some(record)) => drop(take_job(&context, record)),
            Ok(None) => log::warn!("event=job_unfound job={id} why=\"it is not in the store\""),
            // Who asked does so again.
            Err(e) => log::info!("event=job_unfound job={id} why=\"{e}\""),
        }
    });
    false
}

/// Age up to which a job is taken to have no results: no item is done so soon.
const FRESH_JOB_MS: u64 = 300;

/// Learns what earlier owners did, until the store answers; nothing runs before.
pub(super) async fn take_results(
    context: rc::Rc<context::ProcessContext>,
    job: open_job::SharedJob,
) {
    while let Err(e) = job_board::learn(&context, &job).await {
        let id = job.borrow().record.id.clone();
        log::warn!("event=job_unlearned job={id} why=\"{e}\"");
        actix_rt::time::sleep(job_upkeep::STORE_PAUSE).await;
    }
    job.borrow_mut().knowledge = open_job::OwnerKnowledge::Current;
    job_checkpoints::use_progress(&context, &job);
    context.jobs.work.notify_one();
}

/// Ends a job: its streams stop, and nothing of it starts any more.
pub fn end_job(context: &rc::Rc<context::ProcessContext>, id: &ids::JobId) {
    // Another owner may hand the job over later.
    context.jobs.record_end(id);
    let Some(job) = context.jobs.get(id) else {
        return;
    };
    if std::mem::replace(&mut job.borrow_mut().ended, true) {
        return;
    }
    log::info!("event=job_ended job={id} told_by=peer");
    let streams = std::mem::take(&mut job.borrow_mut().streams);
    for (endpoint, number) in streams {
        context.jobs.preempt(&endpoint, number);
    }
    context.jobs.work.notify_one();
}

/// Starts items while there are places.
async fn run_items(context: rc::Rc<context::ProcessContext>) {
    loop {
        if !context.is_leaving() {
            start_items(&context);
        } else {
            context.jobs.preempt_all();
        }
        actix_rt::time::sleep(ROUND_PAUSE).await;
        let looked = context.jobs.work.notified();
        if tokio::time::timeout(IDLE_LOOK, looked).await.is_err() {
            log::trace!("event=idle_look");
        }
    }
}

fn start_items(context: &rc::Rc<context::ProcessContext>) {
    let mut full = collections::HashMap::new();
    for item in ready_items::ready_items(context) {
        start_item(context, &item, &mut full);
    }
    for (service, waiting) in full {
        lent_slots::borrow_slots(context, service, waiting);
    }
}

/// Starts an item if a place is free; services without places go into `full`,
/// with the number of items that wait for them.
fn start_item(
    context: &rc::Rc<context::ProcessContext>,
    item: &ready_items::ReadyItem,
    full: &mut collections::HashMap<ids::ServiceName, usize>,
) {
    let targets = &item.route.targets;
    let total: u32 = targets.iter().map(|t| t.weight.max(1)).sum();
    let mut point = rand::random_range(0..total.max(1));
    let target = targets.iter().find(|t| {
        let inside = point < t.weight.max(1);
        point = point.saturating_sub(t.weight.max(1));
        inside
    });
    let Some(target) = target else { return };
    if let Some(waiting) = full.get_mut(&target.service) {
        *waiting += 1;
        return;
    }
    let now = context.clock.now();
    let slot = {
        let mut permits = context.permits.borrow_mut();
        let ejected = permits.ejected(&context.loads.borrow(), now);
        permits.begin_batch(&target.service, &ejected, now)
    };
    let Some((endpoint, number)) = slot else {
        full.insert(target.service.clone(), 1);
        return;
    };
    let slot = StreamSlot {
        endpoint,
        number,
        lender: None,
    };
    begin_run(context, item, slot);
}

/// A place for a batch stream.
pub(super) struct StreamSlot {
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    pub(super) number: admission::StreamNumber,
    /// The owner that lent it, if it is another process.
    pub(super) lender: Option<std::net::SocketAddr>,
}

/// Starts a run of an item in a place.
pub(super) fn begin_run(
    context: &rc::Rc<context::ProcessContext>,
    item: &ready_items::ReadyItem,
    slot: StreamSlot,
) {
    let mut job = item.job.borrow_mut();
    let progress = &mut job.items[item.index];
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
        has_head: std::cell::Cell::new(false),
    };
    actix_rt::spawn(run.run());
}
