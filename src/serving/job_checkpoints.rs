//! Checkpoints of running items, replicated to the process that would resume them.
//!
//! Without checkpoints, losing an owner loses the output of its running items, and they
//! start over. The owner of a job therefore sends its progress to the process that
//! would own the job next, and writes it to its instance's disk if it has one.
//! Checkpoints are only hints: results count once they are in the store, and a
//! checkpoint that is lost, late or invalid costs nothing but a repeated run.

use std::{cell, collections, rc, time};

use super::{context, directory, job_table, open_job, peers, progress_transfer, wire};
use crate::{clock, decisions::ownership, ids};

/// Interval between checkpoints, which bounds the work lost with an owner.
const CHECKPOINT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum size of the progress kept for peers, in bytes. Forty items of 200 events
/// take 0.7 MB. Beyond the limit, the least recently updated job is dropped.
const MAX_REPLICA_BYTES: usize = 8 << 20;

/// Time without updates after which the progress of a job is dropped. It exceeds the
/// usual time from submission to due time.
const REPLICA_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Progress of an item, complete or as an increment.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemCheckpoint {
    /// Index of the item in its job.
    pub index: usize,
    /// Identifier of the uninterrupted chain of runs that produced the events up to and
    /// including these. Events of different chains are never combined.
    pub chain: u64,
    /// Number of earlier events that the receiver is assumed to have.
    pub skipped: usize,
    /// Data of the events; the single entry of a completed item is its whole output.
    pub events: Vec<String>,
    /// Final state, if the item is done and its result is not in the store yet.
    pub state: Option<wire::ItemState>,
    /// Index of the last event.
    pub last_event: Option<u64>,
    /// Software that wrote the events; without it, only a final state is of use.
    #[serde(default)]
    pub software: Option<directory::ServiceSoftware>,
    /// Number of runs that an endpoint ended with a failure of its own.
    pub failures: u32,
    /// Total time for which the item's runs have held slots.
    pub spent: time::Duration,
}

/// Progress of the items of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobCheckpoint {
    /// Identifier of the job.
    pub job: ids::JobId,
    /// Items that have made progress.
    pub items: Vec<ItemCheckpoint>,
}

/// Extent of an item's progress that was sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentItem {
    pub(super) index: usize,
    /// Chain of runs that produced the events.
    pub(super) chain: u64,
    /// Number of events that the peer has if it accepts the update.
    pub(super) events: usize,
    /// Whether the update contained the result.
    pub(super) is_result: bool,
}

impl SentItem {
    pub(super) fn of(update: &ItemCheckpoint) -> Self {
        Self {
            index: update.index,
            chain: update.chain,
            events: update.skipped + update.events.len(),
            is_result: update.state.is_some(),
        }
    }
}

fn event_bytes(events: &[String]) -> usize {
    events.iter().map(|event| event.len() + 24).sum()
}

/// Replica of the progress of one job.
#[derive(Debug)]
struct JobReplica {
    items: collections::HashMap<usize, ItemCheckpoint>,
    last_seen: clock::BootInstant,
}

impl JobReplica {
    fn bytes(&self) -> usize {
        self.items
            .values()
            .map(|item| event_bytes(&item.events))
            .sum()
    }

    /// Merges progress of an item and returns whether it was accepted; otherwise the
    /// sender has to send the complete progress.
    fn merge(&mut self, update: ItemCheckpoint) -> bool {
        if update.state.is_some() {
            self.items.insert(update.index, update);
            return true;
        }
        let current = self.items.get_mut(&update.index);
        if current.as_ref().is_some_and(|k| k.state.is_some()) {
            return true;
        }
        let current_events = current.as_ref().map_or(0, |k| k.events.len());
        if update.skipped == 0 {
            // An item whose software version is gone has started over.
            let is_new_text = current
                .as_ref()
                .is_some_and(|k| k.chain != update.chain && k.software != update.software);
            let is_further = update.events.len() > current_events || is_new_text;
            if is_further {
                self.items.insert(update.index, update);
            }
            return is_further;
        }
        let fits =
            |k: &&mut ItemCheckpoint| k.chain == update.chain && update.skipped <= current_events;
        let Some(current) = current.filter(fits) else {
            return false;
        };
        current.events.truncate(update.skipped);
        current.events.extend(update.events);
        current.last_event = update.last_event;
        current.spent = update.spent;
        current.failures = update.failures;
        true
    }
}

