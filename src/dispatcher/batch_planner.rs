//! Planning on the batch thread: selects the chunks to claim and the jobs to poll.

use std::{cell, rc, sync, time};

use futures::FutureExt as _;

use super::{batch_runner, claims, job_close};
use crate::{
    clock,
    decisions::{job, job_plan, ownership},
    fleet, ids, wire,
};

/// Interval between plans while fewer than `low_water_items` items wait.
const LOW_WORK_PLAN_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Interval between plans otherwise.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Maximum number of concurrent polls of jobs.
const MAX_POLLS: usize = 4;
/// Maximum number of concurrent claims.
const MAX_CLAIMS: usize = 4;

impl batch_runner::BatchRunner {
    /// Claims chunks while too few items wait, and polls jobs that are due.
    pub(super) fn plan_jobs(
        &self,
        snapshot: &sync::Arc<fleet::FleetSnapshot>,
        now: clock::MonotonicTime,
    ) {
        if !self.is_plan_due(now) {
            return;
        }
        let services = self.context.ledgers.services();
        let mut jobs: Vec<&job::JobManifest> = snapshot
            .jobs
            .values()
            .map(|j| j.as_ref())
            .filter(|j| j.services.iter().any(|s| services.contains(s)))
            .collect();
        let mut state = self.state.borrow_mut();
        state.order.retain_active(&jobs);
        state.order.sort(&mut jobs, wire::created());
        drop(state);
        for job in jobs {
            let group = self.group_of(job);
            let first = group.first().is_some_and(|c| c.id == *self.context.id());
            if !group.iter().any(|c| c.id == *self.context.id()) {
                continue;
            }
            if job.cancelling_at.is_none() {
                self.claim_from(job, &group, snapshot, now);
            }
            self.poll_job(job, first, now);
        }
    }

    /// Returns whether the next plan is due, and records its time if so.
    ///
    /// The cost of a plan is proportional to the number of active jobs, so plans are less
    /// frequent while enough items wait.
    fn is_plan_due(&self, now: clock::MonotonicTime) -> bool {
        let mut state = self.state.borrow_mut();
        let low = state.waiting_items() < self.context.settings.batch.low_water_items;
        let delay = if low {
            LOW_WORK_PLAN_INTERVAL
        } else {
            PLAN_INTERVAL
        };
        if now.since(state.planned_at) < delay {
            return false;
        }
        state.planned_at = now;
        true
    }

    /// Returns the dispatchers that work on a job, selected from the owners of endpoints that
    /// serve it. The first one is the leader.
    fn group_of(&self, job: &job::JobManifest) -> rc::Rc<Vec<ownership::OwnerCandidate>> {
        let epoch = self.context.ledgers.epoch();
        let mut state = self.state.borrow_mut();
        let known = state.groups.get(&job.id).filter(|(at, _)| *at == epoch);
        if let Some((_, group)) = known {
            return group.clone();
        }
        let owners = self.context.ledgers.owners_of(&job.services);
        let group = job_plan::group(&job.id, job.chunk_items.len(), owners);
        let group = rc::Rc::new(group);
        state.groups.insert(job.id.clone(), (epoch, group.clone()));
        group
    }

    fn claim_from(
        &self,
        job: &job::JobManifest,
        group: &[ownership::OwnerCandidate],
        snapshot: &fleet::FleetSnapshot,
        now: clock::MonotonicTime,
    ) {
        loop {
            let mut state = self.state.borrow_mut();
            let batch = &self.context.settings.batch;
            let enough = state.waiting_items() >= batch.low_water_items
                || state.chunks.len() + state.claiming.len() >= batch.max_chunks
                || state.claiming.len() >= MAX_CLAIMS
                || now < state.next_claim_at;
            if enough {
                return;
            }
            let chunks = job.chunk_items.len();
            let plan = state
                .plans
                .entry(job.id.clone())
                .or_insert_with(|| job_plan::JobPlan::new(chunks));
            let is_live = |id: &ids::InstanceId| snapshot.is_live(id);
            let Some(index) = plan.next_chunk(&job.id, self.context.id(), group, is_live) else {
                return;
            };
            plan.record(index, job_plan::ChunkStatus::Mine);
            state.claiming.insert((job.id.clone(), index));
            drop(state);
            let Some(job) = snapshot.jobs.get(&job.id).cloned() else {
                return;
            };
            actix_rt::spawn(self.clone().run_claim(job, index));
        }
    }

    async fn run_claim(self, job: sync::Arc<job::JobManifest>, index: ids::ChunkIndex) {
        let key = (job.id.clone(), index);
        let outcome = claims::claim(&self.context, job, index).await;
        let mut state = self.state.borrow_mut();
        state.claiming.remove(&key);
        let status = match outcome {
            claims::ClaimOutcome::Claimed(mut work) => {
                let snapshot = self.context.fleet.snapshot();
                let job = snapshot.jobs.get(&key.0);
                if state.stop.is_some() || job.is_none_or(|j| j.cancelling_at.is_some()) {
                    work.release();
                }
                let work = rc::Rc::new(cell::RefCell::new(*work));
                state.chunks.insert(key.clone(), work);
                let mut held = self.context.held.lock().unwrap_or_else(|e| e.into_inner());
                held.insert(key.clone());
                job_plan::ChunkStatus::Mine
            }
            claims::ClaimOutcome::Done => job_plan::ChunkStatus::Done,
            claims::ClaimOutcome::Held(holder) => job_plan::ChunkStatus::Held(holder),
            claims::ClaimOutcome::Failed(e) => {
                log::warn!("event=claim_failed job={} chunk={index} why=\"{e}\"", key.0);
                state.next_claim_at = self.context.clock.now() + batch_runner::STORE_RETRY_DELAY;
                job_plan::ChunkStatus::Unknown
            }
        };
        if let Some(plan) = state.plans.get_mut(&key.0) {
            plan.record(index, status);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Polls a job's chunk states if that is due, and ends the job if possible. `first` is set on
    /// the leader of the job's group.
    fn poll_job(&self, job: &job::JobManifest, first: bool, now: clock::MonotonicTime) {
        let mut state = self.state.borrow_mut();
        if state.polling.len() >= MAX_POLLS {
            return;
        }
        let terms = job_plan::PollTerms {
            first,
            cancelling: job.cancelling_at.is_some(),
            starving: state.waiting_items() < self.context.settings.batch.low_water_items,
        };
        let chunks = job.chunk_items.len();
        let plan = state
            .plans
            .entry(job.id.clone())
            .or_insert_with(|| job_plan::JobPlan::new(chunks));
        if !plan.is_poll_due(terms, now) {
            return;
        }
        if !state.polling.insert(job.id.clone()) {
            return;
        }
        let runner = self.clone();
        let job = job.clone();
        let polling = async move {
            let polled = job_close::poll(&runner.context, &job, first).await;
            let mut state = runner.state.borrow_mut();
            state.polling.remove(&job.id);
            let now = runner.context.clock.now();
            if let Some(plan) = state.plans.get_mut(&job.id) {
                match polled {
                    Ok(chunks) => plan.record_all(&chunks, runner.context.id(), now),
                    Err(e) => {
                        plan.record_failed_poll(now);
                        log::warn!("event=look_failed job={} why=\"{e}\"", job.id);
                    }
                }
            }
            drop(state);
            runner.wake.notify_one();
        };
        actix_rt::spawn(polling.boxed_local());
    }
}
