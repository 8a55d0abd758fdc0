//! How far items are, told to whoever would go on with them.
//!
//! Without it a lost owner takes the text of its running items with it, and they
//! begin anew. So the owner of a job tells its progress to the process that would
//! own the job after it, and to the disk of its own instance, if it has one. All of
//! this is a hint: results count once they are in the store, and what is lost, late
//! or unsure here costs a run again and nothing else.

use std::{cell, collections, rc, time};

use super::{context, job_board, open_job, progress_transfer, wire};
use crate::{clock, decisions::ownership, ids};

/// Pause between two checkpoints: at most so much work is lost with an owner.
const CHECKPOINT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Bytes of progress kept for peers. Forty items of 200 events are 0.7 MB; the
/// job that was heard of least recently is dropped beyond.
const MAX_KEPT_BYTES: usize = 8 << 20;

/// Time after which the progress of a job that is heard of no more is dropped:
/// above the usual time between its submission and its due time.
const KEPT_FOR: time::Duration = time::Duration::from_secs(40);

/// Progress of an item, or what was added to it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemCheckpoint {
    /// Index of the item in its job.
    pub index: usize,
    /// Names the unbroken chain of runs that made all events, these included.
    /// Events of two chains are never joined.
    pub chain: u64,
    /// Events before these, which the reader is taken to have.
    pub skipped: usize,
    /// Data of the events; of an item that is done its whole output.
    pub events: Vec<String>,
    /// How it ended, if it is done and its result is not in the store yet.
    pub state: Option<wire::ItemState>,
    /// Index of the last event.
    pub last_event: Option<u64>,
    /// Runs that an endpoint ended with a failure of its own.
    pub failures: u32,
    /// How long its runs held places so far.
    pub spent: time::Duration,
}

/// Progress of the items of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobCheckpoint {
    /// The job.
    pub job: ids::JobId,
    /// The items that have made progress.
    pub items: Vec<ItemCheckpoint>,
}

/// What a peer was told of an item.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldItem {
    pub(super) index: usize,
    /// The chain of runs that made them.
    pub(super) chain: u64,
    /// Events that it has with it.
    pub(super) events: usize,
    /// Whether it was the result.
    pub(super) is_result: bool,
}

impl ToldItem {
    pub(super) fn of(update: &ItemCheckpoint) -> Self {
        Self {
            index: update.index,
            chain: update.chain,
            events: update.skipped + update.events.len(),
            is_result: update.state.is_some(),
        }
    }
}

fn bytes_of(events: &[String]) -> usize {
    events.iter().map(|event| event.len() + 24).sum()
}

/// What is kept of one job.
#[derive(Debug)]
struct KeptJob {
    items: collections::HashMap<usize, ItemCheckpoint>,
    last_seen: clock::BootInstant,
}

impl KeptJob {
    fn bytes(&self) -> usize {
        self.items.values().map(|item| bytes_of(&item.events)).sum()
    }

    /// Takes progress of an item; says whether it is kept.
    fn take(&mut self, update: ItemCheckpoint) -> bool {
        if update.state.is_some() {
            self.items.insert(update.index, update);
            return true;
        }
        let known = self.items.get_mut(&update.index);
        if known.as_ref().is_some_and(|k| k.state.is_some()) {
            return true;
        }
        let known_events = known.as_ref().map_or(0, |k| k.events.len());
        if update.skipped == 0 {
            let is_further = update.events.len() > known_events;
            if is_further {
                self.items.insert(update.index, update);
            }
            return is_further;
        }
        let fits =
            |k: &&mut ItemCheckpoint| k.chain == update.chain && update.skipped <= known_events;
        let Some(known) = known.filter(fits) else {
            return false;
        };
        known.events.truncate(update.skipped);
        known.events.extend(update.events);
        known.last_event = update.last_event;
        known.spent = update.spent;
        known.failures = update.failures;
        true
    }
}

/// Progress of jobs that other processes run, or that this one ran before its start.
#[derive(Debug, Default)]
pub struct CheckpointBoard {
    /// Progress that is on its way here.
    pub(super) inbox: cell::RefCell<progress_transfer::ProgressInbox>,
    kept: cell::RefCell<collections::HashMap<ids::JobId, KeptJob>>,
}

impl CheckpointBoard {
    /// Takes the progress of a job; says whether all of it is kept. No items
    /// mean that the job is over.
    pub fn take(&self, update: JobCheckpoint) -> bool {
        if update.items.is_empty() {
            self.forget(&update.job);
            return true;
        }
        let mut kept = self.kept.borrow_mut();
        let job = kept.entry(update.job).or_insert_with(|| KeptJob {
            items: collections::HashMap::new(),
            last_seen: clock::BootInstant::now(),
        });
        job.last_seen = clock::BootInstant::now();
        let mut all_kept = true;
        for item in update.items {
            all_kept &= job.take(item);
        }
        all_kept
    }

    /// Lets items that wait go on from what is kept, where that is further.
    ///
    /// Says whether there are results to commit among it.
    pub fn apply(&self, job: &mut open_job::OpenJob) -> bool {
        let Some(kept) = self.kept.borrow_mut().remove(&job.record.id) else {
            return false;
        };
        let mut resumed = 0;
        for item in kept.items.into_values() {
            resumed += usize::from(job.go_on_from(item));
        }
        log::info!(
            "event=progress_taken_over job={} items={resumed} results={}",
            job.record.id,
            job.pending.len()
        );
        !job.pending.is_empty()
    }

    /// Forgets a job that is over.
    pub fn forget(&self, job: &ids::JobId) {
        self.kept.borrow_mut().remove(job);
    }