/// Progress of jobs that other processes run, or that this process ran before a
/// restart.
#[derive(Debug, Default)]
pub struct CheckpointTable {
    /// Transfers from peers that are in progress.
    pub(super) inbox: cell::RefCell<progress_transfer::ProgressInbox>,
    replicas: cell::RefCell<collections::HashMap<ids::JobId, JobReplica>>,
}

impl CheckpointTable {
    /// Merges the progress of a job and returns whether all of it was merged. An update
    /// without items means that the job is finished.
    pub fn merge(&self, update: JobCheckpoint) -> bool {
        if update.items.is_empty() {
            self.forget(&update.job);
            return true;
        }
        let mut replicas = self.replicas.borrow_mut();
        let job = replicas.entry(update.job).or_insert_with(|| JobReplica {
            items: collections::HashMap::new(),
            last_seen: clock::BootInstant::now(),
        });
        job.last_seen = clock::BootInstant::now();
        let mut all_merged = true;
        for item in update.items {
            all_merged &= job.merge(item);
        }
        all_merged
    }

    /// Moves the replica of a job into its unfinished items wherever it is further
    /// advanced.
    ///
    /// Returns whether the job now has results to commit.
    pub fn apply(&self, job: &mut open_job::OpenJob) -> bool {
        let Some(replica) = self.replicas.borrow_mut().remove(&job.record.id) else {
            return false;
        };
        let mut resumed = 0;
        for item in replica.items.into_values() {
            resumed += usize::from(job.resume_from(item));
        }
        log::info!(
            "event=progress_taken_over job={} items={resumed} results={}",
            job.record.id,
            job.pending.len()
        );
        !job.pending.is_empty()
    }

    /// Drops the progress of a finished job.
    pub fn forget(&self, job: &ids::JobId) {
        self.replicas.borrow_mut().remove(job);
    }

    /// Returns the progress of all jobs.
    pub fn all(&self) -> Vec<JobCheckpoint> {
        let replicas = self.replicas.borrow();
        let jobs = replicas.iter().map(|(job, replica)| JobCheckpoint {
            job: job.clone(),
            items: replica.items.values().cloned().collect(),
        });
        jobs.collect()
    }

    /// Drops expired replicas, and the least recently updated ones beyond
    /// `MAX_REPLICA_BYTES`.
    pub fn trim(&self) {
        let mut replicas = self.replicas.borrow_mut();
        replicas.retain(|_, job| job.last_seen.elapsed() < REPLICA_TIMEOUT);
        let mut jobs: Vec<_> = replicas
            .iter()
            .map(|(id, job)| (job.last_seen, job.bytes(), id.clone()))
            .collect();
        jobs.sort_by_key(|(last_seen, _, _)| std::cmp::Reverse(*last_seen));
        let mut bytes = 0;
        for (_, size, id) in jobs {
            bytes += size;
            if bytes > MAX_REPLICA_BYTES {
                log::info!(
                    "event=progress_dropped job={id} why=\"replicas exceed the size limit\""
                );
                replicas.remove(&id);
            }
        }
    }

