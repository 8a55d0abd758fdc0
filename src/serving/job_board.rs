//! The jobs that this process runs or reads: progress, results, commits.

use std::{cell, collections, rc, time};

use tokio::sync::{oneshot, Notify};

use super::{
    context, job_records,
    open_job::{OpenJob, SharedJob},
    peers, wire,
};
use crate::{
    clock,
    decisions::{admission, item_order},
    ids, settle, store,
};

/// How long results that were read from the store are taken to be all there are.
const FRESH: time::Duration = time::Duration::from_millis(400);

/// Bytes of jobs that are kept for readers after they are done.
const KEPT_BYTES: usize = 24 << 20;

/// Names a batch stream: its endpoint and its number in the ledger there.
pub type StreamKey = (ids::EndpointId, admission::StreamNumber);

/// A stream that runs, and the way to stop it.
struct RunningStream {
    /// Whether another owner lent its place.
    is_lent: bool,
    /// Dropped as the word to stop.
    _cancel: oneshot::Sender<()>,
}

/// All jobs of this process.
#[derive(Default)]
pub struct JobBoard {
    jobs: cell::RefCell<collections::HashMap<ids::JobId, SharedJob>>,
    streams: cell::RefCell<collections::HashMap<StreamKey, RunningStream>>,
    /// Told when there may be work: a new job, a free place.
    pub work: Notify,
    /// Jobs that were ended, once all marks were read; kept up by the watch of the marks.
    ended: cell::RefCell<Option<collections::HashSet<ids::JobId>>>,
    /// Whether the other owners are being asked for places.
    pub borrowing: cell::Cell<bool>,
    /// How long items of a service hold places in all.
    spans: cell::RefCell<collections::HashMap<ids::ServiceName, item_order::DurationEstimate>>,
    /// Told when the owners of jobs changed.
    pub owners_changed: Notify,
}

impl JobBoard {
    /// A job that is here.
    pub fn get(&self, id: &ids::JobId) -> Option<SharedJob> {
        self.jobs.borrow().get(id).cloned()
    }

    /// All jobs that are here.
    pub fn all(&self) -> Vec<SharedJob> {
        self.jobs.borrow().values().cloned().collect()
    }

    /// Whether a job was ended, if the marks are known.
    pub fn is_ended(&self, id: &ids::JobId) -> Option<bool> {
        self.ended.borrow().as_ref().map(|ended| ended.contains(id))
    }

    /// Notes the marks of ended jobs that a watch brought.
    pub fn record_ended(&self, ids: impl Iterator<Item = ids::JobId>) {
        let mut ended = self.ended.borrow_mut();
        ended.get_or_insert_default().extend(ids);
    }

    /// Notes one end that a peer or a caller told.
    pub fn record_end(&self, id: &ids::JobId) {
        if let Some(ended) = self.ended.borrow_mut().as_mut() {
            ended.insert(id.clone());
        }
    }

    /// Forgets the marks, as changes of them are not heard any more.
    pub fn forget_ended(&self) {
        *self.ended.borrow_mut() = None;
    }

    /// Puts a job here unless it is; gives the one that is.
    pub fn put(&self, record: job_records::JobRecord, due_ms: Option<u64>) -> SharedJob {
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs.get(&record.id) {
            return job.clone();
        }
        let id = record.id.clone();
        let job = rc::Rc::new(cell::RefCell::new(OpenJob::new(record, due_ms)));
        jobs.insert(id, job.clone());
        job
    }

    /// Forgets a job.
    pub fn remove(&self, id: &ids::JobId) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Notes how long an item held places, from its first run to its end.
    pub fn record_span(&self, service: &ids::ServiceName, duration: time::Duration) {
        let mut spans = self.spans.borrow_mut();
        let estimate = spans.entry(service.clone()).or_default();
        estimate.record(duration.as_millis() as u64);
    }

    /// How long an item needs that held places for a while; nothing while it is not known.
    pub fn remaining_ms(&self, service: &ids::ServiceName, spent: time::Duration) -> u64 {
        let spans = self.spans.borrow();
        let estimate = spans.get(service);
        estimate.map_or(0, |e| e.remaining_ms(spent.as_millis() as u64))
    }

