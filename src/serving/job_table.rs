//! Jobs that this process runs or reads, with their progress, results and commits.

use std::{cell, collections, rc, time};

use tokio::sync::{oneshot, Notify};

use super::{
    context, job_budget, job_records, members,
    open_job::{self, OpenJob, SharedJob},
    peers, result_parts, wire,
};
use crate::{
    clock,
    decisions::{admission, item_order},
    ids, settle, store,
};

/// Maximum age of results read from the store before they are read again.
const RESULTS_MAX_AGE: time::Duration = time::Duration::from_millis(400);

/// Delay of the event loop after which other processes may have run the jobs of this one: they
/// take it for lost [`members::PEER_TIMEOUT`] after its last heartbeat, which may be older than
/// the delay by a probe interval.
const MAX_LOOP_DELAY: time::Duration = time::Duration::from_millis(400);

const _: () = assert!(
    MAX_LOOP_DELAY.as_millis() + members::PROBE_INTERVAL.as_millis()
        < members::PEER_TIMEOUT.as_millis()
);

/// Timeout of notifying the owner of a job of a part that this process has appended to it.
const APPEND_NOTICE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Key of a batch stream: the endpoint and the stream's number in its slot ledger.
pub type StreamKey = (ids::EndpointId, admission::StreamNumber);

/// Ends of jobs that are known.
///
/// Invariant: `marks` has all end marks of the store up to `revision`.
struct KnownEnds {
    /// Ended jobs whose marks the store has sent.
    marks: collections::HashSet<ids::JobId>,
    revision: store::ObjectRevision,
    /// Ended jobs that callers or peers have reported.
    reported: collections::HashSet<ids::JobId>,
}

/// Running stream that can be cancelled.
struct RunningStream {
    /// Whether the stream uses a slot that another owner lent.
    is_borrowed: bool,
    /// Cancels the stream when dropped.
    _cancel: oneshot::Sender<()>,
}

/// Table of all jobs of this process, and of their running streams.
pub struct JobTable {
    limits: job_budget::JobLimits,
    /// Whether a job was left in the store for want of memory.
    has_left: cell::Cell<bool>,
    jobs: cell::RefCell<collections::HashMap<ids::JobId, SharedJob>>,
    streams: cell::RefCell<collections::HashMap<StreamKey, RunningStream>>,
    /// Notified when there may be work, such as a new job or a free slot.
    pub work: Notify,
    /// End marks of jobs; `None` until the watch has read all of them.
    ended: cell::RefCell<Option<KnownEnds>>,
    /// Notified when a read found end marks that the watch has not reported.
    pub(super) ends_missed: Notify,
    /// Whether a request for slots of other owners is in progress.
    pub is_borrowing: cell::Cell<bool>,
    /// Estimates of the total time for which an item of a service holds slots.
    hold_times: cell::RefCell<collections::HashMap<ids::ServiceName, item_order::DurationEstimate>>,
    /// Notified when the owners of jobs change.
    pub owners_changed: Notify,
    /// When the event loop last ran.
    active_at: cell::Cell<Option<clock::BootInstant>>,
    /// Last time until which other processes may have run the jobs that this one owns.
    doubted_at: cell::Cell<Option<clock::BootInstant>>,
}

impl Default for JobTable {
    /// Creates a table for an instance whose memory is not limited.
    fn default() -> Self {
        Self::new(job_budget::JobLimits::of_instance(None))
    }
}

impl JobTable {
    /// Creates a table without jobs.
    pub fn new(limits: job_budget::JobLimits) -> Self {
        Self {
            limits,
            has_left: cell::Cell::new(false),
            jobs: cell::RefCell::default(),
            streams: cell::RefCell::default(),
            work: Notify::new(),
            ended: cell::RefCell::default(),
            ends_missed: Notify::new(),
            is_borrowing: cell::Cell::new(false),
            hold_times: cell::RefCell::default(),
            owners_changed: Notify::new(),
            active_at: cell::Cell::new(None),
            doubted_at: cell::Cell::new(None),
        }
    }

