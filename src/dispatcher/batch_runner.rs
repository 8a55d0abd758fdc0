//! The batch thread: claims chunks, runs their items in free slots, commits results and ends jobs.

use std::{cell, collections, rc, sync, time};

use tokio::sync::{mpsc, oneshot};

use super::{chunk_work, commits, context, item_run};
use crate::{
    batch_item, clock,
    decisions::{admission, health, job, job_order, job_plan, ownership},
    fleet, ids, platform, protection, wire,
};

/// Interval between rounds while this dispatcher holds chunks.
const BUSY_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Interval between rounds otherwise; a notification starts a round at once.
const IDLE_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Delay before the next claim or commit after the object service failed.
pub(super) const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Identifier of a chunk across jobs.
pub(super) type ChunkKey = (ids::JobId, ids::ChunkIndex);
/// A held chunk, shared by the tasks of the batch thread.
pub(super) type SharedChunk = rc::Rc<cell::RefCell<chunk_work::ChunkWork>>;

/// Request to the batch thread to release its chunks; signalled once all are released.
pub type StopRequest = oneshot::Sender<()>;

/// Held chunks, jobs and running streams of the batch thread.
#[derive(Default)]
pub(super) struct RunnerState {
    pub(super) chunks: collections::BTreeMap<ChunkKey, SharedChunk>,
    pub(super) plans: collections::HashMap<ids::JobId, job_plan::JobPlan>,
    /// Group of each job, with the epoch of the owner table from which it was computed.
    pub(super) groups:
        collections::HashMap<ids::JobId, (u64, rc::Rc<Vec<ownership::OwnerCandidate>>)>,
    pub(super) planned_at: clock::MonotonicTime,
    /// Jobs of the last snapshot that was applied to the plans and chunks.
    pub(super) applied_jobs:
        sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    pub(super) order: job_order::JobOrder,
    /// Running streams, each with the chunk of its item.
    pub(super) streams: collections::HashMap<(ids::EndpointId, admission::StreamNumber), ChunkKey>,
    pub(super) health: health::HealthTracker,
    pub(super) claiming: collections::HashSet<ChunkKey>,
    pub(super) polling: collections::HashSet<ids::JobId>,
    pub(super) next_claim_at: clock::MonotonicTime,
    pub(super) last_round_at: clock::MonotonicTime,
    /// Time at which this process resumed from a suspension; cleared once a snapshot was read
    /// from the object service after it.
    pub(super) resumed_at: Option<clock::MonotonicTime>,
    pub(super) stop: Option<StopRequest>,
}

impl RunnerState {
    /// Returns the number of items of held chunks that wait for a free slot.
    pub(super) fn waiting_items(&self) -> usize {
        self.chunks.values().map(|w| w.borrow().waiting()).sum()
    }
}

/// Main loop of the batch thread, and its state.
#[derive(Clone)]
pub struct BatchRunner {
    pub(super) context: sync::Arc<context::DispatcherContext>,
    pub(super) client: awc::Client,
    pub(super) state: rc::Rc<cell::RefCell<RunnerState>>,
    pub(super) wake: rc::Rc<tokio::sync::Notify>,
}

impl BatchRunner {
    /// Creates a runner; it must run on the calling thread.
    pub fn new(context: sync::Arc<context::DispatcherContext>) -> Self {
        let state = RunnerState {
            last_round_at: context.clock.now(),
            ..RunnerState::default()
        };
        Self {
            context,
            client: crate::endpoint_client::new_client(),
            state: rc::Rc::new(cell::RefCell::new(state)),
            wake: rc::Rc::new(tokio::sync::Notify::new()),
        }
    }

    /// Runs until a stop was requested and all chunks are released, or until `stop_requests` is
    /// closed.
    pub async fn run(self, mut stop_requests: mpsc::Receiver<StopRequest>) {
        let mut changes = self.context.fleet.changes();
        loop {
            self.run_round();
            if self.finish_stop() {
                return;
            }
            let busy = !self.state.borrow().chunks.is_empty();
            let delay = if busy {
                BUSY_ROUND_INTERVAL
            } else {
                IDLE_ROUND_INTERVAL
            };
            tokio::select! {
                stop = stop_requests.recv() => match stop {
                    Some(stop) => self.begin_stop(stop),
                    None => return,
                },
                () = self.wake.notified() => {}
                () = self.context.ledgers.changed.notified() => {}
                _ = changes.changed() => self.refresh_ledgers(),
                () = actix_rt::time::sleep(delay) => {}
            }
        }
    }

    fn refresh_ledgers(&self) {
        let snapshot = self.context.fleet.snapshot();
        let batch = &self.context.settings.batch;
        self.context
            .ledgers
            .refresh(&snapshot, self.context.id(), batch);
    }