    /// Names a stream that can be taken back.
    pub fn begin_stream(&self, key: StreamKey, is_lent: bool) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        let stream = RunningStream {
            is_lent,
            _cancel: cancel,
        };
        self.streams.borrow_mut().insert(key, stream);
        cancelled
    }

    /// Takes the streams back that run at an endpoint which this process owned.
    pub fn preempt_owned(&self, endpoint: &ids::EndpointId) {
        let mut streams = self.streams.borrow_mut();
        streams.retain(|(at, _), stream| at != endpoint || stream.is_lent);
    }

    /// Forgets a stream that ended.
    pub fn end_stream(&self, key: &StreamKey) {
        self.streams.borrow_mut().remove(key);
    }

    /// Takes a stream back.
    pub fn preempt(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let key = (endpoint.clone(), number);
        // Dropping the sender is the word to stop.
        drop(self.streams.borrow_mut().remove(&key));
    }

    /// Takes all streams back, for a stop.
    pub fn preempt_all(&self) {
        self.streams.borrow_mut().clear();
    }

    /// Whether nothing of this process's own work would be lost with it.
    pub fn is_handed_back(&self) -> bool {
        let jobs = self.jobs.borrow();
        let settled = jobs.values().all(|job| {
            let job = job.borrow();
            job.ended || job.pending.is_empty()
        });
        settled && self.streams.borrow().is_empty()
    }

    /// Forgets the oldest jobs that are over, beyond the bound of bytes.
    pub fn trim(&self) {
        let mut jobs = self.jobs.borrow_mut();
        let mut over: Vec<_> = jobs
            .values()
            .map(|job| job.borrow())
            .filter(|job| job.is_over())
            .map(|job| (job.record.submitted_ms, job.bytes(), job.record.id.clone()))
            .collect();
        over.sort_by_key(|(submitted, _, _)| std::cmp::Reverse(*submitted));
        let mut bytes = 0;
        for (_, size, id) in over {
            bytes += size;
            if bytes > KEPT_BYTES {
                jobs.remove(&id);
            }
        }
    }
}

/// A job from here or from the store; nothing if there is none of this name.
///
/// # Errors
/// The store does not answer.
pub async fn load(
    context: &rc::Rc<context::ProcessContext>,
    id: &ids::JobId,
) -> store::StoreResult<Option<SharedJob>> {
    if let Some(job) = context.jobs.get(id) {
        return Ok(Some(job));
    }
    let record = job_records::read_job(context.store.as_ref(), id).await?;
    let Some(record) = record else {
        return Ok(None);
    };
    let due_ms = due_of(context, &record);
    let job = context.jobs.put(record, due_ms);
    learn(context, &job).await?;
    Ok(Some(job))
}

/// Learns what earlier owners did of a job, and whether it was ended.
///
/// # Errors
/// The store does not answer.
pub async fn learn(
    context: &rc::Rc<context::ProcessContext>,
    job: &SharedJob,
) -> store::StoreResult<()> {
    let id = job.borrow().record.id.clone();
    let ended = match context.jobs.is_ended(&id) {
        Some(ended) => ended,
        None => job_records::is_ended(context.store.as_ref(), &id).await?,
    };
    if ended && !std::mem::replace(&mut job.borrow_mut().ended, true) {
        log::info!("event=job_ended job={id} told_by=store");
    }
    refresh(context, job).await
}

/// When a job is due: its route says how long after its submission. Nothing
/// while no desired state names the route, as just after a start.
pub fn due_of(context: &context::ProcessContext, record: &job_records::JobRecord) -> Option<u64> {
    let table = context.fleet.table();
    let duration = table.find_batch(&record.host)?.completion_objective;
    Some(
        record
            .submitted_ms
            .saturating_add(duration.as_millis() as u64),
    )
}

/// Works out when a job is due, if that was not known yet.
pub(super) fn learn_due(context: &context::ProcessContext, job: &SharedJob) {
    let mut job = job.borrow_mut();
    if job.due_ms.is_some() {
        return;
    }
    job.due_ms = due_of(context, &job.record);
    if let Some(due_ms) = job.due_ms {
        log::info!("event=job_due job={} due_ms={due_ms}", job.record.id);
    }
}