    /// Returns whether the unfinished jobs take all memory for them.
    pub(super) fn is_full(&self) -> bool {
        self.open_bytes() >= self.limits.open
    }

    /// Returns the memory of the unfinished jobs, in bytes.
    fn open_bytes(&self) -> usize {
        let jobs = self.jobs.borrow();
        let open = jobs.values().map(|job| job.borrow());
        let open = open.filter(|job| !job.is_finished());
        open.map(|job| job.record_bytes).sum()
    }

    /// Records that a job was left in the store, which is searched once there is room.
    pub(super) fn record_left(&self, id: &ids::JobId) {
        if !self.has_left.replace(true) {
            log::info!(
                "event=job_left job={id} why=memory open_bytes={} max_bytes={}",
                self.open_bytes(),
                self.limits.open
            );
        }
    }

    /// Has the store searched for jobs that were left there, once there is room for them.
    fn search_left(&self) {
        if self.has_left.get() && self.open_bytes() < self.limits.open / 2 {
            self.has_left.set(false);
            self.owners_changed.notify_one();
        }
    }

    /// Returns the job if it is in the table.
    pub fn get(&self, id: &ids::JobId) -> Option<SharedJob> {
        self.jobs.borrow().get(id).cloned()
    }

    /// Returns all jobs in the table.
    pub fn all(&self) -> Vec<SharedJob> {
        self.jobs.borrow().values().cloned().collect()
    }

    /// Returns whether a job was ended, or `None` if the end marks are not known.
    pub fn is_ended(&self, id: &ids::JobId) -> Option<bool> {
        let ended = self.ended.borrow();
        ended
            .as_ref()
            .map(|ended| ended.marks.contains(id) || ended.reported.contains(id))
    }

    /// Returns the revision up to which all end marks are known, if they are.
    pub(super) fn ends_revision(&self) -> Option<store::ObjectRevision> {
        self.ended.borrow().as_ref().map(|ended| ended.revision)
    }

    /// Records end marks that the store has sent up to a revision; returns those that it had
    /// not sent before.
    pub(super) fn record_ends(
        &self,
        ids: Vec<ids::JobId>,
        revision: store::ObjectRevision,
    ) -> Vec<ids::JobId> {
        let mut ended = self.ended.borrow_mut();
        let ended = ended.get_or_insert_with(|| KnownEnds {
            marks: collections::HashSet::new(),
            revision,
            reported: collections::HashSet::new(),
        });
        ended.revision = ended.revision.max(revision);
        let is_new = |id: &ids::JobId| {
            ended.reported.remove(id);
            ended.marks.insert(id.clone())
        };
        ids.into_iter().filter(is_new).collect()
    }

    /// Records the end of a job reported by a peer or a caller.
    pub fn record_end(&self, id: &ids::JobId) {
        if let Some(ended) = self.ended.borrow_mut().as_mut() {
            ended.reported.insert(id.clone());
        }
    }

    /// Discards the end marks when changes to them are no longer received.
    pub fn forget_ended(&self) {
        *self.ended.borrow_mut() = None;
    }

    /// Records that the event loop runs. After a delay in which peers may have taken this
    /// process for lost, they may have appended results to its jobs.
    pub(super) fn record_activity(&self) {
        let now = clock::BootInstant::now();
        let delay = self.active_at.replace(Some(now));
        let delay = delay.map_or(time::Duration::ZERO, |at| now.duration_since(at));
        if delay >= MAX_LOOP_DELAY {
            self.doubt_copies("delayed");
        }
    }

    /// Makes the copies of open jobs uncertain until they are read again, as other processes
    /// may have appended results.
    pub(super) fn doubt_copies(&self, reason: &str) {
        let jobs = self.jobs.borrow();
        let open = jobs.values().filter(|job| !job.borrow().is_finished());
        let open = open.count();
        if open > 0 {
            log::info!("event=job_copies_doubted open={open} why={reason}");
        }
        self.doubted_at.set(Some(clock::BootInstant::now()));
    }