    fn begin_stop(&self, stop: StopRequest) {
        self.state.borrow_mut().stop = Some(stop);
        for work in self.state.borrow().chunks.values() {
            work.borrow_mut().release();
        }
        self.context.ledgers.cancel_all();
    }

    fn finish_stop(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let idle = state.chunks.is_empty() && state.claiming.is_empty();
        match state.stop.take_if(|_| idle) {
            None => false,
            Some(stop) => {
                let _ = stop.send(());
                true
            }
        }
    }

    fn run_round(&self) {
        let snapshot = self.context.fleet.snapshot();
        let now = self.context.clock.now();
        if !self.record_round(&snapshot, now) {
            return;
        }
        self.apply_job_changes(&snapshot);
        self.start_items();
        self.start_commits(now);
        if self.state.borrow().stop.is_none() && snapshot.synced {
            self.plan_jobs(&snapshot, now);
        }
    }

    /// Records a round and detects a suspension of the process for the lease timeout or longer.
    ///
    /// Returns false from then on until a snapshot was read from the object service, because
    /// other instances may have taken over the chunks.
    fn record_round(&self, snapshot: &fleet::FleetSnapshot, now: clock::MonotonicTime) -> bool {
        let mut state = self.state.borrow_mut();
        if now.since(state.last_round_at) >= self.context.settings.pace.lease_timeout() {
            log::warn!(
                "event=paused ms={}",
                now.since(state.last_round_at).as_millis()
            );
            state.resumed_at = Some(now);
        }
        state.last_round_at = now;
        if state.resumed_at.is_some_and(|at| snapshot.read_at > at) {
            state.resumed_at = None;
        }
        state.resumed_at.is_none()
    }

    /// Releases the chunks of cancelled jobs, and drops the plans and groups of ended jobs.
    fn apply_job_changes(&self, snapshot: &fleet::FleetSnapshot) {
        let mut state = self.state.borrow_mut();
        if sync::Arc::ptr_eq(&state.applied_jobs, &snapshot.jobs) {
            return;
        }
        state.applied_jobs = snapshot.jobs.clone();
        state.plans.retain(|id, _| snapshot.jobs.contains_key(id));
        state.groups.retain(|id, _| snapshot.jobs.contains_key(id));
        for (key, work) in &state.chunks {
            let job = snapshot.jobs.get(&key.0);
            let cancelled = job.is_some_and(|j| j.cancelling_at.is_some());
            if cancelled && !protection::is_disabled("cancel") {
                work.borrow_mut().release();
                self.cancel_streams(&state, key);
            }
        }
    }

    /// Cancels the running streams of a chunk.
    fn cancel_streams(&self, state: &RunnerState, key: &ChunkKey) {
        let streams = state.streams.iter().filter(|(_, chunk)| *chunk == key);
        for ((endpoint, number), _) in streams {
            self.context.ledgers.cancel_stream(endpoint, *number);
        }
    }

    /// Starts items in the free slots of endpoints that are not ejected.
    fn start_items(&self) {
        for (endpoint, free_slots) in self.context.ledgers.endpoints_with_free_slots() {
            let now = self.context.clock.now();
            if self.state.borrow().health.is_ejected(&endpoint.id, now) {
                continue;
            }
            for _ in 0..free_slots {
                if !self.start_item(&endpoint) {
                    break;
                }
            }
        }
    }

    fn start_item(&self, endpoint: &platform::EndpointRecord) -> bool {
        let Some((key, work, pending)) = self.take_item(&endpoint.service) else {
            return false;
        };
        let Some(stream) = self.context.ledgers.begin_stream(&endpoint.id) else {
            work.borrow_mut().put_back(pending);
            return false;
        };
        let runner = self.clone();
        let item = work.borrow().item(pending.index);
        let endpoint = endpoint.id.clone();
        let running = (endpoint.clone(), stream.number);
        self.state
            .borrow_mut()
            .streams
            .insert(running.clone(), key.clone());
        actix_rt::spawn(async move {
            let context = &runner.context;
            let end = item_run::run(context, &runner.client, &item, &pending, stream).await;
            runner.state.borrow_mut().streams.remove(&running);
            runner.record_attempt(&key, &work, &item, pending, &endpoint, end);
            runner.wake.notify_one();
        });
        true
    }

    /// Takes the next item for a service from the first job in order that has one.
    fn take_item(
        &self,
        service: &ids::ServiceName,
    ) -> Option<(ChunkKey, SharedChunk, chunk_work::PendingItem)> {
        let mut state = self.state.borrow_mut();
        let jobs: Vec<sync::Arc<job::JobManifest>> = state
            .chunks
            .values()
            .map(|w| w.borrow().job.clone())
            .collect();
        let mut jobs: Vec<&job::JobManifest> = jobs.iter().map(|j| j.as_ref()).collect();
        jobs.dedup_by(|a, b| a.id == b.id);
        state.order.sort(&mut jobs, wire::created());
        for job in jobs {
            let first = (job.id.clone(), ids::ChunkIndex(0));
            let last = (job.id.clone(), ids::ChunkIndex(u32::MAX));
            for (key, work) in state.chunks.range(first..=last) {
                let taken = work.borrow_mut().take_next(service);
                if let Some(pending) = taken {
                    let found = (key.clone(), work.clone(), pending);
                    state.order.record_served(&job.workspace, 1);
                    return Some(found);
                }
            }
        }
        None
    }