/// Takes over the parts of results that the store has beyond those known here.
///
/// # Errors
/// The store does not answer.
pub async fn refresh(
    context: &rc::Rc<context::ProcessContext>,
    job: &SharedJob,
) -> store::StoreResult<()> {
    loop {
        let (id, parts, complete) = {
            let job = job.borrow();
            let complete = job.committed.len() >= job.record.items.len();
            (job.record.id.clone(), job.parts, complete)
        };
        if complete {
            break;
        }
        let part = match job_records::read_part(context.store.as_ref(), &id, parts).await {
            // It stays as it is, and its number is taken: the items have no results in it.
            Err(store::StoreError::Corrupt(reason)) => {
                log::warn!("event=part_unreadable job={id} part={parts} why=\"{reason}\"");
                Some(job_records::ResultPart::default())
            }
            part => part?,
        };
        let Some(part) = part else { break };
        let mut job = job.borrow_mut();
        // Another reader of the same part may have been faster.
        if job.parts == parts {
            log::info!(
                "event=part_taken_over job={id} part={parts} results={}",
                part.results.len()
            );
            job.take_part(part);
        }
    }
    let mut job = job.borrow_mut();
    job.read_at = Some(clock::BootInstant::now());
    job.is_known = true;
    Ok(())
}

/// Committed results from a position on; waits a while for the first.
///
/// # Errors
/// The store does not answer, and what is known here may not be all.
pub async fn read_results(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::ResultRequest,
) -> store::StoreResult<Option<wire::ResultPage>> {
    let Some(job) = load(context, &request.job).await? else {
        return Ok(None);
    };
    let owned = context.job_owner(&request.job).as_ref() == Some(context.id());
    let until = clock::BootInstant::now() + request.wait;
    if !job.borrow().is_known {
        learn(context, &job).await?;
    }
    loop {
        let (known, over, stale, mut changes) = {
            let job = job.borrow();
            let fresh = |at: clock::BootInstant| at.elapsed() < FRESH;
            let stale = !job.read_at.is_some_and(fresh);
            let known = job.committed.len();
            (known, job.is_over(), stale, job.changed.subscribe())
        };
        let behind = request.after > known || (!owned && request.after >= known);
        if behind && stale && !over {
            refresh(context, &job).await?;
            continue;
        }
        let left = until.duration_since(clock::BootInstant::now());
        if known > request.after || over || left.is_zero() {
            return Ok(Some(job.borrow().page(request.after)));
        }
        let timeout = if owned { left } else { left.min(FRESH) };
        let changed = tokio::time::timeout(timeout, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            log::warn!("event=job_forgotten job={}", request.job);
        }
    }
}

/// Commits the pending results of a job until none is left.
pub fn commit(context: &rc::Rc<context::ProcessContext>, job: &SharedJob) {
    if std::mem::replace(&mut job.borrow_mut().committing, true) {
        return;
    }
    let context = context.clone();
    let job = job.clone();
    actix_rt::spawn(async move {
        commit_all(&context, &job).await;
        job.borrow_mut().committing = false;
        context.jobs.trim();
    });
}

async fn commit_all(context: &rc::Rc<context::ProcessContext>, job: &SharedJob) {
    let mut backoff = settle::JitteredBackoff::default();
    // Of a write without an answer others may have read the results from the store, also
    // of a job that was ended since: it is tried until it is known what is there.
    let mut is_settled = true;
    loop {
        gather(context, job).await;
        let (id, number, part) = {
            let job = job.borrow();
            if job.pending.is_empty() || (job.ended && is_settled) {
                return;
            }
            (job.record.id.clone(), job.parts, job.next_part())
        };
        let count = part.results.len();
        let appended = job_records::append_part(context.store.as_ref(), &id, number, &part).await;
        let settled = match appended {
            Ok(true) => {
                let mut job = job.borrow_mut();
                if job.parts == number {
                    job.take_part(part);
                }
                log::info!("event=results_committed job={id} part={number} results={count}");
                Ok(())
            }
            // Another process, or an earlier try of this one, was first.
            Ok(false) => refresh(context, job).await,
            Err(e) => Err(e),
        };
        match settled {
            Ok(()) => {
                is_settled = true;
                backoff = settle::JitteredBackoff::default();
            }
            Err(e) => {
                is_settled &= e != store::StoreError::Unknown;
                log::warn!("event=results_uncommitted job={id} part={number} why=\"{e}\"");
                actix_rt::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Waits for more results, while the job has time and items that run.
async fn gather(context: &rc::Rc<context::ProcessContext>, job: &SharedJob) {
    /// How often it is looked whether all items are done meanwhile.
    const STEP: time::Duration = time::Duration::from_millis(50);

    let begun = clock::BootInstant::now();
    while !context.is_leaving()
        && begun.elapsed() < job.borrow().gather_time(context.owners().len())
    {
        actix_rt::time::sleep(STEP).await;
    }
}