    /// Returns whether a copy was read since other processes may last have appended results to
    /// the jobs that this one owns.
    fn is_undoubted(&self, job: &OpenJob) -> bool {
        job.read_at > self.doubted_at.get()
    }

    /// Inserts a job unless the table has it, and returns the entry.
    pub fn get_or_insert(&self, record: job_records::JobRecord, due_ms: Option<u64>) -> SharedJob {
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs.get(&record.id) {
            return job.clone();
        }
        let id = record.id.clone();
        let job = rc::Rc::new(cell::RefCell::new(OpenJob::new(record, due_ms)));
        jobs.insert(id, job.clone());
        job
    }

    /// Removes a job.
    pub fn remove(&self, id: &ids::JobId) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Records how long an item held slots in total, from its first run to its
    /// completion.
    pub fn record_hold_time(&self, service: &ids::ServiceName, duration: time::Duration) {
        let mut hold_times = self.hold_times.borrow_mut();
        let estimate = hold_times.entry(service.clone()).or_default();
        estimate.record(duration.as_millis() as u64);
    }

    /// Estimates the remaining time of an item in milliseconds, from the time for which
    /// it has held slots; 0 if there is no estimate for the service.
    pub fn remaining_ms(&self, service: &ids::ServiceName, spent: time::Duration) -> u64 {
        let hold_times = self.hold_times.borrow();
        let estimate = hold_times.get(service);
        estimate.map_or(0, |e| e.remaining_ms(spent.as_millis() as u64))
    }

    /// Returns the mean time for which an item of a service holds slots, in milliseconds;
    /// 0 if there is no estimate.
    pub fn mean_duration_ms(&self, service: &ids::ServiceName) -> u64 {
        let hold_times = self.hold_times.borrow();
        hold_times.get(service).map_or(0, |e| e.mean_ms())
    }

    /// Registers a stream and returns the receiver that signals its cancellation.
    pub fn begin_stream(&self, key: StreamKey, is_borrowed: bool) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        let stream = RunningStream {
            is_borrowed,
            _cancel: cancel,
        };
        self.streams.borrow_mut().insert(key, stream);
        cancelled
    }

    /// Cancels the streams at an endpoint that this process owned, except those in
    /// borrowed slots.
    pub fn preempt_owned(&self, endpoint: &ids::EndpointId) {
        let mut streams = self.streams.borrow_mut();
        streams.retain(|(at, _), stream| at != endpoint || stream.is_borrowed);
    }

    /// Removes a stream that has ended.
    pub fn end_stream(&self, key: &StreamKey) {
        self.streams.borrow_mut().remove(key);
    }

    /// Cancels a stream.
    pub fn preempt(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let key = (endpoint.clone(), number);
        // Dropping the sender cancels the stream.
        drop(self.streams.borrow_mut().remove(&key));
    }

    /// Cancels all streams at shutdown.
    pub fn preempt_all(&self) {
        self.streams.borrow_mut().clear();
    }

    /// Returns whether the process can stop without losing results or running streams.
    pub fn is_drained(&self) -> bool {
        let jobs = self.jobs.borrow();
        let settled = jobs.values().all(|job| {
            let job = job.borrow();
            job.ended || job.pending.is_empty()
        });
        settled && self.streams.borrow().is_empty()
    }

    /// Removes the oldest finished jobs beyond their limit.
    pub fn trim(&self) {
        self.search_left();
        let mut jobs = self.jobs.borrow_mut();
        let mut finished: Vec<_> = jobs
            .values()
            .map(|job| job.borrow())
            .filter(|job| job.is_finished())
            .map(|job| (job.record.submitted_ms, job.bytes(), job.record.id.clone()))
            .collect();
        finished.sort_by_key(|(submitted, _, _)| std::cmp::Reverse(*submitted));
        let mut bytes = 0;
        for (_, size, id) in finished {
            bytes += size;
            if bytes > self.limits.finished {
                jobs.remove(&id);
            }
        }
    }
}