    /// All that is kept.
    pub fn all(&self) -> Vec<JobCheckpoint> {
        let kept = self.kept.borrow();
        let jobs = kept.iter().map(|(job, known)| JobCheckpoint {
            job: job.clone(),
            items: known.items.values().cloned().collect(),
        });
        jobs.collect()
    }

    /// Drops what is old, and what is beyond the bound of bytes.
    pub fn trim(&self) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|_, job| job.last_seen.elapsed() < KEPT_FOR);
        let mut jobs: Vec<_> = kept
            .iter()
            .map(|(id, job)| (job.last_seen, job.bytes(), id.clone()))
            .collect();
        jobs.sort_by_key(|(heard, _, _)| std::cmp::Reverse(*heard));
        let mut bytes = 0;
        for (_, size, id) in jobs {
            bytes += size;
            if bytes > MAX_KEPT_BYTES {
                log::info!("event=progress_dropped job={id} why=\"too much is kept\"");
                kept.remove(&id);
            }
        }
    }

    /// Jobs of which something is kept.
    pub fn len(&self) -> usize {
        self.kept.borrow().len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The process that would own a job if its owner, this one, were lost.
fn successor(context: &context::ProcessContext, job: &ids::JobId) -> Option<ids::InstanceId> {
    let owners = context.owners();
    let others = owners.iter().filter(|o| o.id != *context.id());
    let best = others.max_by_key(|c| ownership::weight(c.id.as_str(), job.as_str()));
    best.map(|c| c.id.clone())
}

/// The jobs that this process runs now.
fn run_here(context: &context::ProcessContext) -> Vec<open_job::SharedJob> {
    let mut jobs = context.jobs.all();
    jobs.retain(|job| {
        let job = job.borrow();
        job.knowledge == open_job::OwnerKnowledge::Current && !job.is_over()
    });
    jobs
}

/// Tells the progress of the jobs that run here, at a steady pace.
pub(super) async fn tell_progress(context: rc::Rc<context::ProcessContext>) {
    loop {
        actix_rt::time::sleep(CHECKPOINT_PAUSE).await;
        let jobs = run_here(&context);
        if let Some(file) = &context.checkpoint_file {
            let own = jobs.iter().map(|job| job.borrow().checkpoint(|_| 0));
            let own = own.filter(|job| !job.items.is_empty());
            // What is kept for peers too: their disks may be lost with all power.
            file.write(own.chain(context.checkpoints.all()).collect());
        }
        tell_ends(&context);
        for job in jobs {
            let Some(peer) = successor(&context, &job.borrow().record.id) else {
                continue;
            };
            job.borrow_mut().set_backup(&peer);
            progress_transfer::enqueue(&context, &peer, &job);
        }
        context.checkpoints.trim();
    }
}

/// Tells those who keep the progress of a job that it is over.
fn tell_ends(context: &rc::Rc<context::ProcessContext>) {
    for job in context.jobs.all() {
        let mut job = job.borrow_mut();
        if !job.is_over() {
            continue;
        }
        let address = job
            .take_backup()
            .and_then(|peer| context.members.borrow().address_of(&peer));
        let Some(address) = address else { continue };
        let end = JobCheckpoint {
            job: job.record.id.clone(),
            items: Vec::new(),
        };
        let links = context.links.clone();
        actix_rt::spawn(async move {
            let sent = progress_transfer::tell(&links, address, &end).await;
            log::debug!("event=job_end_told job={} outcome={sent:?}", end.job);
        });
    }
}

/// Hands the progress that was on this instance's disk to the owners of its
/// jobs: their own disks may be lost.
pub(super) async fn offer_kept(context: rc::Rc<context::ProcessContext>) {
    for kept in context.checkpoints.all() {
        let owner = context.job_owner(&kept.job);
        let Some(owner) = owner.filter(|owner| owner != context.id()) else {
            continue;
        };
        let address = context.members.borrow().address_of(&owner);
        let Some(address) = address else { continue };
        let sent = progress_transfer::tell(&context.links, address, &kept).await;
        log::info!(
            "event=progress_offered job={} owner={owner} outcome={sent:?}",
            kept.job
        );
    }
}

/// Hands the jobs over that this process owns no more: their streams stop here
/// and go on with the new owner, from where they are.
///
/// Without it both owners run the items to their ends.
pub(super) fn hand_over_moved(context: &rc::Rc<context::ProcessContext>) {
    for job in run_here(context) {
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
        job.borrow_mut().set_backup(&owner);
        progress_transfer::enqueue(context, &owner, &job);
    }
}

/// Takes a part of the progress that a peer tells; says whether it fits.
///
/// Whole progress is used at once if its job runs here.
pub(super) fn take_part(
    context: &rc::Rc<context::ProcessContext>,
    part: progress_transfer::ProgressPart,
) -> bool {
    use progress_transfer::PartOutcome as O;

    let update = match context.checkpoints.inbox.borrow_mut().take(part) {
        O::Partial => return true,
        O::Unfit => return false,
        O::Whole(update) => update,
    };
    let id = update.job.clone();
    let is_kept = context.checkpoints.take(update);
    if let Some(job) = context.jobs.get(&id) {
        use_progress(context, &job);
    }
    is_kept
}

/// Uses what is kept of a job, if the job runs here.
pub(super) fn use_progress(context: &rc::Rc<context::ProcessContext>, job: &open_job::SharedJob) {
    let mut open = job.borrow_mut();
    if open.is_over() {
        return context.checkpoints.forget(&open.record.id);
    }
    if open.knowledge != open_job::OwnerKnowledge::Current {
        return;
    }
    let has_results = context.checkpoints.apply(&mut open);
    drop(open);
    if has_results {
        job_board::commit(context, job);
    }
    context.jobs.work.notify_one();
}