    /// Returns the number of jobs with a replica.
    pub fn len(&self) -> usize {
        self.replicas.borrow().len()
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the process that would own a job if this process were lost.
fn successor(context: &context::ProcessContext, job: &ids::JobId) -> Option<ids::InstanceId> {
    let owners = context.owners();
    let others = owners.iter().filter(|o| o.id != *context.id());
    let best = others.max_by_key(|c| ownership::weight(c.id.as_str(), job.as_str()));
    best.map(|c| c.id.clone())
}

/// Returns the unfinished jobs that this process runs.
fn active_jobs(context: &context::ProcessContext) -> Vec<open_job::SharedJob> {
    let mut jobs = context.jobs.all();
    jobs.retain(|job| {
        let job = job.borrow();
        job.knowledge == open_job::OwnerKnowledge::Current && !job.is_finished()
    });
    jobs
}

/// Writes the progress of active jobs to disk and sends it to their successors, at a
/// fixed interval.
pub(super) async fn send_progress(context: rc::Rc<context::ProcessContext>) {
    loop {
        actix_rt::time::sleep(CHECKPOINT_INTERVAL).await;
        let jobs = active_jobs(&context);
        if let Some(file) = &context.checkpoint_file {
            let own = jobs.iter().map(|job| job.borrow().checkpoint(|_| 0));
            let own = own.filter(|job| !job.items.is_empty());
            // Replicas are written too: a power failure may destroy the disks of their
            // owners.
            file.write(own.chain(context.checkpoints.all()).collect());
        }
        send_ends(&context);
        for job in jobs {
            let Some(peer) = successor(&context, &job.borrow().record.id) else {
                continue;
            };
            job.borrow_mut().set_replica_peer(&peer);
            progress_transfer::enqueue(&context, &peer, &job);
        }
        context.checkpoints.trim();
    }
}

/// Notifies the peers that hold progress of a finished job.
fn send_ends(context: &rc::Rc<context::ProcessContext>) {
    for job in context.jobs.all() {
        let mut job = job.borrow_mut();
        if !job.is_finished() {
            continue;
        }
        let address = job
            .take_replica_peer()
            .and_then(|peer| context.members.borrow().address_of(&peer));
        let Some(address) = address else { continue };
        let end = JobCheckpoint {
            job: job.record.id.clone(),
            items: Vec::new(),
        };
        let links = context.links.clone();
        actix_rt::spawn(async move {
            let sent = progress_transfer::send(&links, address, &end).await;
            log::debug!("event=job_end_told job={} outcome={sent:?}", end.job);
        });
    }
}

/// Sends the progress restored from this instance's disk to the owners of the jobs,
/// which may have lost their own disks.
pub(super) async fn offer_replicas(context: rc::Rc<context::ProcessContext>) {
    for checkpoint in context.checkpoints.all() {
        let owner = context.job_owner(&checkpoint.job);
        let Some(owner) = owner.filter(|owner| owner != context.id()) else {
            continue;
        };
        let address = context.members.borrow().address_of(&owner);
        let Some(address) = address else { continue };
        let sent = progress_transfer::send(&context.links, address, &checkpoint).await;
        log::info!(
            "event=progress_offered job={} owner={owner} outcome={sent:?}",
            checkpoint.job
        );
    }
}

/// Hands off the jobs that this process no longer owns: cancels their streams here, so
/// that the new owner resumes them from the transferred progress.
///
/// Otherwise both owners would run the items to completion.
pub(super) fn hand_off_moved(context: &rc::Rc<context::ProcessContext>) {
    for job in active_jobs(context) {
        let id = job.borrow().record.id.clone();
        let Some(owner) = context.job_owner(&id) else {
            continue;
        };
        if owner == *context.id() {
            continue;
        }
        job.borrow_mut().knowledge = open_job::OwnerKnowledge::Outdated;
        let streams = std::mem::take(&mut job.borrow_mut().streams);
        log::info!(
            "event=job_moved job={id} owner={owner} streams={}",
            streams.len()
        );
        for (endpoint, number) in streams {
            context.jobs.preempt(&endpoint, number);
        }
        job.borrow_mut().set_replica_peer(&owner);
        progress_transfer::enqueue(context, &owner, &job);
    }
}

/// Receives a part of a progress transfer and returns whether it could be used.
///
/// Complete progress is applied at once if this process runs the job.
pub(super) fn receive_part(
    context: &rc::Rc<context::ProcessContext>,
    part: peers::ProgressPart,
) -> bool {
    use progress_transfer::PartOutcome as O;

    let update = match context.checkpoints.inbox.borrow_mut().receive(part) {
        O::Partial => return true,
        O::Unfit => return false,
        O::Whole(update) => update,
    };
    let id = update.job.clone();
    let is_merged = context.checkpoints.merge(update);
    if let Some(job) = context.jobs.get(&id) {
        apply_progress(context, &job);
    }
    is_merged
}

/// Applies the replica of a job, if this process runs the job.
pub(super) fn apply_progress(context: &rc::Rc<context::ProcessContext>, job: &open_job::SharedJob) {
    let mut open = job.borrow_mut();
    if open.is_finished() {
        return context.checkpoints.forget(&open.record.id);
    }
    if open.knowledge != open_job::OwnerKnowledge::Current {
        return;
    }
    let has_results = context.checkpoints.apply(&mut open);
    drop(open);
    if has_results {
        job_table::commit(context, job);
    }
    context.jobs.work.notify_one();
}