/// Returns a job from the table or the store, or `None` if neither has it.
///
/// # Errors
/// Returns an error if the store does not respond.
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
    let due_ms = due_time_ms(context, &record);
    let job = match context.jobs.is_full() {
        // A copy for this reader alone.
        true => rc::Rc::new(cell::RefCell::new(OpenJob::new(record, due_ms))),
        false => context.jobs.get_or_insert(record, due_ms),
    };
    refresh_job(context, &job).await?;
    Ok(Some(job))
}

/// Reads from the store whether a job was ended, and the results that earlier owners
/// committed.
///
/// # Errors
/// Returns an error if the store does not respond.
pub async fn refresh_job(
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
    refresh_results(context, job).await
}

/// Returns the due time of a job, in milliseconds since the epoch: the submission time
/// plus the completion objective of its route. Returns `None` while the desired state
/// does not contain the route, for instance just after startup.
pub fn due_time_ms(
    context: &context::ProcessContext,
    record: &job_records::JobRecord,
) -> Option<u64> {
    let table = context.fleet.table();
    let duration = table.find_batch(&record.host)?.completion_objective;
    Some(
        record
            .submitted_ms
            .saturating_add(duration.as_millis() as u64),
    )
}

/// Sets the due time of a job if it is not known yet.
pub(super) fn resolve_due_time(context: &context::ProcessContext, job: &SharedJob) {
    let mut job = job.borrow_mut();
    if job.due_ms.is_some() {
        return;
    }
    job.due_ms = due_time_ms(context, &job.record);
    if let Some(due_ms) = job.due_ms {
        log::info!("event=job_due job={} due_ms={due_ms}", job.record.id);
    }
}

/// Reads the result parts that the store has beyond those known here.
///
/// # Errors
/// Returns an error if the store does not respond.
pub async fn refresh_results(
    context: &rc::Rc<context::ProcessContext>,
    job: &SharedJob,
) -> store::StoreResult<()> {
    let begun_at = clock::BootInstant::now();
    loop {
        let (id, parts, complete) = {
            let job = job.borrow();
            (job.record.id.clone(), job.parts, job.is_complete())
        };
        if complete {
            break;
        }
        let part = match job_records::read_part(context.store.as_ref(), &id, parts).await {
            // An unreadable part stays in the store and keeps its number, so it counts
            // as a part without results.
            Err(store::StoreError::Corrupt(reason)) => {
                log::warn!("event=part_unreadable job={id} part={parts} why=\"{reason}\"");
                Some(result_parts::ResultPart::default())
            }
            part => part?,
        };
        let Some(part) = part else { break };
        let mut job = job.borrow_mut();
        // A concurrent reader may have applied the same part already.
        if job.parts == parts {
            log::info!(
                "event=part_taken_over job={id} part={parts} results={}",
                part.results.len()
            );
            job.apply_part(part);
        }
    }
    let mut job = job.borrow_mut();
    job.read_at = Some(begun_at);
    job.is_loaded = true;
    Ok(())
}

/// Returns committed results from a position on, and waits up to the requested time for
/// the first one.
///
/// # Errors
/// Returns an error if the store does not respond and the known results may be
/// incomplete.
pub async fn read_results(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::ResultRequest,
) -> store::StoreResult<Option<wire::ResultPage>> {
    let Some(job) = load(context, &request.job).await? else {
        return Ok(None);
    };
    let owned = context.job_owner(&request.job).as_ref() == Some(context.id());
    let deadline = clock::BootInstant::now() + request.wait;
    if !job.borrow().is_loaded {
        refresh_job(context, &job).await?;
    }
    loop {
        // The first event after a delay of the loop may be this one.
        context.jobs.record_activity();
        let (committed, complete, ended, is_current, undoubted, fresh, mut changes) = {
            let job = job.borrow();
            let is_fresh = |at: clock::BootInstant| at.elapsed() < RESULTS_MAX_AGE;
            (
                job.committed.len(),
                job.is_complete(),
                job.ended,
                job.knowledge == open_job::OwnerKnowledge::Current,
                context.jobs.is_undoubted(&job),
                job.read_at.is_some_and(is_fresh),
                job.changed.subscribe(),
            )
        };
        // The owner of an open job appends its results, so it knows all of them once it has read
        // those of earlier owners.
        let is_certain = complete || (owned && is_current && !ended && undoubted);
        let behind = request.after > committed || (!is_certain && request.after >= committed);
        let is_due = !fresh || (owned && !undoubted);
        if behind && is_due && !complete {
            refresh_results(context, &job).await?;
            continue;
        }
        let remaining = deadline.duration_since(clock::BootInstant::now());
        if committed > request.after || complete || ended || remaining.is_zero() {
            let job = job.borrow();
            if committed <= request.after && !complete {
                log_empty_page(&job, request.after, owned);
            }
            return Ok(Some(job.page(request.after)));
        }
        let timeout = if owned {
            remaining
        } else {
            remaining.min(RESULTS_MAX_AGE)
        };
        let changed = tokio::time::timeout(timeout, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            log::warn!("event=job_forgotten job={}", request.job);
        }
    }
}