    /// Records the end of an attempt, and puts the item back into the queue if it is to run again.
    fn record_attempt(
        &self,
        key: &ChunkKey,
        work: &SharedChunk,
        item: &batch_item::BatchItem,
        mut pending: chunk_work::PendingItem,
        endpoint: &ids::EndpointId,
        end: item_run::ItemEnd,
    ) {
        let now = self.context.clock.now();
        let may_repeat = work.borrow().may_repeat(pending.index);
        let max_attempts = self
            .context
            .fleet
            .snapshot()
            .bundle
            .document
            .batch
            .max_item_attempts;
        let mut work = work.borrow_mut();
        let label = match end {
            item_run::ItemEnd::Settled(result) => {
                self.state.borrow_mut().health.record_success(endpoint);
                work.settle(pending.index, &result);
                "settled"
            }
            item_run::ItemEnd::NotRun => {
                self.state.borrow_mut().health.record_failure(endpoint, now);
                work.put_last(pending);
                "not_run"
            }
            _ if !may_repeat => {
                let code = batch_item::ItemErrorCode::OutcomeUnknown;
                let reason = "it may have run and may not be repeated";
                work.settle_failed(pending.index, code, reason);
                "unknown"
            }
            item_run::ItemEnd::Preempted(text) => {
                pending.text = text;
                work.put_back(pending);
                "preempted"
            }
            item_run::ItemEnd::Failed(reason, text) => {
                pending.attempts += 1;
                pending.text = text;
                if pending.attempts >= max_attempts && !protection::is_disabled("attempts") {
                    let code = batch_item::ItemErrorCode::EndpointFailed;
                    work.settle_failed(pending.index, code, &reason);
                    "failed"
                } else {
                    work.put_last(pending);
                    "retried"
                }
            }
        };
        drop(work);
        self.context
            .metrics
            .batch_items
            .with_label_values(&[label])
            .inc();
        if matches!(label, "failed" | "unknown" | "retried") {
            let (job, chunk) = key;
            log::info!(
                "event=item_{label} job={job} chunk={chunk} item={} endpoint={endpoint}",
                item.custom_id.escape_debug()
            );
        }
    }

    fn start_commits(&self, now: clock::MonotonicTime) {
        let commit_after = self.context.settings.batch.commit_after_ms;
        let commit_after = time::Duration::from_millis(commit_after);
        let chunks: Vec<(ChunkKey, SharedChunk)> = self
            .state
            .borrow()
            .chunks
            .iter()
            .map(|(k, w)| (k.clone(), w.clone()))
            .collect();
        for (key, work) in chunks {
            let planned = work.borrow_mut().plan_commit(now, commit_after);
            if let Some(planned) = planned {
                actix_rt::spawn(self.clone().run_commit(key, work, planned));
            }
        }
    }

    /// Writes a commit, with retries until the object service responds.
    async fn run_commit(
        self,
        key: ChunkKey,
        work: SharedChunk,
        planned: chunk_work::PlannedCommit,
    ) {
        let job = work.borrow().job.clone();
        loop {
            match commits::commit(&self.context, &job, key.1, &planned).await {
                commits::CommitOutcome::Done(revision) => {
                    let now = self.context.clock.now();
                    let held = work.borrow_mut().record_committed(&planned, revision, now);
                    if !held {
                        self.remove_chunk(&key, work.borrow().is_done());
                    }
                    break;
                }
                commits::CommitOutcome::Lost => {
                    log::warn!("event=claim_lost job={} chunk={}", key.0, key.1);
                    work.borrow_mut().release();
                    self.remove_chunk(&key, false);
                    break;
                }
                commits::CommitOutcome::Failed(e) => {
                    log::warn!(
                        "event=commit_waits job={} chunk={} why=\"{e}\"",
                        key.0,
                        key.1
                    );
                    actix_rt::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
        self.wake.notify_one();
    }

    fn remove_chunk(&self, key: &ChunkKey, done: bool) {
        let mut state = self.state.borrow_mut();
        state.chunks.remove(key);
        let mut held = self.context.held.lock().unwrap_or_else(|e| e.into_inner());
        held.remove(key);
        if let Some(plan) = state.plans.get_mut(&key.0) {
            match done {
                true => plan.record_done(key.1),
                false => plan.record(key.1, job_plan::ChunkStatus::Unknown),
            }
        }
    }
}