/// Logs that a reader gets no results, and what that is based on.
fn log_empty_page(job: &OpenJob, after: usize, owned: bool) {
    let age_ms = job.read_at.map_or(-1, |at| at.elapsed().as_millis() as i64);
    log::info!(
        "event=no_results job={} after={after} committed={} parts={} owned={owned} ended={} knowledge={:?} read_ms_ago={age_ms}",
        job.record.id,
        job.committed.len(),
        job.parts,
        job.ended,
        job.knowledge,
    );
}

/// Commits the pending results of a job in the background until none is left, unless a
/// commit is already in progress.
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
    let mut limit = result_parts::PartLimit::new(context.store.max_value_size());
    // After a write without a response, other processes may have read the results from
    // the store, even if the job was ended since. The write is therefore repeated until
    // its outcome is known.
    let mut is_settled = true;
    loop {
        delay_commit(context, job).await;
        let (id, number, part) = {
            let job = job.borrow();
            if job.pending.is_empty() || (job.ended && is_settled) {
                return;
            }
            (job.record.id.clone(), job.parts, job.next_part(limit))
        };
        let count = part.results.len();
        let (size, is_fragment) = (store::encoded_size(&part), part.fragment.is_some());
        let appended = job_records::append_part(context.store.as_ref(), &id, number, &part).await;
        let settled = match appended {
            Ok(true) => {
                let mut job = job.borrow_mut();
                if job.parts == number {
                    job.apply_part(part);
                }
                log::info!(
                    "event=results_committed job={id} part={number} results={count} bytes={} is_fragment={is_fragment}",
                    size.0
                );
                notify_owner_of_part(context, &id);
                Ok(())
            }
            // Another process, or an earlier attempt of this one, has created the part.
            Ok(false) => refresh_results(context, job).await,
            // The same part would be refused again.
            Err(store::StoreError::TooLarge) if limit.lower() => {
                log::warn!(
                    "event=part_too_large job={id} part={number} results={count} bytes={}",
                    size.0
                );
                continue;
            }
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

/// Notifies the owner of a job of a part that this process has appended to it, if it is no
/// longer the owner: the copy of the owner lacks the part.
fn notify_owner_of_part(context: &rc::Rc<context::ProcessContext>, id: &ids::JobId) {
    let owner = context.job_owner(id).filter(|owner| owner != context.id());
    let address = owner.and_then(|owner| context.members.borrow().address_of(&owner));
    let Some(address) = address else { return };
    let (context, id) = (context.clone(), id.clone());
    actix_rt::spawn(async move {
        context.links.try_connect(address).await;
        let sent = context
            .links
            .find_job(address, id.clone(), APPEND_NOTICE_TIMEOUT);
        if let Err(e) = sent.await {
            log::info!("event=part_untold job={id} peer={address} why=\"{e}\"");
        }
    });
}

/// Waits for further results while the job has time left and unfinished items.
async fn delay_commit(context: &rc::Rc<context::ProcessContext>, job: &SharedJob) {
    /// Interval at which the remaining delay is computed again.
    const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

    let started = clock::BootInstant::now();
    while !context.is_leaving()
        && started.elapsed() < job.borrow().commit_delay(context.owners().len())
    {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
